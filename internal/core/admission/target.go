package admission

import (
	"math"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/fairness"
	"github.com/zinniafork/zinniafork/internal/core/health"
	"github.com/zinniafork/zinniafork/internal/core/ownership"
)

// Target is the admission of one target. It is not safe for concurrent use.
type Target struct {
	config Config
	health *health.Target
	queue  *fairness.Queue
	held   bool
	gained time.Time
	others GroupLoad

	// pending requests wait for the confirmation of the lease, running ones
	// were sent to the target.
	pending map[uint64]struct{}
	running map[uint64]time.Time
	counts  window

	residual ownership.Residual
	// foreign is the work that the last report shows beside this owner's.
	foreign int
	// service is the running mean of the time that a request takes.
	service time.Duration
}

const (
	// firstService stands for the service time until a request has ended.
	firstService  = 500 * time.Millisecond
	serviceWeight = 0.1
	// transit covers the time between a request's start here and at the
	// target, and between its end there and here.
	transit = 50 * time.Millisecond
	// lagMargin is the part of the bound that is left for the age of the other
	// targets' digests.
	lagMargin = 0.08
	// minRetryAfter keeps refused callers from coming back at once.
	minRetryAfter = 100 * time.Millisecond
)

// NewTarget returns a target that is not held.
func NewTarget(c Config, now time.Time) *Target {
	return &Target{
		config:  c,
		health:  health.NewTarget(c.Limits, now),
		queue:   fairness.NewQueue(c.QueueLength, c.Weights),
		pending: make(map[uint64]struct{}),
		running: make(map[uint64]time.Time),
		service: firstService,
	}
}

// Configure takes a new configuration.
func (t *Target) Configure(now time.Time, c Config) Actions {
	t.config = c
	t.health.SetLimits(c.Limits)
	t.queue.Configure(c.QueueLength, c.Weights)
	return t.Tick(now)
}

// Acquire begins a tenure with what voters told of earlier owners' work.
func (t *Target) Acquire(now time.Time, r ownership.Residual) {
	t.held, t.gained = true, now
	t.health.Reset(now)
	t.foreign = 0
	t.residual = r
	if !r.Known {
		t.residual.Count = t.config.Limits.Capacity
	}
	t.residual.Pending = min(r.Pending, t.config.Limits.Capacity)
	t.residual.Count = max(t.residual.Count, t.residual.Pending)
}

// Release ends the tenure. Running requests go on, waiting ones are refused.
func (t *Target) Release() Actions {
	var out Actions
	t.held = false
	for _, item := range t.queue.Clear() {
		out.refuse(item.ID, NotOwner, 0)
	}
	return out
}

// Held reports whether a tenure is in force.
func (t *Target) Held() bool { return t.held }

// Admit takes a new request. One that may not wait is refused unless it
// starts at once.
func (t *Target) Admit(now time.Time, item fairness.Item, mayWait bool) Actions {
	var out Actions
	switch {
	case !t.held:
		out.refuse(item.ID, NotOwner, 0)
		return out
	case t.health.Slots() == 0:
		out.refuse(item.ID, Unavailable, minRetryAfter)
		return out
	case !t.room(now) || t.queue.Len() > 0:
		if reason, after := t.turnedAway(now, item, mayWait); reason != 0 {
			out.refuse(item.ID, reason, after)
			return out
		}
	}
	if evicted, full := t.queue.Push(item); full {
		out.refuse(evicted.ID, QueueFull, t.retryAfter(evicted))
	}
	t.start(now, &out)
	return out
}

// turnedAway tells whether a request that can't start at once has no chance
// here.
func (t *Target) turnedAway(now time.Time, item fairness.Item, mayWait bool) (Reason, time.Duration) {
	wait := t.wait(item)
	switch {
	case !mayWait:
		return Full, max(wait, minRetryAfter)
	case now.Add(wait).After(item.StartBy):
		return TooLate, max(wait, minRetryAfter)
	}
	return 0, 0
}

// wait estimates how long a new request would wait.
func (t *Target) wait(item fairness.Item) time.Duration {
	ahead := t.queue.Ahead(item.Member, item.Account) + 1
	// The bound moves with the mean, so only the slots are sure to limit.
	parallel := max(t.health.Slots(), 1)
	return time.Duration(ahead * float64(t.service) / float64(parallel))
}

func (t *Target) retryAfter(item fairness.Item) time.Duration {
	return max(t.wait(item), minRetryAfter)
}

// start moves waiting requests to pending while there is room.
func (t *Target) start(now time.Time, out *Actions) {
	for t.held && t.queue.Len() > 0 && t.room(now) {
		item, _ := t.queue.Pop()
		t.pending[item.ID] = struct{}{}
		out.Start = append(out.Start, item.ID)
	}
}

// room reports whether one more request stays within the limit.
func (t *Target) room(now time.Time) bool { return t.Load(now) < t.Limit(now) }

// Load returns the target's load now, pending requests included.
func (t *Target) Load(now time.Time) int {
	return len(t.running) + len(t.pending) + max(t.Residual(now), t.foreign)
}

