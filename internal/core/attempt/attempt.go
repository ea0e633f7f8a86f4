// Package attempt decides, after each send of a request to a target, whether
// the request is sent again and, if not, what its caller is told.
//
// Each send has one Outcome. The caller is told that its request was not run
// only if every send ended as NotSent, Refused or Misdirected: after any other
// outcome a target may have run it.
//
// A silent target may still go on. While a send is silent, the request may be hedged:
// it is sent to another target as well, and the silent send is ended only once that
// one responds. Load pattern: engines that pause or are slow while others are full,
// lost or at their retry budget, so that a send that was given up could not be
// replaced.
package attempt

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/routing"
)

// Outcome describes how one send ended.
type Outcome uint8

// Outcomes of a send. From Unknown on, the request may have run.
const (
	// NotSent: no byte of the request was sent, because no connection opened or
	// no target could be chosen.
	NotSent Outcome = iota
	// Refused: the target responded that it did not run the request.
	Refused
	// Misdirected: the address now belongs to another target, which did not run
	// the request.
	Misdirected
	// Unknown: bytes of the request were sent and no complete response arrived.
	// It may have run.
	Unknown
	// FailedResponse: the target ran the request and returned a failure.
	FailedResponse
	// Broken: the response started and was cut off.
	Broken
)

// String returns the name of the outcome in logs.
func (s Outcome) String() string {
	return [...]string{"not_sent", "refused", "misdirected", "unknown", "failed_answer", "broken"}[s]
}

// Action is what to do with a request after a send ended.
type Action uint8

// Actions after a send.
const (
	// Retry sends the request to another target.
	Retry Action = iota
	// Resume sends the request of a stream to another target, which continues
	// after the last event that the caller has.
	Resume
	// Refuse tells the caller that the request was not run.
	Refuse
	// Fail tells the caller that the request failed and may have been run.
	Fail
	// PassFailure returns the failure response of the target to the caller.
	PassFailure
	// Cut aborts a response that has started, so that the caller does not take
	// it for a complete one.
	Cut
)

// String returns the name of the action in logs.
func (s Action) String() string {
	return [...]string{"again", "resume", "refuse", "fail", "pass", "cut"}[s]
}

// Limit tells what kept a request from being sent again.
type Limit uint8

// Limits of further sends.
const (
	// NoLimit: the request is sent again, or no send has ended yet.
	NoLimit Limit = iota
	// NotIdempotent: the request may have run and must not run twice.
	NotIdempotent
	// NoAttempts: it was sent to as many targets as its route allows.
	NoAttempts
	// NoTime: its deadline is too close.
	NoTime
	// NoBudget: the retry budget of the service is used up.
	NoBudget
	// NoTarget: no target may get the request.
	NoTarget
	// Isolated: it may crash the targets that it is sent to.
	Isolated
)

// String returns the name of the limit in logs, empty for NoLimit.
func (l Limit) String() string {
	return [...]string{"", "not_idempotent", "attempts", "time", "budget", "no_target", "isolated"}[l]
}

// maxUndelivered is the number of targets tried for a request of which no byte
// has reached its target.
const maxUndelivered = 4

// MinTimeLeft is the time until the deadline of a request below which it is not
// sent again.
const MinTimeLeft = 20 * time.Millisecond

// Machine tracks the sends of one request. It is not safe for concurrent use.
type Machine struct {
	route *routing.Route
	// sends counts the targets that the request reached, undelivered those that
	// it did not reach: NotSent and Misdirected sends.
	sends       int
	undelivered int
	// mayHaveRun is true once a send had an outcome from Unknown on.
	mayHaveRun bool
	// limit is what kept the request from being sent again after its last send.
	limit Limit
	// isolated is true once the request must not be sent again.
	isolated bool
}

// New returns the state of a request that has not been sent yet.
func New(r *routing.Route) *Machine { return &Machine{route: r} }

// Sends returns the number of targets that the request reached.
func (m *Machine) Sends() int { return m.sends }

// IsRetry reports whether the next send is a retry: an earlier one reached a
// target.
func (m *Machine) IsRetry() bool { return m.sends > 0 }

// Limit returns what kept the request from being sent again after its last send.
func (m *Machine) Limit() Limit { return m.limit }

// Isolate lets no further send of the request start, since it may crash its targets.
func (m *Machine) Isolate() { m.isolated = true }

// Budget limits retries.
type Budget interface {
	// Take reports whether one more retry is allowed, and counts it.
	Take(now time.Time) bool
}

// SendEnded takes the outcome of a send and returns the next action. left is
// the time until the request's deadline.
//
//	not sent      Retry on up to maxUndelivered targets, then Refuse
//	misdirected   as not sent: the intended target has not seen the request
//	refused       Retry within Attempts and the budget, then Refuse
//	unknown       Retry if idempotent, within Attempts and the budget, else Fail
//	failed        as unknown, but PassFailure instead of Fail
//	broken        Resume if it is a resumable stream, within Attempts and the
//	              budget, else Cut: the response of another run can't go on
//	              where another kind of response broke off
//
// Refuse becomes Fail if an earlier send of the request may have run. A request that is
// isolated is neither retried nor resumed.
func (m *Machine) SendEnded(now time.Time, s Outcome, left time.Duration, b Budget) Action {
	m.limit = NoLimit
	switch s {
	case NotSent, Misdirected:
		m.undelivered++
		if m.limit = m.undeliveredLimit(left); m.limit == NoLimit {
			return Retry
		}
		return m.failOrRefuse()
	case Refused:
		m.sends++
		if m.mayRetry(now, left, b) {
			return Retry
		}
		return m.failOrRefuse()
	}
	m.sends++
	m.mayHaveRun = true
	if s == Broken && m.route.Kind != routing.Stream || !m.route.Idempotent() {
		m.limit = NotIdempotent
	} else if m.mayRetry(now, left, b) {
		if s == Broken {
			return Resume
		}
		return Retry
	}
	switch s {
	case FailedResponse:
		return PassFailure
	case Broken:
		return Cut
	default:
		return Fail
	}
}

// NoTarget returns the action for a request for which no target can be chosen.
func (m *Machine) NoTarget() Action {
	m.limit = NoTarget
	return m.failOrRefuse()
}

// failOrRefuse ends a request that is not sent again.
func (m *Machine) failOrRefuse() Action {
	if m.mayHaveRun {
		return Fail
	}
	return Refuse
}

// undeliveredLimit returns the limit of further sends after one that did not reach
// its target.
func (m *Machine) undeliveredLimit(left time.Duration) Limit {
	switch {
	case m.isolated:
		return Isolated
	case m.undelivered >= maxUndelivered:
		return NoAttempts
	case left <= MinTimeLeft:
		return NoTime
	default:
		return NoLimit
	}
}

// mayRetry reports whether attempts, time and budget allow another send, and notes
// what does not. It takes the retry from the budget.
func (m *Machine) mayRetry(now time.Time, left time.Duration, b Budget) bool {
	switch {
	case m.isolated:
		m.limit = Isolated
	case m.sends >= m.route.Attempts:
		m.limit = NoAttempts
	case left <= MinTimeLeft:
		m.limit = NoTime
	case !b.Take(now):
		m.limit = NoBudget
	}
	return m.limit == NoLimit
}
