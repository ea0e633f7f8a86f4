package admission

import (
	"math"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/fairness"
	"github.com/zinniafork/zinniafork/internal/core/health"
	"github.com/zinniafork/zinniafork/internal/core/ownership"
)

// Target decides about the requests of one target. It is not safe for
// concurrent use.
type Target struct {
	config     Config
	health     *health.Target
	queue      *fairness.Queue
	held       bool
	acquiredAt time.Time
	group      GroupLoad

	// pending holds the started requests that wait for the confirmation of the
	// lease, running those that were sent to the target, with the time of their
	// start. history remembers the number of running requests.
	pending map[uint64]struct{}
	running map[uint64]time.Time
	history countHistory

	residual ownership.Residual
	// foreignLoad is the number of requests in the last report that this owner
	// has not started.
	foreignLoad int
	// serviceTime is the running mean of the duration of a request.
	serviceTime time.Duration
}

const (
	// initialServiceTime is the assumed duration of a request until one has
	// completed.
	initialServiceTime = 500 * time.Millisecond
	// serviceTimeWeight is the weight of a completed request in the running
	// mean.
	serviceTimeWeight = 0.1
	// maxTransit covers the time between the start of a request here and at the
	// target, and between its end there and here.
	maxTransit = 50 * time.Millisecond
	// boundMargin is the part of the bound that is reserved because the digests
	// of the other targets lag behind their load.
	boundMargin = 0.08
	// minRetryAfter keeps refused callers from retrying at once.
	minRetryAfter = 100 * time.Millisecond
)

// NewTarget returns the admission of a target that this router does not own
// yet.
func NewTarget(c Config, now time.Time) *Target {
	return &Target{
		config:      c,
		health:      health.NewTarget(c.Limits, now),
		queue:       fairness.NewQueue(c.QueueLength, c.Weights),
		pending:     make(map[uint64]struct{}),
		running:     make(map[uint64]time.Time),
		serviceTime: initialServiceTime,
	}
}

// Configure replaces the configuration.
func (t *Target) Configure(now time.Time, c Config) Actions {
	t.config = c
	t.health.SetLimits(c.Limits)
	t.queue.Configure(c.QueueLength, c.Weights)
	return t.Tick(now)
}

// Acquire starts an ownership term. The residual is what the voters know of the
// work of earlier owners; if they know nothing, the target counts as full.
func (t *Target) Acquire(now time.Time, r ownership.Residual) {
	t.held, t.acquiredAt = true, now
	t.health.Reset(now)
	t.foreignLoad = 0
	t.residual = r
	if !r.Known {
		t.residual.Count = t.config.Limits.Capacity
	}
	t.residual.Pending = min(r.Pending, t.config.Limits.Capacity)
	t.residual.Count = max(t.residual.Count, t.residual.Pending)
}

// Release ends the ownership term. Running requests continue, waiting ones are
// refused.
func (t *Target) Release() Actions {
	var out Actions
	t.held = false
	for _, item := range t.queue.Clear() {
		out.refuse(item.ID, NotOwner, 0)
	}
	return out
}

// Held reports whether this router owns the target.
func (t *Target) Held() bool { return t.held }

// Admit starts, queues or refuses a new request. One that may not wait is
// refused unless it starts at once.
func (t *Target) Admit(now time.Time, item fairness.Item, mayWait bool) Actions {
	var out Actions
	switch {
	case !t.held:
		out.refuse(item.ID, NotOwner, 0)
		return out
	case t.health.Slots() == 0:
		out.refuse(item.ID, Unavailable, minRetryAfter)
		return out
	case !t.hasRoom(now) || t.queue.Len() > 0:
		if reason, retryAfter := t.refusalOf(now, item, mayWait); reason != 0 {
			out.refuse(item.ID, reason, retryAfter)
			return out
		}
	}
	if evicted, full := t.queue.Push(item); full {
		out.refuse(evicted.ID, QueueFull, t.retryAfter(evicted))
	}
	t.startWaiting(now, &out)
	return out
}

// refusalOf returns the reason, and the time after which to retry, for a
// request that can neither start at once nor wait. The reason is zero if it can
// wait.
func (t *Target) refusalOf(now time.Time, item fairness.Item, mayWait bool) (Reason, time.Duration) {
	wait := t.expectedWait(item)
	switch {
	case !mayWait:
		return Full, max(wait, minRetryAfter)
	case now.Add(wait).After(item.StartBy):
		return TooLate, max(wait, minRetryAfter)
	}
	return 0, 0
}

// expectedWait estimates how long a new request would wait.
func (t *Target) expectedWait(item fairness.Item) time.Duration {
	ahead := t.queue.Ahead(item.Member, item.Account) + 1
	// The load bound changes with the mean load, so only the slots count here.
	parallel := max(t.health.Slots(), 1)
	return time.Duration(ahead * float64(t.serviceTime) / float64(parallel))
}

func (t *Target) retryAfter(item fairness.Item) time.Duration {
	return max(t.expectedWait(item), minRetryAfter)
}

// startWaiting moves waiting requests to pending while the limit allows it.
func (t *Target) startWaiting(now time.Time, out *Actions) {
	for t.held && t.queue.Len() > 0 && t.hasRoom(now) {
		item, _ := t.queue.Pop()
		t.pending[item.ID] = struct{}{}
		out.Start = append(out.Start, item.ID)
	}
}

