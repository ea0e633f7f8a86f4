// Package members tracks which routers of the site are alive. It combines the VM
// list, which is read periodically, with the heartbeats that routers send each
// other. A failed read of the list leaves the view as it is. The heartbeats also
// carry small data of other services, and their period adapts to the budget for
// control traffic.
package members

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/membership"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Name is the name of the service in the kernel.
const Name = "members"

// State is the state of a router in the view of another router.
type State = membership.State

// States of a router.
const (
	StateJoining = membership.StateJoining
	StateAlive   = membership.StateAlive
	StateSuspect = membership.StateSuspect
	StateDead    = membership.StateDead
	StateLeaving = membership.StateLeaving
)

// Member is one router in the view of this router.
type Member = membership.Member

// Snapshot is an immutable copy of the view.
type Snapshot struct {
	// At is the time of the snapshot.
	At time.Time `json:"at"`
	// Members are sorted by VM name and include this router.
	Members []Member `json:"members"`
	// HasList is true once the VM list has been read.
	HasList bool `json:"has_list"`
	// Agreed is true while no router can be acting on another VM list, see
	// membership.View.Agreed.
	Agreed bool `json:"agreed"`
}

// Find returns the member with the VM name, and false if there is none.
func (s *Snapshot) Find(vm fleet.VM) (Member, bool) {
	for _, m := range s.Members {
		if m.VM == vm {
			return m, true
		}
	}
	return Member{}, false
}

// PrioritySheddable is the lowest priority number of the extensions that are
// left out of heartbeats when control traffic exceeds its budget.
const PrioritySheddable = 10

// Extension adds data of another service to heartbeats.
type Extension struct {
	// Key identifies the extension. It is sent in each heartbeat, so it should
	// be short.
	Key string
	// Priority orders the extensions; low numbers are sent first. Extensions
	// with PrioritySheddable or a higher number may be left out.
	Priority int
	// Produce returns the data to send to a peer, or nil for none. It must not
	// block.
	Produce func(to fleet.VM) []byte
	// Consume handles the data received from a peer. It must not block.
	Consume func(from fleet.VM, part []byte)
}

// Membership gives other services the view of the routers of the site and lets
// them send data in heartbeats.
type Membership interface {
	// Self returns the VM of this router, with its addresses.
	Self() fleet.VMInfo
	// Incarnation returns the number of this process. It increases with each
	// start.
	Incarnation() fleet.Incarnation
	// Snapshot returns the current view.
	Snapshot() *Snapshot
	// Watch registers f to be called after changes of the view. Calls are made
	// one at a time with the newest snapshot, so that one call may cover several
	// changes. Watch must be called while services are provisioned.
	Watch(f func(*Snapshot))
	// Attach adds an extension to heartbeats. It must be called while services
	// are provisioned.
	Attach(e Extension)
	// SendHeartbeats sends a heartbeat to all neighbours now, for updates that
	// can't wait for the next period.
	SendHeartbeats()
	// Leave marks this router as leaving and announces it to the neighbours.
	Leave()
	// SetControl sets the heartbeat period and the budget of control traffic.
	SetControl(c config.Control)
}

// Relayer reports whether the data of an extension must be relayed to reach all
// routers.
type Relayer interface {
	// NeedsRelay reports whether some routers are not neighbours of this router.
	NeedsRelay() bool
}

// Graph gives access to the neighbours of this router.
type Graph interface {
	// Neighbours returns the routers that exchange heartbeats with this router.
	Neighbours() []fleet.VM
	// RefreshList starts a read of the VM list, which is known to have changed.
	RefreshList()
}