// KnownLoad returns the part of the load that is known to be there: this owner's
// requests and those that the last report shows beside them. It counts for the
// mean, where an amount that is only feared would let others carry too much.
func (t *Target) KnownLoad() int { return len(t.running) + len(t.pending) + t.foreign }

// Residual returns what earlier owners' work may still amount to.
func (t *Target) Residual(now time.Time) int {
	if !now.Before(t.residual.Until) {
		return t.residualPending(now)
	}
	return t.residual.Count
}

func (t *Target) residualPending(now time.Time) int {
	if now.Before(t.residual.PendingUntil) {
		return t.residual.Pending
	}
	return 0
}

// Limit returns the load that the target may have now.
func (t *Target) Limit(now time.Time) int {
	slots := t.health.Slots()
	if slots == 0 || t.config.Bound == 0 {
		return slots
	}
	load := t.others.Load + t.Load(now) + 1
	mean := float64(load) / float64(t.others.Capacity+slots)
	return min(slots, BoundedLoadLimit(t.config.Bound*(1-lagMargin), mean, slots))
}

// rounding keeps a limit that is a whole number from being rounded up.
const rounding = 1e-9

// BoundedLoadLimit returns the load that a target of so many slots may have at a mean
// load for each slot: a whole request is allowed when a part of it is, and one
// always.
func BoundedLoadLimit(bound, mean float64, slots int) int {
	return max(1, int(math.Ceil(bound*mean*float64(slots)-rounding)))
}

// ConfirmStart notes that a pending request goes to the target now. It is false
// for one that was given up meanwhile.
func (t *Target) ConfirmStart(now time.Time, id uint64) bool {
	if _, ok := t.pending[id]; !ok {
		return false
	}
	delete(t.pending, id)
	t.running[id] = now
	t.counts.set(now, len(t.running))
	return true
}

// Cancel takes back a request that has not been sent to the target: its caller
// has gone or the lease was not confirmed.
func (t *Target) Cancel(now time.Time, id uint64) Actions {
	var out Actions
	delete(t.pending, id)
	t.queue.Remove(id)
	t.start(now, &out)
	return out
}

// Finish notes the end of a running request. Whole is true for a whole answer.
func (t *Target) Finish(now time.Time, id uint64, whole bool) Actions {
	var out Actions
	began, ok := t.running[id]
	if !ok {
		return out
	}
	delete(t.running, id)
	t.counts.set(now, len(t.running))
	if whole {
		t.health.RecordCompletion(now)
		took := now.Sub(began)
		t.service += time.Duration(serviceWeight * float64(took-t.service))
	}
	t.start(now, &out)
	return out
}

// ApplyReport takes a load report.
func (t *Target) ApplyReport(now time.Time, r Report) (lost bool, out Actions) {
	lost = t.health.ApplyReport(now, r.Health)
	least, most := t.counts.over(r.Health.TakenAt.Add(-transit), len(t.running))
	t.foreign = max(0, r.Running-most)
	if !r.Health.TakenAt.Before(t.gained) {
		shown := max(0, r.Running-least)
		t.residual.Count = min(t.residual.Count, shown+t.residualPending(now))
	}
	t.start(now, &out)
	return lost, out
}

// SetGroupLoad takes the load of the other targets.
func (t *Target) SetGroupLoad(now time.Time, o GroupLoad) Actions {
	var out Actions
	t.others = o
	t.start(now, &out)
	return out
}

// Tick refuses the requests that wait too long, all of them when the target is
// out, and starts what time has made room for.
func (t *Target) Tick(now time.Time) Actions {
	var out Actions
	for _, item := range t.queue.Expired(now) {
		out.refuse(item.ID, TooLate, t.retryAfter(item))
	}
	if t.health.Slots() == 0 {
		for _, item := range t.queue.Clear() {
			out.refuse(item.ID, Unavailable, minRetryAfter)
		}
	}
	t.start(now, &out)
	return out
}

// NeedsReport reports whether the target's state, or what earlier owners left
// there, is still to be learned from a report.
func (t *Target) NeedsReport(now time.Time) bool {
	return t.health.State() == health.Unknown || t.Residual(now) > 0
}

// Health returns the target's health.
func (t *Target) Health() *health.Target { return t.health }

// Running returns the number of requests at the target, Pending those that
// wait for a confirmation and Queued those that wait for room.
func (t *Target) Running() int { return len(t.running) }

// Pending returns the number of requests that wait for a confirmation.
func (t *Target) Pending() int { return len(t.pending) }

// Queued returns the number of requests that wait for room.
func (t *Target) Queued() int { return t.queue.Len() }

// MaxInFlight returns what this owner's work may amount to, earlier owners' work
// included, and the part of it that may not have reached the target.
func (t *Target) MaxInFlight(now time.Time) (ceiling, pending int) {
	ceiling = len(t.running) + len(t.pending) + t.Residual(now)
	return ceiling, len(t.pending) + t.residualPending(now)
}
