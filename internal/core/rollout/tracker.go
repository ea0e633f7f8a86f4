package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// longestTime is the time for which the longest request at a version is kept at least.
const longestTime = time.Minute

// paceSuffix marks the class of the times between the events of streams.
const paceSuffix = " pace"

// Outcome is how a send ended.
type Outcome struct {
	Route  string
	Target fleet.Ref
	// Observed is false if the send says nothing of the version, such as one whose caller has
	// left.
	Observed bool
	Failed   bool
	// Latency is the time to the response, or to the first event of a stream. Zero if it says
	// nothing: the prompt of a request may be in the cache of one target only.
	Latency time.Duration
	// Pace is the mean time between the events of a stream, zero if there is none.
	Pace time.Duration
}

// Send is a send under way.
type Send struct {
	version   string
	startedAt time.Time
}

// versionLoad is what one version has under way.
type versionLoad struct {
	running int
	// longest and before are the longest times of ended sends since since, and in the time
	// before that.
	longest, before time.Duration
	since           time.Time
}

// Tracker follows the sends of one service at this router, also before an order comes: what is
// under way at the old versions then must end before a roll-out is done.
type Tracker struct {
	loads map[string]*versionLoad
	gate  *Gate
	// seenAt is the time at which the order was seen.
	seenAt time.Time
	// cells are the responses that were not reported yet, sent those in the last report, reported those
	// before. reportedTerm is the term of the controller that got all.
	cells, sent, reported cells
	reportedTerm          int64
	urgent                int
}

// NewTracker returns a tracker without an order.
func NewTracker() *Tracker {
	return &Tracker{loads: make(map[string]*versionLoad), cells: make(cells), sent: make(cells), reported: make(cells)}
}

// SetOrder takes an order. It does nothing if the order is known.
func (t *Tracker) SetOrder(now time.Time, o Order, rng *rand.Rand) (isNew bool) {
	if t.gate != nil && t.gate.order.Same(o) {
		t.gate.order = o
		return false
	}
	before := t.gate
	t.gate, t.seenAt, t.cells, t.reported, t.reportedTerm = NewGate(now, o, rng), now, make(cells), make(cells), 0
	t.sent = make(cells)
	if before != nil && before.order.To != o.To && !before.ended(Done) {
		t.gate.excluded = append(slices.Clone(before.excluded), before.order.To)
	}
	t.gate.excluded = slices.DeleteFunc(t.gate.excluded, func(v string) bool { return v == o.To })
	return true
}

// ClearOrder forgets the order.
func (t *Tracker) ClearOrder() { t.gate = nil }

// Gate returns the gate of the present order, nil if there is none.
func (t *Tracker) Gate() *Gate { return t.gate }

// Left returns the time to the deadline as far as this router knows.
func (t *Tracker) Left(now time.Time) time.Duration {
	if t.gate == nil {
		return 0
	}
	return t.gate.order.Duration - now.Sub(t.seenAt)
}

// Rule returns where the next send may go.
func (t *Tracker) Rule(now time.Time, pinned string) Rule {
	if t.gate == nil {
		return Rule{}
	}
	return t.gate.Rule(now, pinned)
}

// Waits reports whether a stream that must go on at the new version lacks a grant.
func (t *Tracker) Waits(now time.Time, pinned string) bool {
	g := t.gate
	return g != nil && pinned == g.order.To && !g.CuttingOver(now) && g.Left(now) == 0 && !g.ended(Done) && !g.ended(RolledBack)
}

// Await records that a stream waits for a grant, or does not wait any more.
func (t *Tracker) Await(n int) { t.urgent += n }

// Started records a send to a target of a version under a rule.
func (t *Tracker) Started(now time.Time, r Rule, version string) Send {
	t.load(now, version).running++
	if t.gate != nil {
		t.gate.Started(r, version)
	}
	return Send{version: version, startedAt: now}
}

func (t *Tracker) load(now time.Time, version string) *versionLoad {
	l, ok := t.loads[version]
	if !ok {
		l = &versionLoad{since: now}
		t.loads[version] = l
	}
	return l
}

// Ended records the end of a send.
func (t *Tracker) Ended(now time.Time, s Send, o *Outcome) {
	l := t.load(now, s.version)
	l.running--
	if now.Sub(l.since) >= longestTime {
		l.longest, l.before, l.since = 0, l.longest, now
	}
	l.longest = max(l.longest, now.Sub(s.startedAt))
	if t.gate == nil || !o.Observed || t.gate.heard && t.gate.reply.Phase.Final() {
		return
	}
	key := cellKey{class: o.Route}
	if s.version == t.gate.order.To {
		key.target = o.Target
	}
	c := t.cells.at(key)
	c.Ended++
	if o.Failed {
		c.Failed++
		return
	}
	if o.Latency > 0 {
		c.Latencies[bucketOf(o.Latency)]++
	}
	if o.Pace > 0 {
		key.class += paceSuffix
		t.cells.at(key).Latencies[bucketOf(o.Pace)]++
	}
}

// Report returns the next report. The responses in it are not reported again to the same controller.
func (t *Tracker) Report(now time.Time, process fleet.Incarnation) Report {
	g := t.gate
	r := Report{
		Order: g.order, Incarnation: process, Sent: g.sent, New: g.new, Held: g.reserved, Urgent: t.urgent,
		LeftMs: t.Left(now).Milliseconds(), Withdrawn: g.withdrawn,
	}
	if g.heard {
		r.Term, r.Applied, r.Phase = g.reply.Term, g.reply.Seq, g.reply.Phase
		if r.Phase == Cutover && !g.CuttingOver(now) {
			r.Phase = Canary
		}
		r.Closed = g.reply.Closed && g.CuttingOver(now)
	}
	r.Running = int(g.pending)
	for version, l := range t.loads {
		if version == g.order.To || g.heard && !slices.Contains(g.reply.Base, version) {
			continue
		}
		r.Running += l.running
		r.LongestMs = max(r.LongestMs, max(l.longest, l.before).Milliseconds())
	}
	if !g.heard || g.reply.Phase.Final() {
		return r
	}
	t.reported.merge(t.sent)
	t.sent, t.cells = t.cells, make(cells)
	r.Cells = t.sent.list()
	if t.reportedTerm != g.reply.Term {
		whole := make(cells)
		whole.merge(t.reported)
		whole.merge(t.sent)
		t.reportedTerm, r.Whole, r.Cells = g.reply.Term, true, whole.list()
	}
	return r
}

// Restore lets the responses of a report that was not sent be reported again.
func (t *Tracker) Restore(r *Report) {
	if t.gate == nil || !t.gate.order.Same(r.Order) {
		return
	}
	if r.Whole {
		t.reportedTerm = 0
		return
	}
	t.cells.merge(t.sent)
	t.sent = make(cells)
}
