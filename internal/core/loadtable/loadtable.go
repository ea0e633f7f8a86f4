// Package loadtable encodes the number of requests at each target in half a byte.
//
// Routers send each other the loads of all targets several times a second, and the
// identifiers of the targets would make up most of these messages. An Encoder
// therefore numbers the targets and sends each identifier once; a Decoder keeps
// the resulting tables. Messages may be lost: a Decoder that missed a part of a
// table drops the messages that it can't resolve, until the Encoder sends all
// targets again.
package loadtable

import (
	"encoding/binary"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// maxFullInterval is the number of messages after which all targets are
	// sent again: at four messages a second, a decoder that missed a part
	// recovers within 4 s.
	maxFullInterval = 16
	// minFullInterval is the least number of messages between two that contain
	// all targets, however often new decoders request them.
	minFullInterval = 4
	// tableLifetime is the number of messages after which a new table replaces
	// the current one, so that targets that no longer exist drop out.
	tableLifetime = 256
	// refBytes is the encoded size of a fleet.Ref.
	refBytes = 4
	// countOverflow is the largest value of half a byte. It means that the
	// count is in Message.Large.
	countOverflow = 15
	// maxTableTargets limits the targets of a table, since indexes have 16 bits.
	maxTableTargets = 1 << 16
)

// Message is the wire format of one set of loads.
type Message struct {
	// Table identifies the numbering. First is the index of the first target in
	// Targets, which holds little-endian target references.
	Table   uint64 `msgpack:"t,omitempty"`
	First   uint32 `msgpack:"f,omitempty"`
	Targets []byte `msgpack:"n,omitempty"`
	// Counts holds the load at each index, two per byte, the low half first.
	// Large holds the loads of 15 and more, in order of index.
	Counts []byte   `msgpack:"c,omitempty"`
	Large  []uint32 `msgpack:"x,omitempty"`
	// Work holds the remaining work at each target with a load, one byte each, in order of
	// index. It is empty if none is known. Routers of earlier releases neither send nor read
	// it.
	Work []byte `msgpack:"k,omitempty"`
}

// Load is the number of requests that run at a target.
type Load struct {
	Target  fleet.Ref
	Running uint32
	// WorkMS is the work that remains of these requests in milliseconds of a usual machine
	// (core/workload), zero if unknown.
	WorkMS float32
}

// Encoder numbers targets and encodes their loads. It is not safe for concurrent
// use.
type Encoder struct {
	// table, refs and indexByRef are the current numbering. sent is the number
	// of targets already sent, and messages counts the messages.
	table      uint64
	refs       []fleet.Ref
	indexByRef map[fleet.Ref]int
	sent       int
	messages   int
	// fullDue is set if all targets are to be sent. lastFull is the number of
	// the last message that contained them.
	fullDue  bool
	lastFull int
}

// NewEncoder returns an encoder that numbers its tables from first on. No two
// encoders may use the same table numbers.
func NewEncoder(first uint64) *Encoder {
	return &Encoder{table: first, indexByRef: make(map[fleet.Ref]int), fullDue: true}
}

// SendAllTargets requests a message with all targets, for decoders that are new.
func (e *Encoder) SendAllTargets() { e.fullDue = true }

// Index returns the number of a target, for other parts of the message, and adds
// the target to the table if needed. Call it between Begin and Encode. It returns
// false if the table is full.
func (e *Encoder) Index(ref fleet.Ref) (uint16, bool) {
	i, ok := e.indexByRef[ref]
	if !ok {
		if len(e.refs) >= maxTableTargets {
			return 0, false
		}
		i = len(e.refs)
		e.refs = append(e.refs, ref)
		e.indexByRef[ref] = i
	}
	return uint16(i), true
}

// Begin starts a message and replaces the table at the end of its lifetime.
func (e *Encoder) Begin() {
	e.messages++
	if e.messages%tableLifetime == 0 {
		e.table++
		e.refs, e.sent = nil, 0
		clear(e.indexByRef)
	}
	if e.messages-e.lastFull >= maxFullInterval {
		e.fullDue = true
	}
}

