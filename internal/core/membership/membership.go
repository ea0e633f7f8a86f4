// Package membership tracks the routers of one site. It combines the platform's
// VM list with the heartbeats that routers exchange into one router's view of
// which routers are alive, suspect or dead.
//
// The list lags: it may name VMs that are gone and miss VMs that exist. A
// router counts as alive when the list names it and its heartbeats arrive.
// Routers that flap are held back until they are stable.
package membership

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// State is a router's state in the view of another router.
type State string

// States of a router.
const (
	// StateJoining is a router that the list does not name yet, that was never
	// heard, or that is held back for flapping.
	StateJoining State = "joining"
	// StateAlive is a router that the list names and whose heartbeats arrive.
	StateAlive State = "alive"
	// StateSuspect is a router that missed SuspectPeriods heartbeats.
	StateSuspect State = "suspect"
	// StateDead is a router that missed DeadPeriods heartbeats.
	StateDead State = "dead"
	// StateLeaving is a router that is draining, by its own heartbeats or by
	// the list.
	StateLeaving State = "leaving"
)

// Member is one router in the view of another router.
type Member struct {
	fleet.VMInfo
	// Incarnation identifies the router's process; it is zero until a heartbeat
	// arrives.
	Incarnation fleet.Incarnation `json:"incarnation"`
	Status      State             `json:"status"`
	// LastHeard is the latest time at which the router is known to have been
	// alive, from its own heartbeats or from the ages that others relay. It is
	// zero if there is none.
	LastHeard time.Time `json:"last_heard"`
	// Listed is true while the VM list names the VM.
	Listed bool `json:"listed"`
}

// Params are the timing rules of a view.
type Params struct {
	// Period is the configured time between heartbeats.
	Period time.Duration
	// SuspectPeriods and DeadPeriods are the numbers of missed heartbeats after
	// which a router is suspect and dead.
	SuspectPeriods int
	DeadPeriods    int
	// FlapLimit is the flap penalty from which a router is held back; it is
	// released below half of that. FlapHalfLife is the time in which a penalty
	// halves. A restart or a return from suspect or dead adds a penalty of 1.
	FlapLimit    float64
	FlapHalfLife time.Duration
	// SettleTime is how long a change of the VM list counts as recent.
	SettleTime time.Duration
}

// DefaultParams returns the rules for a heartbeat period.
func DefaultParams(period time.Duration) Params {
	return Params{
		Period:         period,
		SuspectPeriods: 3,
		DeadPeriods:    6,
		FlapLimit:      3,
		FlapHalfLife:   10 * time.Second,
		SettleTime:     7 * time.Second,
	}
}

// Heartbeat is the part of a heartbeat in which a router reports its own state.
type Heartbeat struct {
	// Incarnation identifies the sender's process; a higher one is newer.
	Incarnation fleet.Incarnation
	// Period is the time until the sender's next heartbeat to this router.
	Period time.Duration
	// Leaving is true while the sender drains.
	Leaving bool
	// ListHash covers the names and data centres of the sender's VM list. It is
	// zero if the sender has no list or left the hashes out.
	ListHash uint32
	// RowsHash also covers the states and addresses in the sender's VM list.
	RowsHash uint16
	// Settling is true while the sender's list changed within SettleTime.
	Settling bool
	// Ages tell how long ago the sender last heard each listed VM, one byte per
	// VM in list order. It is empty if every router hears every other one
	// directly.
	Ages []byte
}
