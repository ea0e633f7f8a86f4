package ratelimit

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// MaxGrantAge is the time after the question from which a grant no longer holds.
	MaxGrantAge = 250 * time.Millisecond
	// failedRetry is the time for which a router that did not answer is not asked, and
	// unsupportedRetry that for one that does not know the question.
	failedRetry      = 2 * time.Second
	unsupportedRetry = 30 * time.Second
)

// Asker keeps which targets are not worth asking for now, and which routers do not
// answer. It is not safe for concurrent use.
type Asker struct {
	closedUntil map[Process]time.Time
	failedUntil map[fleet.VM]time.Time
}

// NewAsker returns an asker that has asked nobody.
func NewAsker() *Asker {
	return &Asker{closedUntil: make(map[Process]time.Time), failedUntil: make(map[fleet.VM]time.Time)}
}

// Open reports whether a request to a process may be asked for now.
func (a *Asker) Open(now time.Time, p Process) bool { return !now.Before(a.closedUntil[p]) }

// NextOpen returns when a request to a process may be asked for again.
func (a *Asker) NextOpen(p Process) time.Time { return a.closedUntil[p] }

// Denied records that a request was denied, and that it is of no use to ask before wait
// has passed.
func (a *Asker) Denied(now time.Time, p Process, wait time.Duration) {
	a.closedUntil[p] = now.Add(min(max(wait, minWait), maxWait))
}

// Usable returns whether a router answers questions, as far as this router knows.
func (a *Asker) Usable(now time.Time) func(fleet.VM) bool {
	return func(vm fleet.VM) bool { return !now.Before(a.failedUntil[vm]) }
}

// Failed records that a router did not answer, or does not know the question. It returns
// false if that is known.
func (a *Asker) Failed(now time.Time, vm fleet.VM, unsupported bool) bool {
	isNew := !now.Before(a.failedUntil[vm])
	retry := failedRetry
	if unsupported {
		retry = unsupportedRetry
	}
	a.failedUntil[vm] = now.Add(retry)
	return isNew
}

// Expire drops what no longer matters.
func (a *Asker) Expire(now time.Time) {
	for p, until := range a.closedUntil {
		if !now.Before(until) {
			delete(a.closedUntil, p)
		}
	}
	for vm, until := range a.failedUntil {
		if !now.Before(until) {
			delete(a.failedUntil, vm)
		}
	}
}
