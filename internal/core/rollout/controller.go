package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// windowTime is the length of the windows in which versions are compared. It covers the
	// time by which reports of routers differ.
	windowTime = 500 * time.Millisecond
	// minInterval is the time between reports of a router, and reportsPerSecond the number
	// of reports that a controller takes: with many routers each reports less often.
	minInterval      = 250 * time.Millisecond
	reportsPerSecond = 400
	// finalInterval is the time between reports once the roll-out has ended.
	finalInterval = 2 * time.Second
	// minValid is the shortest time for which a reply is valid, and validIntervals the same in
	// intervals.
	minValid       = time.Second
	validIntervals = 2
	// margin is the time before the deadline by which a roll-out is to be done.
	margin = 2 * time.Second
	// drainFactor times the longest time of a request at the old versions is left for them.
	drainFactor = 1.25
	minDrain    = time.Second
	// minWatch is the time for which the cutover is watched at least, maxWatch at most if the
	// budget bears it: some versions are bad only under the whole load.
	minWatch = time.Second
	maxWatch = 4 * time.Second
	// canaryPart of the budget is for the canary if the cutover takes no more of the rest,
	// minCanaryPart in any case.
	canaryPart    = 0.75
	minCanaryPart = 0.2
	// emptyTime is the time without a target of the new version after which a cutover is
	// rolled back.
	emptyTime = time.Second
	// aloneTime is the time without a target of an old version after which the new one gets all
	// requests: there is nothing left to compare it with, or to go back to.
	aloneTime = 2 * time.Second
)

// reasonWithdrawn is the reason of a roll-back since the order was deleted.
const reasonWithdrawn = "the order was withdrawn"

// View is what the controller knows of the site.
type View struct {
	// Live are the routers that may send requests.
	Live []fleet.VM
	// New and Old are the numbers of targets of the new and of other versions.
	New, Old int
	// Withdrawn is true once the order was deleted.
	Withdrawn bool
	// MaxTimeout is the longest time that a request may take.
	MaxTimeout time.Duration
}

// member is what the controller knows of a router.
type member struct {
	knownAt, heardAt time.Time
	phase            Phase
	closed, live     bool
	// reportedBy is the process that has reported all its responses since the order.
	reportedBy fleet.Incarnation
	running    int
	longest    time.Duration
}

// Controller drives one roll-out. It is not safe for concurrent use.
type Controller struct {
	limits Limits
	record Record
	// phase and reason are what has been decided; the record follows once it is written.
	// written is false until this controller has written a record.
	phase    Phase
	reason   string
	written  bool
	tookOver bool
	deadline time.Time
	began    time.Time
	seq      uint64
	ledger   *Ledger
	test     *Test
	windowAt time.Time
	members  map[fleet.VM]*member
	// cutoverAt is the time at which the cutover was written.
	cutoverAt time.Time
	// drainFor is the time that requests at the old versions were to need at the cutover.
	drainFor time.Duration
	closed   bool
	// emptyAt is the time since which the new version has no target, aloneAt that since which
	// the old ones have none.
	emptyAt, aloneAt time.Time
	finding          Finding
}

// Begin returns the controller of an order that no other one has driven, whose record names the
// order, the other versions that serve now, and the last term of the service.
func Begin(now time.Time, limits Limits, record Record, left time.Duration, rng *rand.Rand) *Controller {
	slices.Sort(record.Base)
	return newController(now, limits, record, left, rng)
}

// TakeOver returns a controller that goes on with a record of another one. One that has ended
// needs no other record.
func TakeOver(now time.Time, limits Limits, record Record, left time.Duration, rng *rand.Rand) *Controller {
	c := newController(now, limits, record, min(left, record.Remaining), rng)
	c.phase, c.reason, c.tookOver = record.Phase, record.Reason, true
	if c.phase == Cutover {
		c.cutoverAt = now
	}
	if c.phase.Final() {
		c.record, c.written = record, true
	}
	return c
}

func newController(now time.Time, limits Limits, record Record, left time.Duration, rng *rand.Rand) *Controller {
	c := &Controller{
		limits: limits, record: record, deadline: now.Add(left), began: now, windowAt: now,
		ledger: NewLedger(limits, record.Granted, rng), test: NewTest(), members: make(map[fleet.VM]*member),
	}
	c.record.Term++
	c.seq = uint64(c.record.Term) << 32
	return c
}

// Record returns the last record that was written, or that the controller began with.
func (c *Controller) Record() Record { return c.record }

// Phase returns the phase that was decided and why.
func (c *Controller) Phase() (Phase, string) { return c.phase, c.reason }

