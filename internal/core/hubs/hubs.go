// Package hubs determines the paths along which the routers of a site spread
// updates and digests.
//
// In a small site, every router sends to every other one. Above maxMeshRouters, the
// messages would grow with the square of the number of routers. One router of each
// data centre is then its hub: members exchange messages with their hub only, and
// hubs with each other. The hub is the live router with the greatest weight, so
// that all routers with the same view agree on it without any message.
package hubs

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/core/membership"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// maxMeshRouters is the number of routers up to which each sends to every other
// one. Heartbeats use the same limit.
const maxMeshRouters = 16

// Tree holds the paths of one router.
type Tree struct {
	self fleet.VM
	// mesh is set while every router sends to every other one.
	mesh bool
	// localHub is the hub of the router's own data centre.
	localHub fleet.VM
	// leadHub is the hub that sets the time of the digests.
	leadHub fleet.VM
	// members are the routers of the own data centre, remoteHubs the hubs of
	// the other data centres, and allRouters all live routers; each without the
	// router itself.
	members    []fleet.VM
	remoteHubs []fleet.VM
	allRouters []fleet.VM
}

// New returns the paths of the router self among the live routers of view.
func New(self fleet.VM, view []membership.Member) *Tree {
	alive := RankAlive(view)
	t := &Tree{self: self, mesh: len(alive) <= maxMeshRouters}
	if len(alive) > 0 {
		t.leadHub = alive[0].VM
	}
	local := dataCentreOf(self, view)
	seen := make(map[fleet.DataCentre]bool)
	for _, m := range alive {
		if m.VM != self {
			t.allRouters = append(t.allRouters, m.VM)
			if m.DataCentre == local {
				t.members = append(t.members, m.VM)
			}
		}
		if seen[m.DataCentre] {
			continue
		}
		seen[m.DataCentre] = true
		if m.DataCentre == local {
			t.localHub = m.VM
		} else if m.VM != self {
			t.remoteHubs = append(t.remoteHubs, m.VM)
		}
	}
	return t
}

// dataCentreOf returns the data centre of a router, empty if it is not in view.
func dataCentreOf(self fleet.VM, view []membership.Member) fleet.DataCentre {
	for _, m := range view {
		if m.VM == self {
			return m.DataCentre
		}
	}
	return ""
}

// RankAlive returns the live routers by descending weight. Routers of equal weight
// are ordered by the hash of their name, which mixes data centres.
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

// Self returns the router whose paths these are.
func (t *Tree) Self() fleet.VM { return t.self }

// IsMesh reports whether every router sends to every other one.
func (t *Tree) IsMesh() bool { return t.mesh }

// IsHub reports whether the router is the hub of its data centre.
func (t *Tree) IsHub() bool { return !t.mesh && t.localHub == t.self }

// isLead reports whether the router is the lead hub.
func (t *Tree) isLead() bool { return t.leadHub == t.self }

// Parent returns the hub to which the router sends its updates, empty in a mesh and
// for a hub.
func (t *Tree) Parent() fleet.VM {
	if t.mesh || t.localHub == t.self {
		return ""
	}
	return t.localHub
}

// Members returns the other live routers of the data centre.
func (t *Tree) Members() []fleet.VM { return t.members }

// RemoteHubs returns the hubs of the other data centres.
func (t *Tree) RemoteHubs() []fleet.VM { return t.remoteHubs }

// IsRemoteHub reports whether a router is the hub of another data centre.
func (t *Tree) IsRemoteHub(vm fleet.VM) bool { return slices.Contains(t.remoteHubs, vm) }

// ForwardTo returns the routers to which an update received from a router is sent
// on. An empty from means an update of this router itself:
//
//	mesh    its own updates to all
//	member  its own updates to its hub
//	hub     its own updates and those of members to members and hubs, those of
//	        hubs to members
func (t *Tree) ForwardTo(from fleet.VM) []fleet.VM {
	switch {
	case t.mesh && from == "":
		return t.allRouters
	case t.mesh:
		return nil
	case !t.IsHub() && from == "" && t.localHub != "":
		return []fleet.VM{t.localHub}
	case !t.IsHub():
		return nil
	case t.IsRemoteHub(from):
		return t.members
	}
	out := slices.Concat(t.members, t.remoteHubs)
	return slices.DeleteFunc(out, func(vm fleet.VM) bool { return vm == from })
}

// Scope is the part of the site whose updates a message holds.
type Scope uint8

// Scopes, from the narrowest to the widest.
const (
	// ScopeUnknown is that of a message of an earlier release, which does not tell.
	ScopeUnknown Scope = iota
	// ScopeRouter is one router.
	ScopeRouter
	// ScopeDataCentre is all routers of a data centre, as sent by its hub to other hubs.
	ScopeDataCentre
	// ScopeSite is all routers, as sent by a hub to its members.
	ScopeSite
)

// Relay is where a hub passes on the updates of a message.
type Relay struct {
	Members, Hubs bool
}

// Relay returns where the updates of a message are passed on:
//
//	ScopeRouter      hub to members, and to other hubs if from the own data centre
//	ScopeDataCentre  hub to members
//	ScopeSite        nowhere
//
// Each hop widens the scope, so that no update travels more than three hops. The sender's
// place in the own tree is of no use for that: while routers disagree about who is a hub,
// it may lead in a circle. It counts only for messages that do not tell their scope.
func (t *Tree) Relay(from fleet.VM, scope Scope) Relay {
	if !t.IsHub() {
		return Relay{}
	}
	if scope == ScopeUnknown {
		scope = ScopeRouter
		if t.IsRemoteHub(from) {
			scope = ScopeDataCentre
		}
	}
	switch scope {
	case ScopeRouter:
		return Relay{Members: true, Hubs: !t.isRemote(from)}
	case ScopeDataCentre:
		return Relay{Members: true}
	default:
		return Relay{}
	}
}

// isRemote reports whether a router is known to be in another data centre.
func (t *Tree) isRemote(vm fleet.VM) bool {
	return !slices.Contains(t.members, vm) && slices.Contains(t.allRouters, vm)
}
