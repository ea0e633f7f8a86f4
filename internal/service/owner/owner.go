// Package owner gives each resource of a site one owning router at a time:
// targets, order partitions and other roles. The owner of a target admits,
// queues and counts all work for it.
package owner

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/fleet"
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
	// Confirm returns nil once enough peers have acknowledged, after the call
	// began, that this router holds the resource. It guards against a pause
	// that this VM's own clock does not show.
	Confirm(ctx context.Context, r Resource) error
	// Watch calls f when this router gains or loses a resource. It must be
	// called while services are provisioned.
	Watch(f func(r Resource, held bool))
}

// TargetState is the state of a target in the view of its owner.
type TargetState string

// States of a target.
const (
	TargetUnknown TargetState = "unknown"
	TargetCold    TargetState = "cold"
	TargetWarming TargetState = "warming"
	TargetWarm    TargetState = "warm"
	TargetSuspect TargetState = "suspect"
	TargetLeaving TargetState = "leaving"
	TargetOut     TargetState = "out"
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
	Running  int `json:"running"`
	Queued   int `json:"queued"`
	// At is the time of the owner's digest.
	At time.Time `json:"at"`
}

// Targets gives the digests of all targets of the site.
type Targets interface {
	Targets() []TargetReport
}
