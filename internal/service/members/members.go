// Package members keeps this router's view of the routers of its site: the VM
// list joined with heartbeats.
package members

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/membership"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Name is the service's name in the kernel.
const Name = "members"

// State is a router's state in the view of another one.
type State = membership.State

// States of a router.
const (
	StateJoining = membership.StateJoining
	StateAlive   = membership.StateAlive
	StateSuspect = membership.StateSuspect
	StateDead    = membership.StateDead
	StateLeaving = membership.StateLeaving
)

// Member is one router as this one sees it.
type Member = membership.Member

// Snapshot is one immutable view. Members are sorted by VM name and include
// this router.
type Snapshot struct {
	At      time.Time `json:"at"`
	Members []Member  `json:"members"`
	// HasList is true once the VM list has been read.
	HasList bool `json:"has_list"`
	// Agreed is true while all routers that are heard have the same VM list
	// and none of them has seen it change lately.
	Agreed bool `json:"agreed"`
}

// Find returns the member of that name.
func (s *Snapshot) Find(vm fleet.VM) (Member, bool) {
	for _, m := range s.Members {
		if m.VM == vm {
			return m, true
		}
	}
	return Member{}, false
}

// PrioritySheddable is the priority from which parts are left out of
// heartbeats when the control budget is short.
const PrioritySheddable = 10

// Extension adds a small part to every heartbeat. Parts with a low Priority
// number go first, and those from PrioritySheddable on may be left out.
type Extension struct {
	// Key names the part; short keys keep heartbeats small.
	Key      string
	Priority int
	// Produce returns the part to send to one peer, nil for none. It must not
	// block.
	Produce func(to fleet.VM) []byte
	// Consume takes the part that came from one peer. It must not block.
	Consume func(from fleet.VM, part []byte)
}

// Membership is the view that other services use.
type Membership interface {
	// Self returns this router's own row.
	Self() fleet.VMInfo
	// Incarnation returns the number of this process.
	Incarnation() fleet.Incarnation
	// Snapshot returns the current view.
	Snapshot() *Snapshot
	// Watch calls f after changes of the view, in order, on one goroutine;
	// changes that come close together are one call. It must be called while
	// services are provisioned.
	Watch(f func(*Snapshot))
	// Attach adds a part to heartbeats. It must be called while services are
	// provisioned.
	Attach(e Extension)
	// SendHeartbeats sends a heartbeat to all neighbours now, for news that can't wait.
	SendHeartbeats()
	// Leave tells the other routers that this one drains.
	Leave()
	// SetControl sets the rules of control traffic.
	SetControl(c config.Control)
}

// Relayer tells whether parts of heartbeats must be passed on to reach all
// routers.
type Relayer interface {
	// NeedsRelay reports whether some routers are not neighbours of this one.
	NeedsRelay() bool
}

// Graph tells the routers that this one exchanges heartbeats with.
type Graph interface {
	Neighbours() []fleet.VM
	// RefreshList reads the VM list soon, because it has changed.
	RefreshList()
}