// Exposed returns the requests of the service, and the most of them that the new version may have
// got.
func (c *Controller) Exposed() (sent, bound int64) { return c.ledger.Sent(), c.ledger.Bound() }

// Left returns the time to the deadline.
func (c *Controller) Left(now time.Time) time.Duration { return c.deadline.Sub(now) }

// Rewrite makes the controller write its record again, with a term above a given one: the log has
// lost it, or another router knows a later term.
func (c *Controller) Rewrite(term int64) {
	c.written = false
	c.record.Term = max(c.record.Term, term+1)
	c.seq = max(c.seq, uint64(c.record.Term)<<32)
}

// Unheard returns the live routers that have not reported since a time.
func (c *Controller) Unheard(since time.Time) []fleet.VM {
	var out []fleet.VM
	for vm, m := range c.members {
		if m.heardAt.Before(since) && m.live {
			out = append(out, vm)
		}
	}
	return out
}

// Next returns the record that must be written now, and false if none must.
func (c *Controller) Next(now time.Time) (Record, bool) {
	out := c.record
	out.Phase, out.Reason, out.Remaining = c.phase, c.reason, max(c.deadline.Sub(now), 0)
	granted, more := c.ledger.Need(c.part())
	out.Granted = max(granted, c.ledger.totals().spent, out.Granted)
	needed := !c.written || c.phase != c.record.Phase || more && c.phase == Canary
	return out, needed
}

// Written records that a record was written.
func (c *Controller) Written(now time.Time, r Record) {
	if r.Phase == Cutover && (c.record.Phase != Cutover || !c.written) {
		c.cutoverAt = now
	}
	c.record, c.written = r, true
	c.ledger.Authorized(r.Granted)
}

// effective returns the phase that routers are told. A roll-back holds at once, anything else
// once it is written.
func (c *Controller) effective() Phase {
	if c.phase == RolledBack || c.written && c.phase == c.record.Phase {
		return c.phase
	}
	return c.record.Phase
}

// Report takes the report of a router and returns the reply.
func (c *Controller) Report(now time.Time, vm fleet.VM, r *Report) Reply {
	m := c.member(now, vm)
	m.heardAt, m.phase, m.closed, m.running = now, r.Phase, r.Closed && r.Term == c.record.Term, r.Running
	if r.Term != c.record.Term {
		m.phase = Canary // it follows an earlier controller
	}
	m.longest = time.Duration(r.LongestMs) * time.Millisecond
	if left := now.Add(time.Duration(r.LeftMs) * time.Millisecond); left.Before(c.deadline) && r.Order == c.record.Order {
		c.deadline = left
	}
	c.ledger.Report(now, vm, r, c.tookOver)
	if r.Phase.Final() && !c.phase.Final() {
		c.phase, c.reason = r.Phase, "an earlier controller has ended it"
	}
	if r.Withdrawn && !c.phase.Final() {
		c.rollBack(reasonWithdrawn)
	}
	c.compare(m, r)
	c.seq++
	interval := c.interval()
	if c.phase.Final() {
		interval = finalInterval
	}
	reply := Reply{
		Order: r.Order, Term: c.record.Term, Seq: c.seq, Phase: c.effective(), Closed: c.closed, Base: c.record.Base, Excluded: c.record.Excluded,
		ValidMs:    max(c.valid(), validIntervals*interval).Milliseconds(),
		IntervalMs: interval.Milliseconds(), LeftMs: max(c.deadline.Sub(now), 0).Milliseconds(),
	}
	if reply.Phase == Canary {
		reply.Limit = c.ledger.Grant(vm, c.seq, c.part(), r.Urgent)
	}
	return reply
}

// compare takes the responses of a report. What a router has reported to earlier controllers counts
// once for each of its processes.
func (c *Controller) compare(m *member, r *Report) {
	if c.phase.Final() || r.Term != c.record.Term || r.Whole && m.reportedBy == r.Incarnation {
		return
	}
	if r.Whole {
		m.reportedBy = r.Incarnation
	}
	for i := range r.Cells {
		c.test.Add(&r.Cells[i])
	}
}

// member returns what is known of a router.
func (c *Controller) member(now time.Time, vm fleet.VM) *member {
	m, ok := c.members[vm]
	if !ok {
		m = &member{knownAt: now, running: -1}
		c.members[vm] = m
	}
	return m
}

// interval returns the time between reports of a router.
func (c *Controller) interval() time.Duration {
	return max(minInterval, time.Duration(len(c.members))*time.Second/reportsPerSecond)
}

// valid returns the time for which a reply is valid while the roll-out runs.
func (c *Controller) valid() time.Duration { return max(minValid, validIntervals*c.interval()) }

