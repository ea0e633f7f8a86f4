// Package refresh decides which router reads the platform's log, and when.
//
// Each call is priced, and every router needs news within seconds. The routers
// tell each other what they read. A router reads when its state has grown
// older than its own threshold, which rises with its rank among the routers
// that are alive: the first one reads for all, and the next takes over within
// a step when it stops, without any agreement between them.
package refresh

import (
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/membership"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// period is the age at which the first router reads. With the time of a
	// read and of passing it on, it keeps news under a second old.
	period = 700 * time.Millisecond
	// step is added for each router that ranks before; a read and its news
	// take less.
	step = 120 * time.Millisecond
	// steps is the most steps that are added.
	steps = 5
	// gapWait is the time for which other routers may fill a gap in the VM list
	// before the first router reads it, and gapStep is added for each router
	// that ranks before. A start of all leaves a gap at most of them.
	gapWait = time.Second
	gapStep = 100 * time.Millisecond
	// backoffFirst and backoffMax are the waits after failed reads.
	backoffFirst = 300 * time.Millisecond
	backoffMax   = 1200 * time.Millisecond
	// backoffEmpty is the wait of a router that knows nothing yet and refuses
	// every request meanwhile.
	backoffEmpty = 250 * time.Millisecond
	// busyMost bounds the wait of a router that was turned away because many
	// read at once, as after a loss of all. Waits are drawn, and grow.
	busyMost = 4 * time.Second
)

// Schedule tells when one router reads. It is not safe for concurrent use.
type Schedule struct {
	self    fleet.VM
	rank    int
	backoff time.Duration
	notYet  time.Time
}

// New returns the schedule of a router.
func New(self fleet.VM) *Schedule { return &Schedule{self: self} }

// SetRouters takes the routers that are alive, in an order that all of them
// agree on.
func (s *Schedule) SetRouters(order []membership.Member) {
	s.rank = slices.IndexFunc(order, func(m membership.Member) bool { return m.VM == s.self })
	if s.rank < 0 {
		s.rank = len(order)
	}
}

// Due reports whether to read now. Age is that of the state; known is false
// while nothing was read yet.
func (s *Schedule) Due(now time.Time, age time.Duration, known bool) bool {
	if now.Before(s.notYet) {
		return false
	}
	if !known {
		return true
	}
	return age >= period+time.Duration(min(s.rank, steps))*step
}

// GapDue reports whether to read what is missing now, a gap being there since
// some time.
func (s *Schedule) GapDue(now, since time.Time) bool {
	if now.Before(s.notYet) {
		return false
	}
	return now.Sub(since) >= gapWait+time.Duration(s.rank)*gapStep
}

// ReadFailed notes a read that failed. Known is false while nothing was read yet.
func (s *Schedule) ReadFailed(now time.Time, known bool) {
	s.backoff = min(max(2*s.backoff, backoffFirst), backoffMax)
	if !known {
		s.backoff = backoffEmpty
	}
	s.notYet = now.Add(s.backoff)
}

// ReadRejected notes a read that was refused because many read at once. Draw is
// uniform in [0, 1).
func (s *Schedule) ReadRejected(now time.Time, draw float64) {
	s.backoff = min(max(2*s.backoff, backoffFirst), busyMost)
	s.notYet = now.Add(time.Duration((0.2 + 0.8*draw) * float64(s.backoff)))
}

// ReadSucceeded notes a read that brought news.
func (s *Schedule) ReadSucceeded() { s.backoff, s.notYet = 0, time.Time{} }
