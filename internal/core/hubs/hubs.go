// Package hubs chooses the paths by which routers spread news.
//
// Up to a small number of routers, each tells every other one. Above it, the
// messages would grow with the square of the routers; then one router of each
// data centre is its hub, members exchange news with their hub alone, and hubs
// with each other. The hub is the strongest router that is alive, so that all
// routers with the same view agree without a message.
package hubs

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/core/membership"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// meshLimit is the number of routers up to which each tells every other one. It
// is also that of heartbeats.
const meshLimit = 16

// Tree is the paths of one router.
type Tree struct {
	self fleet.VM
	// mesh is set while every router tells every other one.
	mesh bool
	// hub is that of the router's own data centre.
	hub fleet.VM
	// lead is the hub whose time the others follow.
	lead fleet.VM
	// members are the routers of its data centre, hubs those of the others, and
	// all every router, each without the router itself.
	members []fleet.VM
	hubs    []fleet.VM
	all     []fleet.VM
}

// New returns the paths of a router among those that are alive.
func New(self fleet.VM, view []membership.Member) *Tree {
	alive := RankAlive(view)
	t := &Tree{self: self, mesh: len(alive) <= meshLimit}
	if len(alive) > 0 {
		t.lead = alive[0].VM
	}
	home := homeOf(self, view)
	seen := make(map[fleet.DataCentre]bool)
	for _, m := range alive {
		if m.VM != self {
			t.all = append(t.all, m.VM)
			if m.DataCentre == home {
				t.members = append(t.members, m.VM)
			}
		}
		if seen[m.DataCentre] {
			continue
		}
		seen[m.DataCentre] = true
		if m.DataCentre == home {
			t.hub = m.VM
		} else if m.VM != self {
			t.hubs = append(t.hubs, m.VM)
		}
	}
	return t
}

func homeOf(self fleet.VM, view []membership.Member) fleet.DataCentre {
	for _, m := range view {
		if m.VM == self {
			return m.DataCentre
		}
	}
	return ""
}

// RankAlive returns the routers that are alive, the strongest first. Equal ones
// are in an order that mixes data centres.
func RankAlive(view []membership.Member) []membership.Member {
	alive := slices.DeleteFunc(slices.Clone(view), func(m membership.Member) bool {
		return m.Status != membership.StateAlive
	})
	slices.SortFunc(alive, func(a, b membership.Member) int {
		return cmp.Or(
			cmp.Compare(b.Weight, a.Weight),
			cmp.Compare(xxhash.Sum64String(string(a.VM)), xxhash.Sum64String(string(b.VM))),
		)
	})
	return alive
}

// IsMesh reports whether every router tells every other one.
func (t *Tree) IsMesh() bool { return t.mesh }

// IsHub reports whether the router is the hub of its data centre.
func (t *Tree) IsHub() bool { return !t.mesh && t.hub == t.self }

// leads reports whether the other hubs follow this router's time.
func (t *Tree) leads() bool { return t.lead == t.self }

// Parent returns the hub that the router tells its news, empty when it tells
// them to others itself.
func (t *Tree) Parent() fleet.VM {
	if t.mesh || t.hub == t.self {
		return ""
	}
	return t.hub
}

// Members returns the other routers of the data centre.
func (t *Tree) Members() []fleet.VM { return t.members }

// RemoteHubs returns the hubs of the other data centres.
func (t *Tree) RemoteHubs() []fleet.VM { return t.hubs }

// IsRemoteHub reports whether a router is a hub of another data centre.
func (t *Tree) IsRemoteHub(vm fleet.VM) bool { return slices.Contains(t.hubs, vm) }

// ForwardTo returns the routers to which news goes on, that came from a router or,
// with an empty name, began here:
//
//	mesh    its own news to all
//	member  its own news to its hub
//	hub     its own news and those of members to members and hubs, those of
//	        hubs to members
func (t *Tree) ForwardTo(from fleet.VM) []fleet.VM {
	switch {
	case t.mesh && from == "":
		return t.all
	case t.mesh:
		return nil
	case !t.IsHub() && from == "" && t.hub != "":
		return []fleet.VM{t.hub}
	case !t.IsHub():
		return nil
	case t.IsRemoteHub(from):
		return t.members
	}
	out := slices.Concat(t.members, t.hubs)
	return slices.DeleteFunc(out, func(vm fleet.VM) bool { return vm == from })
}