// Encode returns the message for the given loads.
func (e *Encoder) Encode(loads []Load) Message {
	for _, l := range loads {
		e.Index(l.Target)
	}
	if e.fullDue && (e.lastFull == 0 || e.messages-e.lastFull >= minFullInterval) {
		e.sent, e.fullDue, e.lastFull = 0, false, e.messages
	}
	m := Message{Table: e.table, First: uint32(e.sent)}
	for _, ref := range e.refs[e.sent:] {
		m.Targets = binary.LittleEndian.AppendUint32(m.Targets, uint32(ref))
	}
	e.sent = len(e.refs)
	m.Counts, m.Large = e.packCounts(loads)
	m.Work = e.packWork(loads)
	return m
}

// packWork returns the Work field of a message, nil if no work is known.
func (e *Encoder) packWork(loads []Load) []byte {
	known := false
	packed := make([]byte, len(e.refs))
	loaded := make([]bool, len(e.refs))
	for _, l := range loads {
		if i, ok := e.indexByRef[l.Target]; ok && l.Running > 0 {
			packed[i], loaded[i] = packMS(l.WorkMS), true
			known = known || l.WorkMS > 0
		}
	}
	if !known {
		return nil
	}
	out := packed[:0]
	for i, work := range packed {
		if loaded[i] {
			out = append(out, work)
		}
	}
	return out
}

// packCounts returns the Counts and Large fields of a message.
func (e *Encoder) packCounts(loads []Load) (counts []byte, large []uint32) {
	running := make([]uint32, len(e.refs))
	for _, l := range loads {
		if i, ok := e.indexByRef[l.Target]; ok {
			running[i] = l.Running
		}
	}
	last := len(running)
	for last > 0 && running[last-1] == 0 {
		last--
	}
	counts = make([]byte, (last+1)/2)
	for i, n := range running[:last] {
		if n >= countOverflow {
			large = append(large, n)
		}
		counts[i/2] |= byte(min(n, countOverflow)) << (4 * (i % 2))
	}
	return counts, large
}

// Decoder keeps the tables of encoders. It is not safe for concurrent use.
type Decoder struct {
	tables *simplelru.LRU[uint64, []fleet.Ref]
}

// maxDecoderTables limits the tables that a decoder keeps. A hub needs one for each
// router of its data centre, and some for tables that were replaced.
const maxDecoderTables = 1024

// NewDecoder returns a decoder without tables.
func NewDecoder() *Decoder {
	tables, err := simplelru.NewLRU[uint64, []fleet.Ref](maxDecoderTables, nil)
	if err != nil {
		panic(err) // only a size below one is an error
	}
	return &Decoder{tables: tables}
}

// Targets adds the targets of a message to its table and returns that table. It
// returns false if an earlier part of the table was missed.
func (d *Decoder) Targets(m *Message) ([]fleet.Ref, bool) {
	known, _ := d.tables.Get(m.Table)
	if int(m.First) > len(known) {
		return nil, false
	}
	if len(m.Targets) == 0 {
		return known, true
	}
	refs := slices.Clone(known[:m.First])
	for rest := m.Targets; len(rest) >= refBytes; rest = rest[refBytes:] {
		refs = append(refs, fleet.Ref(binary.LittleEndian.Uint32(rest)))
	}
	if len(refs) < len(known) {
		refs = known // an older message
	}
	d.tables.Add(m.Table, refs)
	return refs, true
}

// Loads returns the loads in a message, given its table. It returns false if the
// message is malformed or has more counts than the table has targets.
func (m *Message) Loads(refs []fleet.Ref) ([]Load, bool) {
	var out []Load
	large := m.Large
	for i := range 2 * len(m.Counts) {
		n := uint32(m.Counts[i/2]>>(4*(i%2))) & countOverflow
		if n == 0 {
			continue
		}
		if n == countOverflow {
			if len(large) == 0 {
				return nil, false
			}
			n, large = large[0], large[1:]
		}
		if i >= len(refs) {
			return nil, false
		}
		l := Load{Target: refs[i], Running: n}
		if len(out) < len(m.Work) {
			l.WorkMS = unpackMS(m.Work[len(out)])
		}
		out = append(out, l)
	}
	return out, true
}
