package slotqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// allowance is the number of requests that a target may be granted beyond its slots while
	// others wait, so that it does not idle while a release and the next request are on
	// their way. See docs/design/slot-queue.md for the replays.
	allowance = 2
	// maxWaiting bounds the requests that wait. 18 slots of 60 ms serve 900 within a deadline
	// of 3 s, and 270 with spareShare.
	maxWaiting = 512
	// parkLimit is how long a request keeps its place while nobody waits for the answer.
	parkLimit = 100 * time.Millisecond
	// checkPeriod is how often waiting requests are checked.
	checkPeriod = 20 * time.Millisecond
	// arrivalWindow is the time over which arrivals are averaged.
	arrivalWindow = time.Second
	// spareShare of the capacity is what requests that miss their objective get at least, over
	// a while: those that would be in time come in waves.
	spareShare = 0.3
	// reviewsPerCheck bounds the requests that one check looks at against all others.
	reviewsPerCheck = 64
	// minRetryAfter and maxRetryAfter bound the advice to callers that are refused.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// grant is a slot that was granted.
type grant struct {
	target  fleet.Ref
	from    fleet.VM
	at      time.Time
	expires time.Time
	// ahead is the number of requests that wait at the target with this one included, zero if
	// it had a free slot.
	ahead int
	// overdue is true once the target has taken so long that it is likely to have failed.
	overdue bool
}

// Grantor grants the slots of one service. It is not safe for concurrent use.
type Grantor struct {
	targets map[fleet.Ref]*targetState
	// ordered holds the targets by ref, so that decisions do not depend on the order of a map.
	ordered []*targetState
	// grants holds the grants by request.
	grants  map[uint64]grant
	waiting waitingList
	// arrivals is the mean number of requests a second, as of arrivalsAt.
	arrivals   float64
	arrivalsAt time.Time
}

// NewGrantor returns a grantor without targets.
func NewGrantor() *Grantor {
	return &Grantor{targets: make(map[fleet.Ref]*targetState), grants: make(map[uint64]grant), waiting: newWaitingList()}
}

// SetTargets sets the targets of the service. What is known to run at a new one counts as load
// that was not granted.
func (g *Grantor) SetTargets(now time.Time, targets []Target) {
	known := make(map[fleet.Ref]bool, len(targets))
	for _, t := range targets {
		known[t.Ref] = true
		state, ok := g.targets[t.Ref]
		if !ok {
			state = &targetState{ref: t.Ref, work: g.meanWork(now).Seconds(), foreign: t.Known, foreignAt: now}
			for _, held := range g.grants {
				if held.target == t.Ref {
					state.granted++
				}
			}
			g.targets[t.Ref] = state
		}
		state.slots = max(t.Slots, 1)
	}
	g.ordered = g.ordered[:0]
	for ref, t := range g.targets {
		if !known[ref] {
			delete(g.targets, ref)
			continue
		}
		g.ordered = append(g.ordered, t)
	}
	slices.SortFunc(g.ordered, func(a, b *targetState) int { return cmp.Compare(a.ref, b.ref) })
}

// Known records how many requests are known to run at a target, by the reports of all routers.
// It counts while the target itself reports nothing.
func (g *Grantor) Known(now time.Time, ref fleet.Ref, load float64) {
	t, ok := g.targets[ref]
	if ok && now.Sub(t.foreignAt) > 2*foreignHalfLife {
		t.foreign, t.foreignAt = max(load-float64(t.granted), 0), now
	}
}

// meanWork returns the mean time of a request over all targets.
func (g *Grantor) meanWork(now time.Time) time.Duration {
	if len(g.ordered) == 0 {
		return defaultWork
	}
	sum := time.Duration(0)
	for _, t := range g.ordered {
		sum += t.estimate(now)
	}
	return sum / time.Duration(len(g.ordered))
}

// capacity returns the number of requests that the targets can end in a second. Slots that are
// taken by others or lowered for the moment count: they are back before a request that waits is
// too late. It also returns the time until the first target takes requests.
func (g *Grantor) capacity(now time.Time) (rate float64, pause time.Duration) {
	sum := 0.0
	serving, pause := g.serving(now)
	for _, t := range serving {
		slots := t.slots
		if t.health.trial > 0 {
			slots = min(slots, t.health.trial)
		}
		sum += float64(slots) / max(t.estimate(now).Seconds(), 1e-3)
	}
	return max(sum, 1), pause
}

// serving returns the targets that take requests, and the time until the first of them does. While
// none does, those that have turned a request away count, as their pauses are short.
func (g *Grantor) serving(now time.Time) (targets []*targetState, pause time.Duration) {
	if usable, _ := g.usable(now); len(usable) > 0 {
		return usable, 0
	}
	for _, t := range g.ordered {
		if !t.health.paused(now) || t.health.streak >= pauseStreak {
			continue
		}
		if left := t.health.trialSince.Sub(now); len(targets) == 0 || left < pause {
			pause = left
		}
		targets = append(targets, t)
	}
	return targets, pause
}

