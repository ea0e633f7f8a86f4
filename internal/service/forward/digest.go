package forward

import (
	"encoding/binary"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// digest is a control message from one router to another with the load of targets,
// new placements and request outcomes. Targets are encoded as indexes into the
// target table of Loads.
type digest struct {
	// Total is true when the loads are those of all routers, and false when they are
	// the sender's own, or for a hub those of its data centre.
	Total bool `msgpack:"s,omitempty"`
	// Loads holds the target table and the load of each target.
	Loads loadtable.Message `msgpack:"w"`
	// Prompts holds 10 bytes for each placement, little endian: the prompt hash in 8
	// bytes and the index of its target in 2.
	Prompts []byte `msgpack:"p,omitempty"`
	// Outcomes holds triples of target index, number of successful requests and
	// number of failed requests.
	Outcomes []uint32 `msgpack:"o,omitempty"`
	// Leaving holds pairs of target index and the low 32 bits of the Born value of the
	// process that said that it is leaving.
	Leaving []uint32 `msgpack:"l,omitempty"`
}

// placementSize is the length in bytes of one entry of Prompts.
const placementSize = 10

// updates collects the placements, request outcomes and leaving targets for the next
// digest.
type updates struct {
	prompts  []balance.Placement
	outcomes map[fleet.Ref]outlier.Counts
	leaving  []leavingTarget
}

// leavingTarget is the process of a target that said that it is leaving, identified by
// the low bits of its Born value.
type leavingTarget struct {
	target fleet.Ref
	born   uint32
}

// merge appends placements and leaving targets and adds up outcomes.
func (u *updates) merge(more updates) {
	u.prompts = append(u.prompts, more.prompts...)
	u.leaving = append(u.leaving, more.leaving...)
	if u.outcomes == nil {
		u.outcomes = make(map[fleet.Ref]outlier.Counts)
	}
	for id, c := range more.outcomes {
		sum := u.outcomes[id]
		u.outcomes[id] = outlier.Counts{OK: sum.OK + c.OK, Failed: sum.Failed + c.Failed}
	}
}

// take returns the collected updates and empties u.
func (u *updates) take() updates {
	out := *u
	*u = updates{}
	return out
}

// newDigest encodes loads and updates with the target table of an encoder. Updates
// about targets that the table cannot hold are left out.
func newDigest(enc *loadtable.Encoder, loads []balance.Load, u updates) *digest {
	enc.Begin()
	d := new(digest)
	for _, p := range u.prompts {
		if index, ok := enc.Index(p.Target); ok {
			d.Prompts = binary.LittleEndian.AppendUint64(d.Prompts, p.Prompt)
			d.Prompts = binary.LittleEndian.AppendUint16(d.Prompts, index)
		}
	}
	for id, c := range u.outcomes {
		if index, ok := enc.Index(id); ok {
			d.Outcomes = append(d.Outcomes, uint32(index), uint32(c.OK), uint32(c.Failed))
		}
	}
	for _, l := range u.leaving {
		if index, ok := enc.Index(l.target); ok {
			d.Leaving = append(d.Leaving, uint32(index), l.born)
		}
	}
	d.Loads = enc.Encode(loads)
	return d
}

// prompts decodes the placements, given the targets of the table by index. Entries
// with an unknown index or of less than placementSize bytes are ignored.
func (d *digest) prompts(refs []fleet.Ref) []balance.Placement {
	out := make([]balance.Placement, 0, len(d.Prompts)/placementSize)
	for rest := d.Prompts; len(rest) >= placementSize; rest = rest[placementSize:] {
		prompt, index := binary.LittleEndian.Uint64(rest), int(binary.LittleEndian.Uint16(rest[8:]))
		if index < len(refs) {
			out = append(out, balance.Placement{Prompt: prompt, Target: refs[index]})
		}
	}
	return out
}

// outcomes decodes the request outcomes, given the targets of the table by index.
// Entries with an unknown index and incomplete triples are ignored.
func (d *digest) outcomes(refs []fleet.Ref) map[fleet.Ref]outlier.Counts {
	out := make(map[fleet.Ref]outlier.Counts, len(d.Outcomes)/3)
	for rest := d.Outcomes; len(rest) >= 3; rest = rest[3:] {
		if int(rest[0]) < len(refs) {
			out[refs[rest[0]]] = outlier.Counts{OK: int(rest[1]), Failed: int(rest[2])}
		}
	}
	return out
}

// leaving decodes the leaving targets, given the targets of the table by index.
// Entries with an unknown index and incomplete pairs are ignored.
func (d *digest) leaving(refs []fleet.Ref) []leavingTarget {
	var out []leavingTarget
	for rest := d.Leaving; len(rest) >= 2; rest = rest[2:] {
		if int(rest[0]) < len(refs) {
			out = append(out, leavingTarget{target: refs[rest[0]], born: rest[1]})
		}
	}
	return out
}
