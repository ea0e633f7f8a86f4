// Package loadtable packs the work at each target into half a byte.
//
// Routers tell each other the work at all targets several times a second, and
// names of targets would make up most of it. A Writer therefore numbers the
// targets and tells each number's target once; a Reader follows. Messages may
// be lost: a Reader that misses a part drops what it can't resolve until the
// Writer tells all targets again.
package loadtable

import (
	"encoding/binary"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// fullEvery is the number of messages of which one tells all targets: a
	// reader that missed a part waits for 4 s at four messages a second.
	fullEvery = 16
	// fullApart is the least number of messages between two that tell all
	// targets, however often new readers ask for them.
	fullApart = 4
	// tableLife is the number of messages after which a table without the
	// targets that have gone takes the place of the last one.
	tableLife = 256
	// refBytes is the length of a target's short name.
	refBytes = 4
	// most is the largest count in half a byte; it means that the count is
	// among those told apart.
	most = 15
	// tableLimit bounds the targets of a table; positions are 16 bits wide.
	tableLimit = 1 << 16
)

// Message is what a Writer tells. Its fields go on the wire.
type Message struct {
	// Table identifies the numbering, and First is the position of the first
	// target in Targets.
	Table   uint64 `msgpack:"t,omitempty"`
	First   uint32 `msgpack:"f,omitempty"`
	Targets []byte `msgpack:"n,omitempty"`
	// Counts holds the work at each position, two in a byte, and Large that of
	// positions with a count of 15 and more, in order.
	Counts []byte   `msgpack:"c,omitempty"`
	Large  []uint32 `msgpack:"x,omitempty"`
}

// Load is the work at a target.
type Load struct {
	Target  fleet.Ref
	Running uint32
}

// Encoder numbers targets. It is not safe for concurrent use.
type Encoder struct {
	table  uint64
	refs   []fleet.Ref
	at     map[fleet.Ref]int
	told   int
	writes int
	// full is set while all targets are to be told, lastFull is the message
	// that told them last.
	full     bool
	lastFull int
}

// NewEncoder returns a writer whose tables are numbered from first on, a number
// that no other writer uses.
func NewEncoder(first uint64) *Encoder {
	return &Encoder{table: first, at: make(map[fleet.Ref]int), full: true}
}

// SendAllTargets makes one of the next messages tell all targets, for readers that are
// new.
func (w *Encoder) SendAllTargets() { w.full = true }

// Index returns the number of a target, for other parts of the message.
// Call it before Write. It is false when the table is full.
func (w *Encoder) Index(ref fleet.Ref) (uint16, bool) {
	i, ok := w.at[ref]
	if !ok {
		if len(w.refs) >= tableLimit {
			return 0, false
		}
		i = len(w.refs)
		w.refs = append(w.refs, ref)
		w.at[ref] = i
	}
	return uint16(i), true
}

// Begin starts a message and renews an old table.
func (w *Encoder) Begin() {
	w.writes++
	if w.writes%tableLife == 0 {
		w.table++
		w.refs, w.told = nil, 0
		clear(w.at)
	}
	if w.writes-w.lastFull >= fullEvery {
		w.full = true
	}
}

// Encode returns the message for the work at targets.
func (w *Encoder) Encode(loads []Load) Message {
	for _, l := range loads {
		w.Index(l.Target)
	}
	if w.full && (w.lastFull == 0 || w.writes-w.lastFull >= fullApart) {
		w.told, w.full, w.lastFull = 0, false, w.writes
	}
	m := Message{Table: w.table, First: uint32(w.told)}
	for _, ref := range w.refs[w.told:] {
		m.Targets = binary.LittleEndian.AppendUint32(m.Targets, uint32(ref))
	}
	w.told = len(w.refs)
	m.Counts, m.Large = w.pack(loads)
	return m
}

func (w *Encoder) pack(loads []Load) (counts []byte, large []uint32) {
	running := make([]uint32, len(w.refs))
	for _, l := range loads {
		if i, ok := w.at[l.Target]; ok {
			running[i] = l.Running
		}
	}
	last := len(running)
	for last > 0 && running[last-1] == 0 {
		last--
	}
	counts = make([]byte, (last+1)/2)
	for i, n := range running[:last] {
		if n >= most {
			large = append(large, n)
		}
		counts[i/2] |= byte(min(n, most)) << (4 * (i % 2))
	}
	return counts, large
}

// Decoder follows the tables of writers. It is not safe for concurrent use.
type Decoder struct {
	tables *simplelru.LRU[uint64, []fleet.Ref]
}

// readerTables bounds the tables that a reader follows: a hub hears each router
// of its data centre, and tables are renewed.
const readerTables = 1024

// NewDecoder returns a reader that knows no table.
func NewDecoder() *Decoder {
	tables, err := simplelru.NewLRU[uint64, []fleet.Ref](readerTables, nil)
	if err != nil {
		panic(err) // only a size below one is an error
	}
	return &Decoder{tables: tables}
}

// Targets takes the targets that a message tells and returns all of its table.
// It is false when some were missed.
func (r *Decoder) Targets(m *Message) ([]fleet.Ref, bool) {
	known, _ := r.tables.Get(m.Table)
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
	r.tables.Add(m.Table, refs)
	return refs, true
}

// Loads returns the work that a message tells, for the targets of its table.
// It is false when the message has more than the table.
func (m *Message) Loads(refs []fleet.Ref) ([]Load, bool) {
	var out []Load
	large := m.Large
	for i := range 2 * len(m.Counts) {
		n := uint32(m.Counts[i/2]>>(4*(i%2))) & most
		if n == 0 {
			continue
		}
		if n == most {
			if len(large) == 0 {
				return nil, false
			}
			n, large = large[0], large[1:]
		}
		if i >= len(refs) {
			return nil, false
		}
		out = append(out, Load{Target: refs[i], Running: n})
	}
	return out, true
}
