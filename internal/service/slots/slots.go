// Package slots places the requests for plain services. One router grants the slots of all targets
// of a service and keeps the queue of the requests that wait for one (core/slotqueue). The other
// routers ask it before they send.
//
// A router that gets no answer in time chooses by itself. Nothing here decides on more than where
// and when a request is sent first, so that a lost or late answer can't make it run twice.
package slots

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/slotqueue"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Name is the name of the service in the kernel.
const Name = "slots"

// Query asks where a request may be sent.
type Query struct {
	Service  fleet.Service
	Account  fleet.Account
	Priority int
	// Repeatable is true if the request may be sent again after a failure.
	Repeatable bool
	// Returning is true if the caller was refused before.
	Returning bool
	// Objective is the time by which the response is in time, Deadline that from which it is
	// of no use.
	Objective, Deadline time.Time
	// Targets are those that the request may be sent to.
	Targets []slotqueue.Target
}

// Outcome is what came of a query.
type Outcome uint8

// Outcomes of a query.
const (
	// ChooseSelf: the router chooses a target by itself.
	ChooseSelf Outcome = iota
	// Granted: the request is sent to the named target, and the grant is returned.
	Granted
	// Refused: the request is not sent.
	Refused
)

// Placement answers a Query.
type Placement struct {
	Outcome Outcome
	Target  fleet.Ref
	// UsableUntil is the time from which a grant is not used, but returned.
	UsableUntil time.Time
	// Grantor is the router that answered, empty if none was asked.
	Grantor fleet.VM
	// Waited is the time until the answer, Position the number of requests that were ahead
	// and Predicted the predicted wait of a request that was refused.
	Waited    time.Duration
	Position  int
	Predicted time.Duration
	// Reason and RetryAfter are those of a refusal.
	Reason     slotqueue.Reason
	RetryAfter time.Duration

	service fleet.Service
	id      uint64
}

// Result is the outcome of a granted request.
type Result struct {
	// Took is the time that the target took, zero if it is unknown.
	Took time.Duration
	// Rejected is true if the target turned the request away, Broken if it broke it.
	Rejected, Broken bool
	// Figures are what the target said of its load, nil for nothing.
	Figures *slotqueue.Figures
}

// Placer places requests.
type Placer interface {
	// Places reports whether requests of a service ask for a slot: those of services with
	// fewer slots than there are routers, as far as the settings say.
	Places(service fleet.Service) bool
	// Place returns where a request may be sent, and waits for a slot if that takes a while.
	Place(ctx context.Context, q *Query) Placement
	// Return gives the grant of a placement back. It does nothing for other outcomes.
	Return(p *Placement, r Result)
	// UseLoads sets the source of the numbers of requests that all routers are known to have
	// at a target. It must be called while services are provisioned.
	UseLoads(load func(fleet.Ref) float64)
}
