// Package slotqueue places requests on the targets of plain services, which have few slots and
// work for tens of milliseconds.
//
// Grantor is the state of the one router that grants the slots of a service: what is granted,
// what else the targets carry, and who waits in which order. Picker chooses a target with what
// one router knows, for requests that are placed without a grant.
package slotqueue

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Request is a request that asks for a slot.
type Request struct {
	// ID identifies the request, and its grant. It is drawn by the router that asks, so that
	// this one can return a grant whose answer it has not received.
	ID uint64
	// From is the router that asks.
	From     fleet.VM
	Account  fleet.Account
	Priority int
	// Repeatable is true if the request may be sent again after a failure.
	Repeatable bool
	// Returning is true if the caller was refused before.
	Returning bool
	// Objective is the time by which a response is in time, Deadline that from which it is
	// of no use.
	Objective, Deadline time.Time
	// Targets are those that the request may be sent to.
	Targets []fleet.Ref
}

// State is the state of a request after a decision.
type State uint8

// States of a request.
const (
	Waiting State = iota
	Granted
	Refused
)

// Reason tells why a request was refused.
type Reason string

// Reasons for a refusal.
const (
	// TooLate: the request would start too late to end before its deadline.
	TooLate Reason = "too_late"
	// Full: too many requests wait.
	Full Reason = "queue_full"
	// NoTarget: the grantor knows none of the targets of the request.
	NoTarget Reason = "no_target"
)

// Decision is what became of a request.
type Decision struct {
	Request uint64
	State   State
	// Target is the target of a grant.
	Target fleet.Ref
	// Reason and RetryAfter are those of a refusal. RetryAfter is not spread yet.
	Reason     Reason
	RetryAfter time.Duration
	// Waited is the time that the request has waited, Position the number of requests ahead
	// of it and Predicted its predicted wait. Both are zero for a grant.
	Waited    time.Duration
	Position  int
	Predicted time.Duration
}

// Release returns a grant.
type Release struct {
	Request uint64
	// Took is the time that the target took, zero if it is unknown.
	Took time.Duration
	// Rejected is true if the target turned the request away, Broken if it broke it. A whole
	// response is none of them, even if it tells of an error.
	Rejected, Broken bool
	// Figures are what the target said of its load, nil for nothing.
	Figures *Figures
}

// Target is a target whose slots are granted.
type Target struct {
	Ref   fleet.Ref
	Slots int
	// Known is the number of requests that are known to run there.
	Known float64
}
