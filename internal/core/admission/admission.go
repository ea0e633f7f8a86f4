// Package admission decides, at the owner of a target, which requests start,
// which wait and which are refused.
//
// The load of a target is the number of requests that its owner has started
// there, plus requests of earlier owners or of other clients. A request starts
// only if the load that includes it stays within the limit. The limit is the
// number of slots of the target now. Under policies with a load bound it is
// also at most the bound times the slots of the target times the mean load per
// slot of all targets that can do the same work, rounded up. A target with any
// slots may always run one request.
package admission

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/fairness"
	"github.com/zinniafork/zinniafork/internal/core/health"
)

// Config is the configuration of the admission at one target.
type Config struct {
	Limits health.Limits
	// Bound is the largest allowed load as a multiple of the mean, zero for no
	// bound.
	Bound float64
	// QueueLength is the number of requests that may wait.
	QueueLength int
	// Weights are the shares of members and client accounts in the queue.
	Weights fairness.Weights
}

// GroupLoad is the load of the other targets that can do the same work.
type GroupLoad struct {
	// Load is the number of requests and Capacity the number of slots, both
	// summed over the targets.
	Load     int
	Capacity int
}

// Report is a load report of a target, as its owner received it.
type Report struct {
	Health health.Report
	// Running is the number of requests at the target.
	Running int
}

// Reason is why a request was refused.
type Reason uint8

// Reasons for a refusal.
const (
	// NotOwner: this router does not own the target.
	NotOwner Reason = iota + 1
	// Unavailable: the target is out or is taken out of service.
	Unavailable
	// Full: the request may not wait and no slot is free.
	Full
	// QueueFull: too many requests wait, most of them, relative to its weight,
	// of the same client account.
	QueueFull
	// TooLate: the request can't start by its StartBy time.
	TooLate
	// Abandoned: the caller has disconnected.
	Abandoned
)

// Refusal is a request that does not run at this target.
type Refusal struct {
	ID     uint64
	Reason Reason
	// RetryAfter is the time after which the caller should try again.
	RetryAfter time.Duration
}

// Actions are what the owner has to do after an event: confirm the lease and
// start the requests of Start, and refuse those of Refuse. Start holds request
// IDs.
type Actions struct {
	Start  []uint64
	Refuse []Refusal
}

// refuse adds a refusal.
func (a *Actions) refuse(id uint64, reason Reason, retryAfter time.Duration) {
	a.Refuse = append(a.Refuse, Refusal{ID: id, Reason: reason, RetryAfter: retryAfter})
}
