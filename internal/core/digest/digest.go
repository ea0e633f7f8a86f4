// Package digest spreads the state of targets from their owners to all routers. An
// owner sends a compact digest per target, and every router merges the digests into
// one table.
package digest

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniafork/zinniafork/internal/core/health"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire/ints"
)

// Key identifies a resource or a VM in digests: the low half of the hash of its
// name.
type Key uint32

// KeyOf returns the key of a name.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// State is the encoded health state of a target, an index into healthStates.
type State uint8

// healthStates lists the states by their encoding. Zero is a resource that is not a
// target.
var healthStates = []health.State{
	"", health.Unknown, health.Cold, health.Warming, health.Warm, health.Suspect, health.Leaving, health.Out,
}

// StateOf returns the encoding of a state.
func StateOf(s health.State) State {
	for i, known := range healthStates {
		if known == s {
			return State(i)
		}
	}
	return 0
}

// Health returns the decoded state, health.Unknown if the encoding is not known.
func (s State) Health() health.State {
	if int(s) >= len(healthStates) {
		return health.Unknown
	}
	return healthStates[s]
}

// ageUnit is the unit of Digest.Age.
const ageUnit = 50 * time.Millisecond

// Digest is the state of one resource as reported by its owner.
type Digest struct {
	Resource Key
	// Owner is the key of the owner's VM, zero if the owner is the sender.
	Owner Key
	// Term and Seq order the digests of a resource. Seq wraps around.
	Term uint64
	Seq  uint8
	// Age is the time since the owner made the digest, in units of 50 ms.
	Age   uint16
	State State
	// Slots is the number of requests that the target may run now, and Load the
	// number that it is known to run. Queued counts the requests that wait at the
	// owner and those of earlier owners that may still run.
	Slots  uint16
	Load   uint16
	Queued uint16
}

// EncodeMsgpack encodes the digest as an array of integers.
func (d *Digest) EncodeMsgpack(enc *msgpack.Encoder) error {
	return ints.Encode(enc,
		uint64(d.Resource), d.Term, uint64(d.Seq), uint64(d.State), uint64(d.Slots),
		uint64(d.Load), uint64(d.Queued), uint64(d.Age), uint64(d.Owner))
}

// DecodeMsgpack decodes what EncodeMsgpack wrote.
func (d *Digest) DecodeMsgpack(dec *msgpack.Decoder) error {
	var v [9]uint64
	if err := ints.Decode(dec, v[:]); err != nil {
		return err
	}
	*d = Digest{
		Resource: Key(v[0]), Term: v[1], Seq: uint8(v[2]), State: State(v[3]), Slots: uint16(v[4]),
		Load: uint16(v[5]), Queued: uint16(v[6]), Age: uint16(v[7]), Owner: Key(v[8]),
	}
	return nil
}

// Batch holds the digests of one heartbeat.
type Batch struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	// ListHash identifies the sender's list of resources.
	ListHash uint16
	// Indexed is true if Digest.Resource is an index into that list instead of a
	// key.
	Indexed bool
	Digests []Digest
}

// DecodeMsgpack decodes a batch of this or another version.
func (b *Batch) DecodeMsgpack(dec *msgpack.Decoder) error {
	return ints.DecodeFields(dec, &b.ListHash, &b.Indexed, &b.Digests)
}

// Entry is a digest in a router's table.
type Entry struct {
	Digest
	// OwnerVM is the owner's name, empty if it is not known.
	OwnerVM fleet.VM
	// At is the latest time, on this router's clock, at which the owner can have
	// made the digest.
	At time.Time

	// from is the neighbour that sent the digest, and version numbers the
	// changes of the table.
	from    fleet.VM
	version uint64
}

// newer reports whether d is newer than e.
func (e *Entry) newer(d *Digest) bool {
	if d.Term != e.Term {
		return d.Term > e.Term
	}
	return int8(d.Seq-e.Seq) > 0
}
