// Package admission decides, at the owner of a target, which requests start,
// which wait and which are refused.
//
// A target's load is the number of requests that its owner has started, plus
// work of earlier owners or of others. A request starts only when the load with
// it stays within the limit: the slots that the target bears now and, for
// bounded policies, the bound times the mean load of all targets that can do
// the same work, for each slot, rounded up. One request is always allowed on a
// target that bears any.
package admission

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/fairness"
	"github.com/zinniafork/zinniafork/internal/core/health"
)

// Config is what configuration tells of a target.
type Config struct {
	Limits health.Limits
	// Bound is the largest load as a multiple of the mean, zero for none.
	Bound float64
	// QueueLength is the number of requests that may wait.
	QueueLength int
	Weights     fairness.Weights
}

// GroupLoad is the load of the other targets that can do the same work.
type GroupLoad struct {
	// Load is the number of requests and Capacity the number of slots, both
	// summed over the targets.
	Load     int
	Capacity int
}

// Report is a target's load report as its owner received it.
type Report struct {
	Health health.Report
	// Running is the number of requests at the target.
	Running int
}

// Reason tells why a request was refused.
type Reason uint8

// Reasons of refusals.
const (
	// NotOwner: this router does not hold the target.
	NotOwner Reason = iota + 1
	// Unavailable: the target is out or leaves.
	Unavailable
	// Full: the request was not to wait and there was no room.
	Full
	// QueueFull: too many requests wait, most of them of the same account.
	QueueFull
	// TooLate: the request can't start in time.
	TooLate
	// Abandoned: its caller has gone.
	Abandoned
)

// Refusal is a request that is not run here.
type Refusal struct {
	ID     uint64
	Reason Reason
	// RetryAfter is the time after which a new try makes sense.
	RetryAfter time.Duration
}

// Actions are what a step asks the owner to do: confirm and start requests,
// and refuse others.
type Actions struct {
	Start  []uint64
	Refuse []Refusal
}

func (a *Actions) refuse(id uint64, reason Reason, after time.Duration) {
	a.Refuse = append(a.Refuse, Refusal{ID: id, Reason: reason, RetryAfter: after})
}