// drain returns the time that requests at the old versions need to end.
func (c *Controller) drain(v *View) time.Duration {
	longest := minDrain
	for _, m := range c.members {
		longest = max(longest, time.Duration(drainFactor*float64(m.longest)))
	}
	if v != nil && v.MaxTimeout > 0 {
		longest = min(longest, max(v.MaxTimeout, minDrain))
	}
	return longest
}

// watch returns the time for which the cutover is to be watched.
func (c *Controller) watch() time.Duration {
	total := c.deadline.Sub(c.began)
	reserve := (1 - c.part()) * c.limits.ExposeShare * float64(total)
	return min(max(time.Duration(reserve), minWatch), maxWatch)
}

// part returns the part of the budget that the canary may use: the cutover exposes all requests
// until it is done.
func (c *Controller) part() float64 {
	budget := c.limits.ExposeShare * c.deadline.Sub(c.began).Seconds()
	if budget <= 0 {
		return minCanaryPart
	}
	return min(max((budget-c.drain(nil).Seconds()-minWatch.Seconds())/budget, minCanaryPart), canaryPart)
}

// Tick makes the decisions that are due.
func (c *Controller) Tick(now time.Time, v *View) {
	for _, m := range c.members {
		m.live = false
	}
	for _, vm := range v.Live {
		c.member(now, vm).live = true
	}
	if c.phase.Final() {
		return
	}
	if now.Sub(c.windowAt) >= windowTime {
		c.windowAt = now
		if finding, bad := c.test.Close(c.effective() == Cutover); bad {
			c.finding = finding
			c.rollBack(finding.String())
			return
		}
	}
	switch {
	case v.Withdrawn:
		c.rollBack(reasonWithdrawn)
	case c.record.Order.Duration <= 0:
		c.rollBack("order has no time")
	case c.phase == Canary:
		c.tickCanary(now, v)
	case c.effective() == Cutover:
		c.tickCutover(now, v)
	}
}

// rollBack ends the roll-out.
func (c *Controller) rollBack(reason string) { c.phase, c.reason = RolledBack, reason }

// tickCanary begins the cutover in time for the deadline.
func (c *Controller) tickCanary(now time.Time, v *View) {
	switch {
	case v.Old > 0 || v.New == 0:
		c.aloneAt = time.Time{}
	case c.aloneAt.IsZero():
		c.aloneAt = now
	}
	alone := !c.aloneAt.IsZero() && now.Sub(c.aloneAt) >= aloneTime
	if need := max(c.drain(v), c.watch(), c.limits.StableWindow) + margin; c.deadline.Sub(now) > need && !alone {
		return
	}
	if v.New == 0 {
		if c.deadline.Sub(now) <= margin {
			c.rollBack("the version has no targets")
		}
		return
	}
	c.phase, c.reason, c.drainFor = Cutover, "no evidence against the version", c.drain(v)
}

// tickCutover ends the cutover once nothing is at the old versions any more.
func (c *Controller) tickCutover(now time.Time, v *View) {
	switch {
	case v.New > 0:
		c.emptyAt = time.Time{}
	case c.emptyAt.IsZero():
		c.emptyAt = now
	case now.Sub(c.emptyAt) >= emptyTime && v.Old > 0:
		c.rollBack("the version has no targets any more")
		return
	}
	end := c.deadline
	if late := c.cutoverAt.Add(c.drainFor + margin); c.drainFor > 0 && late.After(end) {
		end = late // the store was away when the cutover was due
	}
	left := end.Sub(now)
	watched := now.Sub(c.cutoverAt) >= c.watch() || left <= margin
	if watched && (c.confirmed(now, false) || left <= margin) {
		c.closed = true
	}
	// Without all confirmations it is done late: at that moment the old targets stop and would cut
	// off what is still on its way to them.
	if c.closed && c.confirmed(now, true) {
		c.phase, c.reason = Done, "nothing is on its way to the old versions"
	}
}

// confirmed reports whether each live router has confirmed that nothing is on its way to the old
// versions, or is out of touch for long enough. A router that hears nothing sends to the old versions
// again once its last reply is invalid, so what it has confirmed holds no longer than that.
func (c *Controller) confirmed(now time.Time, closed bool) bool {
	for _, m := range c.members {
		last := m.heardAt
		if last.Before(m.knownAt) {
			last = m.knownAt
		}
		if last.Before(c.cutoverAt) && m.heardAt.IsZero() {
			last = c.cutoverAt
		}
		if now.Sub(last) >= c.limits.StableWindow {
			continue
		}
		if m.phase != Cutover || m.running != 0 || closed && !m.closed || now.Sub(last) >= c.valid() {
			return false
		}
	}
	return true
}
