// Package rollout decides how the traffic of a service moves to a new software version.
//
// One router, the controller, drives a roll-out. All routers report to it and send requests to
// the new version only against its grants (Ledger, Gate), so that the number of exposed requests
// is bounded whatever fails. The controller compares both versions (Test) and ends the roll-out
// as done or rolled back (Controller).
//
// The sequential test is Page's CUSUM over the log-likelihood ratios of the conditional
// (two-sample binomial) test: within a short window and a route, each bad response is one of the
// new version with a probability that depends only on how many responses each version gave, as
// long as both are equally good. What both versions suffer therefore cancels out.
package rollout

import (
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Order asks that the traffic of a service move to the targets of a version.
type Order struct {
	Service fleet.Service
	To      string
	// Duration is the time after which the roll-out must have ended.
	Duration time.Duration
	// Offset and Era are the position of the order in the log.
	Offset int64
	Era    int64
}

// Same reports whether two orders are one, which a log that was restored from a copy may show
// at another position.
func (o Order) Same(other Order) bool {
	return o.Service == other.Service && o.To == other.To && o.Duration == other.Duration &&
		(o.Offset == other.Offset || o.Era != other.Era)
}

// Phase is the state of a roll-out.
type Phase uint8

// Phases of a roll-out. Done and RolledBack are final.
const (
	// Canary sends requests to the new version within grants.
	Canary Phase = iota
	// Cutover sends all new requests to the new version.
	Cutover
	Done
	RolledBack
)

// phaseNames holds the names of the phases in records.
var phaseNames = [...]string{"canary", "cutover", "done", "rolled_back"}

// String returns the name of the phase.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Final reports whether the roll-out has ended.
func (p Phase) Final() bool { return p == Done || p == RolledBack }

// ParsePhase returns the phase with a name.
func ParsePhase(name string) (Phase, bool) {
	i := slices.Index(phaseNames[:], name)
	return Phase(max(i, 0)), i >= 0
}

// Record is what must survive the controller of a roll-out.
type Record struct {
	Order Order
	// Base are the versions that served when the order came.
	Base []string
	// Excluded are versions of earlier roll-outs that were not done. They get nothing.
	Excluded []string
	Phase    Phase
	// Reason tells why the roll-out ended.
	Reason string
	// Term rises with each controller, and Writer is the VM of the last one.
	Term   int64
	Writer fleet.VM
	// Remaining is the time to the deadline when the record was written.
	Remaining time.Duration
	// Granted is the number of requests that may have been granted to the new version.
	Granted int64
}

// Limits are the bounds that the platform sets.
type Limits struct {
	// ExposeShare and ExposeSlack bound the requests to a bad version: that share of all
	// requests of the service, and that number more.
	ExposeShare float64
	ExposeSlack float64
	// Rollback is the time after the 50th bad response from which a bad version gets no
	// request.
	Rollback time.Duration
	// StableWindow is the time after which a router that is not heard no longer counts.
	StableWindow time.Duration
}

// DefaultLimits hold where the platform sets none.
var DefaultLimits = Limits{ExposeShare: 0.1, ExposeSlack: 50, Rollback: 5 * time.Second, StableWindow: 4 * time.Second}

// Report is what a router tells the controller of a roll-out.
type Report struct {
	Order       Order             `msgpack:"o"`
	Incarnation fleet.Incarnation `msgpack:"i"`
	// Term, Applied and Phase are those of the last reply that the router follows.
	Term    int64  `msgpack:"t,omitempty"`
	Applied uint64 `msgpack:"a,omitempty"`
	Phase   Phase  `msgpack:"p,omitempty"`
	// Closed is true once the router begins nothing at the old versions any more.
	Closed bool `msgpack:"c,omitempty"`
	// Withdrawn is true if the router knows that the order was deleted.
	Withdrawn bool `msgpack:"w,omitempty"`
	// Sent and New count the requests of the service and those to the new version that were
	// sent since the order.
	Sent int64 `msgpack:"s"`
	New  int64 `msgpack:"n,omitempty"`
	// Held is the number of grants that are held for requests to the new version that were not
	// sent yet.
	Held int64 `msgpack:"d,omitempty"`
	// Urgent is the number of streams that wait to go on at the new version.
	Urgent int `msgpack:"u,omitempty"`
	// Running is the number of requests in flight at the old versions, LongestMs the longest
	// time that a request took there.
	Running   int   `msgpack:"r,omitempty"`
	LongestMs int64 `msgpack:"l,omitempty"`
	// LeftMs is the time to the deadline as far as the router knows.
	LeftMs int64 `msgpack:"f"`
	// Cells are the responses since the last report, or since the order if Whole is true: a
	// router tells all of them once to each controller.
	Cells []Cell `msgpack:"h,omitempty"`
	Whole bool   `msgpack:"e,omitempty"`
}

// Reply is the controller's answer to a report.
type Reply struct {
	Order Order `msgpack:"o"`
	// Holder is the router that drives the roll-out if it is not the one that answers. Nothing
	// else counts then.
	Holder fleet.VM `msgpack:"h,omitempty"`
	Term   int64    `msgpack:"t"`
	Seq    uint64   `msgpack:"q"`
	Phase  Phase    `msgpack:"p,omitempty"`
	Closed bool     `msgpack:"c,omitempty"`
	Base   []string `msgpack:"b,omitempty"`
	// Excluded are versions that get nothing in any phase.
	Excluded []string `msgpack:"e,omitempty"`
	// Limit is the number of requests that the router may have sent to the new version since
	// the order. Like Phase Cutover it is valid for ValidMs from the report on.
	Limit   int64 `msgpack:"l,omitempty"`
	ValidMs int64 `msgpack:"v,omitempty"`
	// IntervalMs is the time to the next report.
	IntervalMs int64 `msgpack:"n,omitempty"`
	LeftMs     int64 `msgpack:"f,omitempty"`
}