// Ask decides on a request. It waits if there is no slot for it now and it may still be in
// time. One that asks again keeps its place or its grant.
func (g *Grantor) Ask(now time.Time, r Request) Decision {
	if held, ok := g.grants[r.ID]; ok {
		return Decision{Request: r.ID, State: Granted, Target: held.target}
	}
	if i := g.waiting.find(r.ID); i != nil {
		i.parkedAt = time.Time{}
		return g.decide(now, i)
	}
	g.countArrival(now)
	i := &item{Request: r, arrived: now}
	g.waiting.add(i)
	return g.decide(now, i)
}

// decide grants a request a slot if there is one, or reviews it.
func (g *Grantor) decide(now time.Time, i *item) Decision {
	if t, next := g.nextGrant(now); next == i {
		return g.grantTo(now, t, i)
	}
	return g.review(now, i)
}

// Park keeps the place of a request for which nobody waits for a moment.
func (g *Grantor) Park(now time.Time, id uint64) {
	if i := g.waiting.find(id); i != nil {
		i.parkedAt = now
	}
}

// countArrival updates the mean number of requests a second.
func (g *Grantor) countArrival(now time.Time) {
	g.arrivals = g.arrivalRate(now) + 1/arrivalWindow.Seconds()
	g.arrivalsAt = now
}

// arrivalRate returns the mean number of requests a second.
func (g *Grantor) arrivalRate(now time.Time) float64 {
	return g.arrivals * decay(now.Sub(g.arrivalsAt), arrivalHalfLife)
}

// arrivalHalfLife makes arrivals count for arrivalWindow on average.
const arrivalHalfLife = arrivalWindow * 693 / 1000

// review refuses a waiting request that would start too late.
func (g *Grantor) review(now time.Time, i *item) Decision {
	d := Decision{Request: i.ID, Waited: now.Sub(i.arrived)}
	d.Position, d.Predicted = g.predict(now, i)
	switch {
	case !slices.ContainsFunc(i.Targets, func(ref fleet.Ref) bool { return g.targets[ref] != nil }):
		d.Reason = NoTarget
	case now.Add(d.Predicted + g.meanWork(now)).After(i.Deadline):
		d.Reason = TooLate
	case len(g.waiting.items) > maxWaiting:
		d.Reason = Full
	default:
		return d
	}
	d.State, d.RetryAfter = Refused, g.retryAfter(now)
	g.waiting.remove(i)
	return d
}

// predict returns the number of requests ahead of one that waits, and its predicted wait. One
// that will miss its objective starts only when those in time leave capacity.
func (g *Grantor) predict(now time.Time, i *item) (position int, wait time.Duration) {
	work := g.meanWork(now)
	capacity, pause := g.capacity(now)
	position = g.waiting.ahead(now, work, i, false)
	wait = pause + perSecond(float64(position+1), capacity)
	if i.meets(now.Add(wait), work) {
		return position, wait
	}
	position = g.waiting.ahead(now, work, i, true)
	spare := max(capacity-g.arrivalRate(now), spareShare*capacity)
	return position, pause + perSecond(float64(position+1), spare)
}

// perSecond returns the time that n requests take at a rate.
func perSecond(n, rate float64) time.Duration {
	return time.Duration(n / rate * float64(time.Second))
}

// retryAfter returns the time until the requests that wait have drained.
func (g *Grantor) retryAfter(now time.Time) time.Duration {
	capacity, pause := g.capacity(now)
	drain := pause + perSecond(float64(len(g.waiting.items)+1), capacity)
	return min(max(drain, minRetryAfter), maxRetryAfter)
}

// grantFree grants the free slots to the requests whose turn it is.
func (g *Grantor) grantFree(now time.Time) []Decision {
	var out []Decision
	for {
		t, i := g.nextGrant(now)
		if t == nil {
			return out
		}
		out = append(out, g.grantTo(now, t, i))
	}
}

// grantTo grants a slot of a target to a request that waits.
func (g *Grantor) grantTo(now time.Time, t *targetState, i *item) Decision {
	g.grants[i.ID] = grant{target: t.ref, from: i.From, at: now, expires: i.Deadline, ahead: max(t.granted+1-t.limit(now), 0)}
	t.granted++
	g.waiting.granted(i.Account)
	g.waiting.remove(i)
	return Decision{Request: i.ID, State: Granted, Target: t.ref, Waited: now.Sub(i.arrived)}
}

