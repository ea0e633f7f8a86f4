package owner

import (
	"cmp"
	"slices"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/ownership"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/members"
)

// viewOf combines a membership snapshot with the drain marks of a
// configuration, which may be nil. While starting, routers that have not been
// heard from count as alive, so that routers that start together agree on the
// preferred owners.
func viewOf(snapshot *members.Snapshot, c *config.Effective, starting bool) ownership.View {
	v := ownership.View{HasList: snapshot.HasList && c != nil, Agreed: snapshot.Agreed}
	marks := drainMarksOf(c)
	for i := range snapshot.Members {
		m := &snapshot.Members[i]
		if !m.Listed {
			continue
		}
		v.Routers = append(v.Routers, ownership.Router{
			VM:         m.VM,
			DataCentre: m.DataCentre,
			Eligible:   countsAsAlive(m, starting) && !marks.drainsVM(m.VM, m.DataCentre),
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

func countsAsAlive(m *members.Member, starting bool) bool {
	unheard := m.Status == members.StateJoining && m.LastHeard.IsZero()
	return m.Status == members.StateAlive || starting && unheard
}

// drainMarks holds the data centres and VMs that operators have marked for
// draining.
type drainMarks struct {
	dataCentres map[fleet.DataCentre]bool
	vms         map[fleet.VM]bool
}

func drainMarksOf(c *config.Effective) drainMarks {
	m := drainMarks{dataCentres: make(map[fleet.DataCentre]bool), vms: make(map[fleet.VM]bool)}
	if c == nil {
		return m
	}
	for _, dc := range c.DataCentres {
		m.dataCentres[dc.Name] = dc.Mark == fleet.MarkDrain
	}
	for _, vm := range c.VMs {
		m.vms[vm.Name] = vm.Mark == fleet.MarkDrain
	}
	return m
}

// drainsTarget reports whether the target or its data centre is marked for
// draining.
func (m drainMarks) drainsTarget(t *config.Target) bool {
	return t.Mark == fleet.MarkDrain || m.dataCentres[t.DataCentre]
}

func (m drainMarks) drainsVM(vm fleet.VM, dc fleet.DataCentre) bool {
	return m.vms[vm] || m.dataCentres[dc]
}

func sortResources(resources []ownership.Resource) {
	slices.SortFunc(resources, func(a, b ownership.Resource) int { return cmp.Compare(a.Name, b.Name) })
}

func vmNames(snapshot *members.Snapshot) []fleet.VM {
	out := make([]fleet.VM, len(snapshot.Members))
	for i := range snapshot.Members {
		out[i] = snapshot.Members[i].VM
	}
	return out
}
