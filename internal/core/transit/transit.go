// Package transit measures how long messages between routers wait and travel, without
// synchronized clocks.
//
// Each message carries the time on its sender's steady clock. The difference to the
// receiver's clock is unknown but constant, so a message that arrives with a greater
// difference than others has been delayed by the rest. Load pattern: links or routers that
// are saturated, slow, partitioned or lose packets, whose messages arrive seconds late and
// would otherwise be taken for new.
package transit

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// baselineWindow is the least time for which the smallest difference to a sender's clock
// counts. A sender whose clock stood still while its VM was suspended seems delayed for
// twice that.
const baselineWindow = 10 * time.Second

// Stamp is the time at which a message was sent.
type Stamp struct {
	// Process identifies the sender's process: clocks start anew with each one.
	Process uint64
	// Sent is the time on the sender's steady clock, from an arbitrary start.
	Sent time.Duration
}

// Estimator measures the delays of the messages that one router receives. It is not safe
// for concurrent use.
type Estimator struct {
	start   time.Time
	senders map[fleet.VM]*sender
}

// sender holds the smallest differences to the clock of one router: in the current window,
// which began at windowStart, and in the one before it.
type sender struct {
	process          uint64
	windowStart      time.Time
	current, earlier time.Duration
	lastHeard        time.Time
}

// New returns an estimator that has received no messages.
func New() *Estimator { return &Estimator{senders: make(map[fleet.VM]*sender)} }

// Delay returns by how much a message took longer than others of its sender lately. It is
// zero for the first message of a process.
func (e *Estimator) Delay(now time.Time, from fleet.VM, s Stamp) time.Duration {
	if e.start.IsZero() {
		e.start = now
	}
	difference := now.Sub(e.start) - s.Sent
	k, ok := e.senders[from]
	if !ok || k.process != s.Process {
		e.senders[from] = &sender{process: s.Process, windowStart: now, current: difference, earlier: difference, lastHeard: now}
		return 0
	}
	k.observe(now, difference)
	return difference - min(k.current, k.earlier)
}

// observe adds the difference of a message to the current window, and begins another one
// once it is old. A sender that was not heard for a whole window keeps what was known
// before: its next message may be one that was held up.
func (k *sender) observe(now time.Time, difference time.Duration) {
	silence := now.Sub(k.lastHeard)
	k.lastHeard = now
	switch {
	case silence >= baselineWindow:
		k.windowStart = now
		k.current = min(k.current, k.earlier, difference)
		k.earlier = k.current
	case now.Sub(k.windowStart) >= baselineWindow:
		k.earlier, k.current, k.windowStart = k.current, difference, now
	default:
		k.current = min(k.current, difference)
	}
}

// Expire forgets senders that were not heard since a time.
func (e *Estimator) Expire(before time.Time) {
	for vm, k := range e.senders {
		if k.lastHeard.Before(before) {
			delete(e.senders, vm)
		}
	}
}
