// Package owner gives each resource of a site one owning router at a time:
// targets, order partitions and other roles. The owner of a target admits,
// queues and counts all work for it.
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

// Resource names something that one router owns, such as "target/engine-1" or
// "orders/3".
type Resource string

// TargetResource returns the resource of a target.
func TargetResource(t fleet.Target) Resource { return Resource("target/" + string(t)) }

// Ownership tells who owns what.
type Ownership interface {
	// Declare adds a resource with its home data centre, empty for any. It is
	// used for roles; targets are declared by configuration.
	Declare(r Resource, home fleet.DataCentre)
	// Owner returns the router that this one believes to own the resource.
	Owner(r Resource) (fleet.VM, bool)
	// Holds reports whether this router holds an unlapsed lease.
	Holds(r Resource) bool
	// Term returns the number of this router's present tenure of the resource,
	// zero when it holds none. Each tenure has another number, so that a user
	// can tell whether a confirmation belongs to the tenure it knows.
	Term(r Resource) uint64
	// Confirm returns nil once enough peers have acknowledged, after the call
	// began, that this router holds the resource. It guards against a pause
	// that this VM's own clock does not show.
	Confirm(ctx context.Context, r Resource) error
	// Watch calls f when this router gains or loses a resource. It must be
	// called while services are provisioned.
	Watch(f func(r Resource, held bool))
}

// TargetState is the state of a target in the view of its owner.
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

// TargetReport describes one target for operators and for placement.
type TargetReport struct {
	Target     fleet.Target     `json:"target"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	Owner      fleet.VM         `json:"owner"`
	State      TargetState      `json:"state"`
	// Slots is the number of requests that the owner lets run at once now;
	// Capacity is the number when warm.
	Slots    int `json:"slots"`
	Capacity int `json:"capacity"`
	// Running is the load: requests at the target, those about to go there and
	// those that earlier owners may have left there.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// At is the time of the owner's digest.
	At time.Time `json:"at"`
}

// Targets gives the digests of all targets of the site.
type Targets interface {
	Targets() []TargetReport
}

// Readiness tells whether requests can be placed.
type Readiness interface {
	// OwnersKnown reports whether this router knows an owner for every target in
	// service, or has waited for it long enough.
	OwnersKnown() bool
}

// Admitter lets requests go to the targets that this router owns.
type Admitter interface {
	// Candidates returns the targets that can run a class of work.
	Candidates(class placement.Class) []placement.Candidate
	// Admit waits, for at most patience, until the request may go to its
	// target. The error is a *call.Error whose Run is call.RunNot.
	Admit(ctx context.Context, req *call.Request, patience time.Duration) (*Permit, error)
	// SetRules tells how the policy in force wants requests to be treated. It
	// must be called while services are provisioned.
	SetRules(r placement.Rules)
	// SetChatTarget notes where a chat whose first target this router owns goes.
	// Recall returns where it went last.
	SetChatTarget(chat uint64, target fleet.Target)
	ChatTarget(chat uint64) (fleet.Target, bool)
}