// hasRoom reports whether one more request stays within the limit.
func (t *Target) hasRoom(now time.Time) bool { return t.Load(now) < t.Limit(now) }

// Load returns the load of the target, pending requests included. Work of
// earlier owners and of other clients counts once, with the larger of both
// numbers.
func (t *Target) Load(now time.Time) int {
	return len(t.running) + len(t.pending) + max(t.Residual(now), t.foreignLoad)
}

// KnownLoad returns the part of the load that is known to exist: the requests
// of this owner and those that the last report shows beside them. It counts
// towards the mean load. The residual does not, because counting requests that
// may not exist would raise the mean and let other targets take too much.
func (t *Target) KnownLoad() int { return len(t.running) + len(t.pending) + t.foreignLoad }

// Residual returns the largest number of requests of earlier owners that may
// still run.
func (t *Target) Residual(now time.Time) int {
	if !now.Before(t.residual.Until) {
		return t.pendingResidual(now)
	}
	return t.residual.Count
}

// pendingResidual returns the part of the residual that may not have reached
// the target yet.
func (t *Target) pendingResidual(now time.Time) int {
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
	load := t.group.Load + t.Load(now) + 1
	mean := float64(load) / float64(t.group.Capacity+slots)
	return min(slots, BoundedLoadLimit(t.config.Bound*(1-boundMargin), mean, slots))
}

// roundingTolerance keeps floating-point errors from rounding up a limit that
// is a whole number.
const roundingTolerance = 1e-9

// BoundedLoadLimit returns the load that a target with that many slots may have
// under a bound, given the mean load per slot. Fractions round up, and one
// request is always allowed.
func BoundedLoadLimit(bound, mean float64, slots int) int {
	return max(1, int(math.Ceil(bound*mean*float64(slots)-roundingTolerance)))
}

// ConfirmStart records that a pending request is sent to the target now. It
// returns false for a request that was cancelled meanwhile.
func (t *Target) ConfirmStart(now time.Time, id uint64) bool {
	if _, ok := t.pending[id]; !ok {
		return false
	}
	delete(t.pending, id)
	t.running[id] = now
	t.history.set(now, len(t.running))
	return true
}

// Cancel withdraws a request that was not sent to the target, because its
// caller has disconnected or the lease was not confirmed.
func (t *Target) Cancel(now time.Time, id uint64) Actions {
	var out Actions
	delete(t.pending, id)
	t.queue.Remove(id)
	t.startWaiting(now, &out)
	return out
}

// Finish records the end of a running request. whole is true if the response
// was complete; unknown requests are ignored.
func (t *Target) Finish(now time.Time, id uint64, whole bool) Actions {
	var out Actions
	startedAt, ok := t.running[id]
	if !ok {
		return out
	}
	delete(t.running, id)
	t.history.set(now, len(t.running))
	if whole {
		t.health.RecordCompletion(now)
		duration := now.Sub(startedAt)
		t.serviceTime += time.Duration(serviceTimeWeight * float64(duration-t.serviceTime))
	}
	t.startWaiting(now, &out)
	return out
}

// ApplyReport takes a load report. lost is true if it shows that the target
// restarted and lost its cache.
func (t *Target) ApplyReport(now time.Time, r Report) (lost bool, out Actions) {
	lost = t.health.ApplyReport(now, r.Health)
	lowest, highest := t.history.rangeSince(r.Health.TakenAt.Add(-maxTransit), len(t.running))
	t.foreignLoad = max(0, r.Running-highest)
	if !r.Health.TakenAt.Before(t.acquiredAt) {
		unaccounted := max(0, r.Running-lowest)
		t.residual.Count = min(t.residual.Count, unaccounted+t.pendingResidual(now))
	}
	t.startWaiting(now, &out)
	return lost, out
}

// SetGroupLoad replaces the load of the other targets.
func (t *Target) SetGroupLoad(now time.Time, group GroupLoad) Actions {
	var out Actions
	t.group = group
	t.startWaiting(now, &out)
	return out
}

// Tick refuses requests that have waited too long, all of them if the target
// has no slots, and starts those for which there is room by now. It is called
// regularly.
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
	t.startWaiting(now, &out)
	return out
}

// NeedsReport reports whether a load report is needed to learn the state of the
// target or what earlier owners left there.
func (t *Target) NeedsReport(now time.Time) bool {
	return t.health.State() == health.Unknown || t.Residual(now) > 0
}

// Health returns the health of the target.
func (t *Target) Health() *health.Target { return t.health }

// Running returns the number of requests at the target.
func (t *Target) Running() int { return len(t.running) }

// Pending returns the number of started requests that wait for the confirmation
// of the lease.
func (t *Target) Pending() int { return len(t.pending) }

// Queued returns the number of requests that wait in the queue.
func (t *Target) Queued() int { return t.queue.Len() }

// MaxInFlight returns the largest number of requests that may run because of
// this owner, those of earlier owners included, and the part of them that may
// not have reached the target yet.
func (t *Target) MaxInFlight(now time.Time) (maxInFlight, pending int) {
	maxInFlight = len(t.running) + len(t.pending) + t.Residual(now)
	return maxInFlight, len(t.pending) + t.pendingResidual(now)
}
