// Package membership joins the platform's VM list with heartbeats into one
// router's view of the routers of its site.
//
// The list lags: it may name VMs that are gone and miss VMs that are there. A
// router is alive in a view when the list names it and its heartbeats arrive.
package membership

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// State is a router's state in the view of another one.
type State string

// States of a router.
const (
	// StateJoining is a router that the list does not name yet, that has not
	// been heard yet, or that flaps.
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

// Params are the rules of a view.
type Params struct {
	// Period is the configured time between heartbeats.
	Period time.Duration
	// SuspectPeriods and DeadPeriods are the numbers of missed heartbeats
	// after which a router is suspect and dead.
	SuspectPeriods int
	DeadPeriods    int
	// FlapLimit is the flap penalty from which a router is held back, and
	// FlapHalfLife the time in which a penalty halves.
	FlapLimit    float64
	FlapHalfLife time.Duration
	// SettleTime is the time for which a change of the list counts as recent.
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

// Heartbeat is what one router tells another in a heartbeat about itself.
type Heartbeat struct {
	Incarnation fleet.Incarnation
	// Period is the time until the sender's next heartbeat to this router.
	Period time.Duration
	// Leaving is true once the sender drains.
	Leaving bool
	// ListHash identifies the sender's VM list, zero when it has none.
	ListHash uint32
	// RowsHash covers all that the sender's list says, states included.
	RowsHash uint16
	// Settling is true while the sender's list has changed recently.
	Settling bool
	// Ages tells how long ago the sender last heard of each listed VM. It is
	// empty when every router hears every other one directly.
	Ages []byte
}
