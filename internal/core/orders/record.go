package orders

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Run tells whether an order had an effect on a target.
type Run uint8

// The three outcomes.
const (
	RunUnknown Run = iota
	RunNot
	RunDone
)

// String returns the name that callers see.
func (r Run) String() string {
	switch r {
	case RunNot:
		return "not_run"
	case RunDone:
		return "ran"
	default:
		return "unknown"
	}
}

// Kind tells what a record says.
type Kind uint8

// Kinds of record.
const (
	// KindClaim gives its writer the right to mint tickets under the record's
	// offset. An exclusive claim also makes later intents under older claims
	// void.
	KindClaim Kind = iota + 1
	// KindCloseClaim ends a claim: its holder runs no ticket of it any more, and
	// all that it ran is recorded before this record.
	KindCloseClaim
	// KindIntent asks to run the order.
	KindIntent
	// KindReleased says that nothing was sent under the nonce and that nothing
	// will be.
	KindReleased
	// KindUnknown says that the order was sent and that its outcome is not known.
	KindUnknown
	// KindDone holds the outcome of an order that ran.
	KindDone
	// KindSettled holds what an operator found out about an order.
	KindSettled
	// KindCheckpoint repeats the state of an order before the log drops it.
	KindCheckpoint
)

// Nonce identifies one intent. Process is random for each process.
type Nonce struct {
	Process uint64 `msgpack:"p"`
	Seq     uint64 `msgpack:"s"`
}

// Identity is what must be the same when a key is used again.
type Identity struct {
	Account fleet.Account `msgpack:"a,omitempty"`
	Service fleet.Service `msgpack:"s,omitempty"`
	// Digest is a SHA-256 hash, cut to 16 bytes, of method, path and body.
	Digest [16]byte `msgpack:"d"`
}

// Outcome is the result of one order.
type Outcome struct {
	Run         Run          `msgpack:"r,omitempty"`
	Status      int          `msgpack:"s,omitempty"`
	ContentType string       `msgpack:"c,omitempty"`
	Body        []byte       `msgpack:"b,omitempty"`
	Target      fleet.Target `msgpack:"t,omitempty"`
	// BodyOmitted is true when the body was too large to keep.
	BodyOmitted bool `msgpack:"x,omitempty"`
}

// Record is one entry of a partition's stream.
type Record struct {
	Kind     Kind     `msgpack:"k"`
	Key      Key      `msgpack:"y,omitempty"`
	Identity Identity `msgpack:"i,omitempty"`
	Nonce    Nonce    `msgpack:"n"`
	// Claim is the claim under which an intent was made, or the claim that a
	// close ends.
	Claim uint64 `msgpack:"c,omitempty"`
	// Exclusive marks the claim of a partition's owner.
	Exclusive   bool              `msgpack:"e,omitempty"`
	Router      fleet.VM          `msgpack:"v,omitempty"`
	Incarnation fleet.Incarnation `msgpack:"w,omitempty"`
	// SendDeadlineMS is the Unix time in milliseconds after which the holder of an
	// intent sends nothing any more.
	SendDeadlineMS int64    `msgpack:"u,omitempty"`
	Outcome        *Outcome `msgpack:"o,omitempty"`
	// Phase is the state that a carried record repeats.
	Phase Phase `msgpack:"h,omitempty"`
	// Operator settled the order.
	Operator string `msgpack:"p,omitempty"`
}

// Encode returns the bytes that go into the log.
func (r *Record) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode order record: %w", err)
	}
	return data, nil
}

// DecodeRecord reads a record from the log.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode order record: %w", err)
	}
	return r, nil
}

// LoggedRecord is a record with its place in the stream.
type LoggedRecord struct {
	Offset uint64
	// Time is the log's own time of the append.
	Time   time.Time
	Record Record
}
