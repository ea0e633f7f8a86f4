// Package refresh schedules which router reads the platform's log, and when.
//
// The platform charges for each read, and every router needs updates within seconds.
// Routers therefore pass on to each other what they read. A router reads once its
// state is older than its own threshold, which rises with its rank among the live
// routers: the first-ranked router reads for all, and if it stops, the next one takes
// over within one rankDelay, without any coordination.
package refresh

import (
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/membership"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// readAge is the age of the state at which the first-ranked router reads.
	// Together with the time to read and to pass updates on, it keeps the state
	// less than a second old.
	readAge = 700 * time.Millisecond
	// rankDelay is added for each router that ranks higher. A read and the
	// passing on of its updates take less.
	rankDelay = 120 * time.Millisecond
	// maxRankDelays limits how often rankDelay is added.
	maxRankDelays = 5
	// gapReadDelay is the time in which other routers may fill a gap in the VM
	// list before the first-ranked router reads it. gapRankDelay is added for
	// each router that ranks higher, without a limit: after a start of the
	// whole site most routers have a gap, and must not all read it.
	gapReadDelay = time.Second
	gapRankDelay = 100 * time.Millisecond
	// minBackoff and maxFailureBackoff limit the delay after failed reads.
	minBackoff        = 300 * time.Millisecond
	maxFailureBackoff = 1200 * time.Millisecond
	// initialStateBackoff is the delay of a router that has no state yet and
	// refuses every request until it has.
	initialStateBackoff = 250 * time.Millisecond
	// maxRejectedBackoff limits the backoff of a router whose read was rejected
	// because many read at once, for example after an outage of the whole site.
	// The backoff doubles with each rejection, and the delay is a random 20 to
	// 100 % of it.
	maxRejectedBackoff = 4 * time.Second
)

// Schedule determines when one router reads. It is not safe for concurrent use.
type Schedule struct {
	self    fleet.VM
	rank    int
	backoff time.Duration
	retryAt time.Time
}

// New returns the schedule of the router self.
func New(self fleet.VM) *Schedule { return &Schedule{self: self} }

// SetRouters sets the live routers, in an order on which all of them agree.
func (s *Schedule) SetRouters(order []membership.Member) {
	s.rank = slices.IndexFunc(order, func(m membership.Member) bool { return m.VM == s.self })
	if s.rank < 0 {
		s.rank = len(order)
	}
}

// MayRead reports whether no delay after a failed read is left.
func (s *Schedule) MayRead(now time.Time) bool { return !now.Before(s.retryAt) }

// Due reports whether to read now. age is the age of the state; known is false if
// nothing was read yet.
func (s *Schedule) Due(now time.Time, age time.Duration, known bool) bool {
	if now.Before(s.retryAt) {
		return false
	}
	if !known {
		return true
	}
	return age >= readAge+time.Duration(min(s.rank, maxRankDelays))*rankDelay
}

// GapDue reports whether to read now what is missing from a list with a gap since
// the given time.
func (s *Schedule) GapDue(now, since time.Time) bool {
	if now.Before(s.retryAt) {
		return false
	}
	return now.Sub(since) >= gapReadDelay+time.Duration(s.rank)*gapRankDelay
}

// ReadFailed records a failed read and sets the delay before the next one. known is
// false if nothing was read yet.
func (s *Schedule) ReadFailed(now time.Time, known bool) {
	s.backoff = min(max(2*s.backoff, minBackoff), maxFailureBackoff)
	if !known {
		s.backoff = initialStateBackoff
	}
	s.retryAt = now.Add(s.backoff)
}

// ReadRejected records a read that was rejected because many routers read at once.
// draw is a uniform random number in [0, 1).
func (s *Schedule) ReadRejected(now time.Time, draw float64) {
	s.backoff = min(max(2*s.backoff, minBackoff), maxRejectedBackoff)
	s.retryAt = now.Add(time.Duration((0.2 + 0.8*draw) * float64(s.backoff)))
}

// ReadSucceeded records a successful read and resets the backoff.
func (s *Schedule) ReadSucceeded() { s.backoff, s.retryAt = 0, time.Time{} }
