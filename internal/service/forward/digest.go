package forward

import (
	"encoding/binary"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// digest is what one router tells another of the work at targets. Positions in
// the table of Work stand for targets.
type digest struct {
	// Total is true when the work is that of all routers.
	Total bool              `msgpack:"s,omitempty"`
	Loads loadtable.Message `msgpack:"w"`
	// Prompts holds, for each placement, the prompt in 8 bytes and its target's
	// position in 2.
	Prompts []byte `msgpack:"p,omitempty"`
	// Outcomes holds triples of position, good and failed requests.
	Outcomes []uint32 `msgpack:"o,omitempty"`
}

// placementBytes is the length of one entry of Prompts.
const placementBytes = 10

// outbox is news of other routers that a hub passes on.
type outbox struct {
	prompts  []balance.Placement
	outcomes map[fleet.Ref]outlier.Counts
}

func (o *outbox) add(prompts []balance.Placement, outcomes map[fleet.Ref]outlier.Counts) {
	o.prompts = append(o.prompts, prompts...)
	if o.outcomes == nil {
		o.outcomes = make(map[fleet.Ref]outlier.Counts)
	}
	for id, c := range outcomes {
		sum := o.outcomes[id]
		o.outcomes[id] = outlier.Counts{OK: sum.OK + c.OK, Failed: sum.Failed + c.Failed}
	}
}

func (o *outbox) take() outbox {
	out := *o
	*o = outbox{}
	return out
}

// newDigest packs loads and news with the writer's table.
func newDigest(w *loadtable.Encoder, loads []balance.Load, news outbox) *digest {
	w.Begin()
	d := new(digest)
	for _, p := range news.prompts {
		if at, ok := w.Index(p.Target); ok {
			d.Prompts = binary.LittleEndian.AppendUint64(d.Prompts, p.Prompt)
			d.Prompts = binary.LittleEndian.AppendUint16(d.Prompts, at)
		}
	}
	for id, c := range news.outcomes {
		if at, ok := w.Index(id); ok {
			d.Outcomes = append(d.Outcomes, uint32(at), uint32(c.OK), uint32(c.Failed))
		}
	}
	d.Loads = w.Encode(loads)
	return d
}

// prompts returns the placements that name targets of the table.
func (d *digest) prompts(refs []fleet.Ref) []balance.Placement {
	out := make([]balance.Placement, 0, len(d.Prompts)/placementBytes)
	for rest := d.Prompts; len(rest) >= placementBytes; rest = rest[placementBytes:] {
		prompt, at := binary.LittleEndian.Uint64(rest), int(binary.LittleEndian.Uint16(rest[8:]))
		if at < len(refs) {
			out = append(out, balance.Placement{Prompt: prompt, Target: refs[at]})
		}
	}
	return out
}

// outcomes returns what happened at targets of the table.
func (d *digest) outcomes(refs []fleet.Ref) map[fleet.Ref]outlier.Counts {
	out := make(map[fleet.Ref]outlier.Counts, len(d.Outcomes)/3)
	for rest := d.Outcomes; len(rest) >= 3; rest = rest[3:] {
		if int(rest[0]) < len(refs) {
			out[refs[rest[0]]] = outlier.Counts{OK: int(rest[1]), Failed: int(rest[2])}
		}
	}
	return out
}
