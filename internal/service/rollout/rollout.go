// Package rollout moves the traffic of services to new software versions as operators order.
//
// Each router follows the orders that it knows, reports to the router that drives the roll-out
// of a service, and tells forwarding where requests may go. The router that drives it decides by
// core/rollout, and keeps record and status in the platform's log.
package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/rollout"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Name is the name of the service in the kernel and of its settings section.
const Name = "rollout"

// featuresName is the kernel name of the service that tells whether orders are followed.
const featuresName = "features"

// ErrConflict is wrapped by the error of an append to a topic that ends elsewhere.
var ErrConflict = errors.New("another record was appended")

// Position is the end of a topic in an era of the log.
type Position struct {
	Offset int64
	Era    int64
}

// Status is the state of a roll-out as operators read it.
type Status struct {
	State string
	To    string
}

// States of a roll-out.
const (
	stateRunning    = "running"
	stateDone       = "done"
	stateRolledBack = "rolled_back"
)

// Log keeps the records of roll-outs and their status. Appends fail with an error that wraps
// ErrConflict if the topic does not end at the given position.
type Log interface {
	// ReadRollout returns the record of a service, nil if there is none, and the end of its
	// topic.
	ReadRollout(ctx context.Context, service fleet.Service) (*rollout.Record, Position, error)
	// WriteRollout appends the record of a service and returns the end of its topic.
	WriteRollout(ctx context.Context, r *rollout.Record, at Position) (Position, error)
	// ReadStatus returns the status of a service, and the end of its topic.
	ReadStatus(ctx context.Context, service fleet.Service) (Status, Position, error)
	// WriteStatus appends the status of a service and returns the end of its topic.
	WriteStatus(ctx context.Context, service fleet.Service, status Status, at Position) (Position, error)
}

// Rollouts tells forwarding where requests may go, and learns what came of them. Its methods are
// safe for concurrent use.
type Rollouts interface {
	// Rule returns where the next send of a request may go. pinned is the version at which a
	// stream must go on, empty for none: one that must go on at the new version may wait for a
	// grant. The rule is nil if the service has no order. Either Started or Release of the rule
	// must be called.
	Rule(ctx context.Context, service fleet.Service, pinned string) *Rule
	// Started records a send to a target under a rule, which may be nil.
	Started(rule *Rule, service fleet.Service, version string) *Observation
}

// Result is how a send ended.
type Result struct {
	Route  string
	Target fleet.Target
	// Observed is false if the send says nothing of the version of its target.
	Observed bool
	Failed   bool
	// Latency is the time to the response, or to the first event of a stream, zero if it can't
	// be compared. Pace is the mean time between the events of a stream, zero for none.
	Latency time.Duration
	Pace    time.Duration
}
