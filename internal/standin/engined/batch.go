package engined

import (
	"slices"
	"time"
)

// batch counts the requests that an engine runs and what it bears.
type batch struct {
	slots     int
	coldSlots int
	running   int
	// limit is below slots while the engine is cold. Each completed request
	// raises it by one.
	limit int
	// waiting holds the requests in the queue, the next one first.
	waiting    []*waiter
	maxWaiting int
}

// waiter is a request in the queue.
type waiter struct {
	priority int
	admitted chan struct{}
}

func newBatch(slots, coldSlots, queue int) batch {
	b := batch{slots: slots, coldSlots: coldSlots, maxWaiting: queue}
	b.turnCold()
	return b
}

func (b *batch) turnCold() {
	b.limit = b.slots
	if b.coldSlots > 0 {
		b.limit = min(b.coldSlots, b.slots)
	}
}

func (b *batch) cold() bool { return b.limit < b.slots }

func (b *batch) overloaded() bool { return b.running > b.limit }

// mustWait reports whether a new request goes to the queue.
func (b *batch) mustWait() bool {
	return b.running >= b.limit && len(b.waiting) < b.maxWaiting
}

// enqueue adds a request behind those of its priority.
func (b *batch) enqueue(priority int) *waiter {
	w := &waiter{priority: priority, admitted: make(chan struct{})}
	at := slices.IndexFunc(b.waiting, func(o *waiter) bool { return o.priority < priority })
	if at < 0 {
		at = len(b.waiting)
	}
	b.waiting = slices.Insert(b.waiting, at, w)
	return w
}

// abandon takes a request off the queue and reports whether it still waited.
func (b *batch) abandon(w *waiter) bool {
	at := slices.Index(b.waiting, w)
	if at < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, at, at+1)
	return true
}

// leave ends a running request and admits the next ones of the queue.
func (b *batch) leave(whole bool) {
	b.running--
	if whole && b.limit < b.slots {
		b.limit++
	}
	for b.running < b.limit && len(b.waiting) > 0 {
		close(b.waiting[0].admitted)
		b.waiting = b.waiting[1:]
		b.running++
	}
}

// A full batch lengthens each step by half, and load above the limit by much
// more.
const (
	fullBatchCost = 0.5
	overloadCost  = 4
)

// step returns the time of one step that takes base alone.
func (b *batch) step(base time.Duration) time.Duration {
	factor := 1 + fullBatchCost*float64(b.running)/float64(b.slots)
	if b.overloaded() {
		factor *= overloadCost
	}
	return time.Duration(float64(base) * factor)
}
