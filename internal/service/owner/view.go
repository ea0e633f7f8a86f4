package owner

import (
	"cmp"
	"slices"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/ownership"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/members"
)

// viewOf joins the membership with the marks of a configuration, which may be
// nil. While starting, routers that were not heard yet count as alive, so that
// those that start together agree on who should own what.
func viewOf(snapshot *members.Snapshot, c *config.Effective, starting bool) ownership.View {
	v := ownership.View{HasList: snapshot.HasList && c != nil, Agreed: snapshot.Agreed}
	marks := marksOf(c)
	for i := range snapshot.Members {
		m := &snapshot.Members[i]
		if !m.Listed {
			continue
		}
		v.Routers = append(v.Routers, ownership.Router{
			VM:         m.VM,
			DataCentre: m.DataCentre,
			Eligible:   usable(m, starting) && !marks.drained(m.VM, m.DataCentre),
		})
	}
	if c != nil {
		v.Nearest = make(map[fleet.DataCentre][]fleet.DataCentre, len(c.DataCentres))
		for _, dc := range c.DataCentres {
			v.Nearest[dc.Name] = dc.Nearest
		}
	}
	return v
}

func usable(m *members.Member, starting bool) bool {
	unheard := m.Status == members.StateJoining && m.LastHeard.IsZero()
	return m.Status == members.StateAlive || starting && unheard
}

// marks are the data centres and VMs that operators drain.
type marks struct {
	dcs map[fleet.DataCentre]bool
	vms map[fleet.VM]bool
}

func marksOf(c *config.Effective) marks {
	m := marks{dcs: make(map[fleet.DataCentre]bool), vms: make(map[fleet.VM]bool)}
	if c == nil {
		return m
	}
	for _, dc := range c.DataCentres {
		m.dcs[dc.Name] = dc.Mark == fleet.MarkDrain
	}
	for _, vm := range c.VMs {
		m.vms[vm.Name] = vm.Mark == fleet.MarkDrain
	}
	return m
}

// leaves reports whether operators take a target out of service.
func (m marks) leaves(t *config.Target) bool {
	return t.Mark == fleet.MarkDrain || m.dcs[t.DataCentre]
}

func (m marks) drained(vm fleet.VM, dc fleet.DataCentre) bool { return m.vms[vm] || m.dcs[dc] }

func sortResources(resources []ownership.Resource) {
	slices.SortFunc(resources, func(a, b ownership.Resource) int { return cmp.Compare(a.Name, b.Name) })
}

func namesOf(snapshot *members.Snapshot) []fleet.VM {
	out := make([]fleet.VM, len(snapshot.Members))
	for i := range snapshot.Members {
		out[i] = snapshot.Members[i].VM
	}
	return out
}
