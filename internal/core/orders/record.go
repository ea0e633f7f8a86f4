package orders

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// Run tells whether an order had an effect on a target.
type Run uint8

// Values of Run.
const (
	// RunUnknown means that the order may have run.
	RunUnknown Run = iota
	// RunNot means that the order has not run and that nothing was sent.
	RunNot
	// RunDone means that the order ran.
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

// Kind is the type of a record.
type Kind uint8

// Kinds of record.
const (
	// KindClaim gives its writer the right to mint tickets under the record's
	// offset. An exclusive claim also invalidates later intents under older
	// claims.
	KindClaim Kind = iota + 1
	// KindCloseClaim closes a claim. Its holder runs no more tickets under it,
	// and the outcomes of all orders that ran under it precede this record.
	KindCloseClaim
	// KindIntent asks for the right to run the order.
	KindIntent
	// KindReleased states that nothing was sent under the nonce and that
	// nothing will be.
	KindReleased
	// KindUnknown states that the order was dispatched and that its outcome is
	// not known.
	KindUnknown
	// KindDone holds the outcome of an order that ran.
	KindDone
	// KindSettled holds the outcome of an order that an operator has found out.
	KindSettled
	// KindCheckpoint repeats the state of an order before the log drops the
	// older records.
	KindCheckpoint
)

// Nonce identifies one intent. Process is the random number of the writer's
// process, and Seq is unique within it.
type Nonce struct {
	Process uint64 `msgpack:"p"`
	Seq     uint64 `msgpack:"s"`
}

// Identity holds the properties of a request that must be equal when its key
// is used again.
type Identity struct {
	Account fleet.Account `msgpack:"a,omitempty"`
	Service fleet.Service `msgpack:"s,omitempty"`
	// Digest is the SHA-256 hash of method, path and body, truncated to 16
	// bytes.
	Digest [16]byte `msgpack:"d"`
}

// Outcome is the result of an order.
type Outcome struct {
	Run         Run          `msgpack:"r,omitempty"`
	Status      int          `msgpack:"s,omitempty"`
	ContentType string       `msgpack:"c,omitempty"`
	Body        []byte       `msgpack:"b,omitempty"`
	Target      fleet.Target `msgpack:"t,omitempty"`
	// BodyOmitted is true when the body was too large to be kept.
	BodyOmitted bool `msgpack:"x,omitempty"`
}

// Record is a record of a partition's stream.
type Record struct {
	Kind     Kind     `msgpack:"k"`
	Key      Key      `msgpack:"y,omitempty"`
	Identity Identity `msgpack:"i,omitempty"`
	Nonce    Nonce    `msgpack:"n"`
	// Claim is the offset of the claim under which an intent was made, or of
	// the claim that the record closes.
	Claim uint64 `msgpack:"c,omitempty"`
	// Exclusive marks the claim of a partition's owner.
	Exclusive   bool              `msgpack:"e,omitempty"`
	Router      fleet.VM          `msgpack:"v,omitempty"`
	Incarnation fleet.Incarnation `msgpack:"w,omitempty"`
	// SendDeadlineMS is the Unix time in milliseconds after which the writer of
	// the intent no longer dispatches the order.
	SendDeadlineMS int64    `msgpack:"u,omitempty"`
	Outcome        *Outcome `msgpack:"o,omitempty"`
	// Phase is the state that a checkpoint repeats.
	Phase Phase `msgpack:"h,omitempty"`
	// Operator is the operator who settled the order.
	Operator string `msgpack:"p,omitempty"`
}

// Encode returns the record as it is stored in the log.
func (r *Record) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode order record: %w", err)
	}
	return data, nil
}

// DecodeRecord decodes a record of the log.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := wire.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode order record: %w", err)
	}
	return r, nil
}

// LoggedRecord is a record with its position in the stream.
type LoggedRecord struct {
	Offset uint64
	// Time is the log's timestamp of the append.
	Time   time.Time
	Record Record
}
