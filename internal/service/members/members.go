// Package members keeps this router's view of the routers of its site: the VM
// list joined with heartbeats.
package members

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/fleet"
)

// Name is the service's name in the kernel.
const Name = "members"

// State is a router's state in the view of another one.
type State string

// States of a router.
const (
	StateJoining State = "joining"
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateDead    State = "dead"
	StateLeaving State = "leaving"
)

// Member is one router as this one sees it.
type Member struct {
	fleet.VMInfo
	Incarnation fleet.Incarnation `json:"incarnation"`
	Status      State             `json:"status"`
	// LastHeard is the time of the last heartbeat, zero when none came.
	LastHeard time.Time `json:"last_heard"`
	// Listed is true while the VM list names the VM.
	Listed bool `json:"listed"`
}

// Snapshot is one immutable view. Members are sorted by VM name and include
// this router.
type Snapshot struct {
	At      time.Time `json:"at"`
	Members []Member  `json:"members"`
}

// Extension adds a small part to every heartbeat. Parts with the lowest
// Priority number are kept when the control budget is short.
type Extension struct {
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
	// Watch calls f after each change of the view, in order. It must be
	// called while services are provisioned.
	Watch(f func(*Snapshot))
	// Attach adds a part to heartbeats. It must be called while services are
	// provisioned.
	Attach(e Extension)
}
