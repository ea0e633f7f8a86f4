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

// maxDrift is how much faster than another one a steady clock may run, per second. The
// smallest difference to a sender's clock rises by that, so that it doesn't hold for ever.
const maxDrift = time.Millisecond

// Stamp is the time at which a message was sent.
type Stamp struct {
	// Process identifies the sender's clock, which starts anew with each process and
	// stands still while its VM is suspended.
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

// sender is what is known of the clock of one router: its smallest difference, and when a
// message of it was last received.
type sender struct {
	process   uint64
	smallest  time.Duration
	lastHeard time.Time
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
		e.senders[from] = &sender{process: s.Process, smallest: difference, lastHeard: now}
		return 0
	}
	drift := time.Duration(now.Sub(k.lastHeard).Seconds() * float64(maxDrift))
	k.smallest = min(k.smallest+drift, difference)
	k.lastHeard = now
	return difference - k.smallest
}

// Expire forgets senders that were not heard since a time.
func (e *Estimator) Expire(before time.Time) {
	for vm, k := range e.senders {
		if k.lastHeard.Before(before) {
			delete(e.senders, vm)
		}
	}
}
