// Package owner runs the ownership protocol: each resource of a site (a target,
// an order partition or another role) has at most one owning router at a time.
// The owner of a target decides which requests are sent to it: it admits,
// queues and counts them, so that routers together do not overload the target.
// When an owner fails, is paused or drains, another router takes over.
//
// Routers exchange lease messages, and digests of their targets' load and
// health in heartbeats. The lease protocol is in package core/ownership, the
// admission of requests in core/admission.
package owner

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/health"
	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Name is the service's name in the kernel.
const Name = "owner"

// Resource is the name of a resource that one router owns, such as
// "target/engine-1" or "orders/3".
type Resource string

// TargetResource returns the resource of a target.
func TargetResource(t fleet.Target) Resource { return Resource("target/" + string(t)) }

// Ownership gives access to the owners of resources.
type Ownership interface {
	// Declare adds a resource with its home data centre, empty for any. It is
	// meant for resources other than targets, which are declared by the
	// configuration.
	Declare(r Resource, home fleet.DataCentre)
	// Owner returns the router that is believed to own the resource. It is
	// false if none is known.
	Owner(r Resource) (fleet.VM, bool)
	// Holds reports whether this router holds the resource with a valid lease.
	Holds(r Resource) bool
	// Term returns the number of this router's current term as the owner of the
	// resource, zero if it does not hold it. Each term has a different number,
	// so that a caller can tell whether a confirmation belongs to the term that
	// it knows.
	Term(r Resource) uint64
	// Confirm returns nil once enough peers have acknowledged, after the call
	// started, that this router holds the resource. It guards against a pause
	// of this router that the clock of its VM does not show. The error is a
	// *call.Error: call.CodeNotOwner if the lease is lost, call.CodeDeadline if
	// ctx ends first.
	Confirm(ctx context.Context, r Resource) error
	// Watch calls f when this router acquires or loses a resource. It must be
	// called while services are provisioned.
	Watch(f func(r Resource, held bool))
}

// TargetState is the state of a target as seen by its owner.
type TargetState = health.State

// States of a target.
const (
	TargetUnknown = health.Unknown
	TargetCold    = health.Cold
	TargetWarming = health.Warming
	TargetWarm    = health.Warm
	TargetSuspect = health.Suspect
	TargetLeaving = health.Leaving
	TargetOut     = health.Out
)

// TargetReport is the last digest of a target, for operators and for placement.
type TargetReport struct {
	Target     fleet.Target     `json:"target"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	Owner      fleet.VM         `json:"owner"`
	State      TargetState      `json:"state"`
	// Slots is the number of requests that the owner currently allows to run at
	// once, Capacity the number for a warm target.
	Slots    int `json:"slots"`
	Capacity int `json:"capacity"`
	// Running is the load: requests that run at the target or are about to be
	// sent, and requests of earlier owners or other callers that the target
	// reports. Queued are the requests that wait at the owner and those of
	// earlier owners that may still run.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// At is the time of the digest, zero without one.
	At time.Time `json:"at"`
}

// Targets lists the targets of the site.
type Targets interface {
	Targets() []TargetReport
}

// Readiness tells whether this router can place requests.
type Readiness interface {
	// OwnersKnown reports whether this router knows an owner for every target
	// in service, or has waited long enough for the missing ones.
	OwnersKnown() bool
}

// Admitter admits requests to the targets that this router owns.
type Admitter interface {
	// Candidates returns the targets that can run a class of work, sorted by
	// name.
	Candidates(class placement.Class) []placement.Candidate
	// Admit waits, for at most maxWait, until the request may be sent to its
	// target. The error is a *call.Error whose Run is call.RunNot.
	Admit(ctx context.Context, req *call.Request, maxWait time.Duration) (*Permit, error)
	// SetRules sets the rules of the placement policy for the owners of
	// targets. It must be called while services are provisioned.
	SetRules(r placement.Rules)
	// SetChatTarget records the target that a chat moved to, at the owner of
	// the chat's first target. ChatTarget returns the recorded target and
	// whether there is one.
	SetChatTarget(chat uint64, target fleet.Target)
	ChatTarget(chat uint64) (fleet.Target, bool)
}