// nextGrant returns the target with a free slot that ends a request soonest and the request that
// gets it.
func (g *Grantor) nextGrant(now time.Time) (*targetState, *item) {
	var (
		best     *targetState
		bestItem *item
		bestTime time.Duration
	)
	if len(g.waiting.items) == 0 {
		return nil, nil
	}
	usable, reliable := g.usable(now)
	for _, t := range usable {
		if !t.mayTake(now, t.granting) {
			continue
		}
		finish := t.finish(now)
		if best != nil && (finish > bestTime || finish == bestTime && t.ref > best.ref) {
			continue
		}
		i := g.waiting.next(now, &offer{
			target: t.ref, work: t.estimate(now), reliable: reliable, unreliable: !slices.Contains(reliable, t),
			repeatable: t.health.wantsRepeatable(now), doubtful: t.health.share(now) >= doubtfulShare,
		})
		if i != nil {
			best, bestItem, bestTime = t, i, finish
		}
	}
	return best, bestItem
}

// usable returns the targets that may be granted, and those of them that do not fail.
func (g *Grantor) usable(now time.Time) (targets, reliable []*targetState) {
	least := 1.0
	for _, t := range g.ordered {
		t.granting = t.granting[:0]
		least = min(least, t.health.share(now))
	}
	for id, held := range g.grants {
		t := g.targets[held.target]
		if t == nil {
			continue
		}
		t.granting = append(t.granting, held.at)
		if !held.overdue && t.health.isOverdue(now, held.at, t.estimate(now)) {
			held.overdue = true
			g.grants[id] = held
		}
	}
	for _, t := range g.ordered {
		if t.health.paused(now) || t.health.silent(now, t.granting, t.estimate(now)) {
			continue
		}
		targets = append(targets, t)
		if t.health.trial == 0 && t.health.share(now) < unreliableShare+unreliableFactor*least {
			reliable = append(reliable, t)
		}
	}
	return targets, reliable
}

// Release takes a grant back, or ends the wait of a request. It returns the grants to requests
// that waited.
func (g *Grantor) Release(now time.Time, r Release) []Decision {
	held, ok := g.grants[r.Request]
	if !ok {
		if i := g.waiting.find(r.Request); i != nil {
			g.waiting.remove(i)
		}
		return nil
	}
	delete(g.grants, r.Request)
	if t := g.targets[held.target]; t != nil {
		t.granted--
		if r.Took > 0 && !r.Rejected && !r.Broken {
			t.observe(r.Took, held.ahead)
		}
		if r.Figures != nil {
			t.reported(now, *r.Figures)
		}
		switch {
		case r.Rejected && r.Figures != nil && r.Figures.Running+r.Figures.Waiting < t.slots, r.Broken:
			// It breaks requests, or turns them away although it has free slots.
			t.health.broke(now, held.at, held.from)
		case r.Rejected:
			t.health.rejected(now, held.at)
		case r.Took > 0:
			t.health.answered(now, held.at, t.slots)
		case held.overdue:
			// Another target took over, as after the silence of a request that may be repeated.
			t.health.broke(now, held.at, held.from)
		}
	}
	return g.grantFree(now)
}

// Check expires grants, refuses requests that would start too late and grants what is free. It
// returns the decisions on requests that waited.
func (g *Grantor) Check(now time.Time) []Decision {
	g.usable(now) // counts what is overdue
	for id, held := range g.grants {
		if !now.Before(held.expires) {
			delete(g.grants, id)
			if t := g.targets[held.target]; t != nil {
				t.granted--
				if held.overdue {
					t.health.broke(now, held.at, held.from)
				}
			}
		}
	}
	out := g.grantFree(now)
	work := g.meanWork(now)
	for n, i := range slices.Clone(g.waiting.items) {
		if n >= reviewsPerCheck && !now.Add(work).After(i.Deadline) {
			continue
		}
		if !i.parkedAt.IsZero() {
			if now.Sub(i.parkedAt) >= parkLimit {
				g.waiting.remove(i)
			}
			continue
		}
		if d := g.review(now, i); d.State == Refused {
			out = append(out, d)
		}
	}
	return out
}

// NextCheck returns the time until Check is due, and false if there is nothing to check.
func (g *Grantor) NextCheck(now time.Time) (time.Duration, bool) {
	if len(g.waiting.items) > 0 {
		return checkPeriod, true
	}
	if len(g.grants) == 0 {
		return 0, false
	}
	first := maxRetryAfter
	for _, held := range g.grants {
		first = min(first, held.expires.Sub(now))
	}
	return max(first, checkPeriod), true
}

// Waiting returns the number of requests that wait, Outstanding that of the grants.
func (g *Grantor) Waiting() int { return len(g.waiting.items) }

// Outstanding returns the number of grants that were neither returned nor have expired.
func (g *Grantor) Outstanding() int { return len(g.grants) }
