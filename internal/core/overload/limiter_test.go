package overload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/overload"
)

const (
	tick      = 10 * time.Millisecond
	objective = 600 * time.Millisecond
	engines   = 12
	slots     = 16
	// runTime is how long an engine works on one request.
	runTime = 1200 * time.Millisecond
)

// queued is a request that an engine holds.
type queued struct {
	sentAt    time.Time
	startedAt time.Time
	load      float64
}

// engine runs up to slots requests and queues the others in order.
type engine struct {
	requests []queued
	down     bool
}

// model is a service whose engines are chosen by the lowest load, below the limit
// of a limiter if there is one.
type model struct {
	limiter *overload.Limiter
	engines [engines]engine
	now     time.Time
	random  *rand.Rand
	// inTime, late and refused count the requests of the current phase by outcome.
	inTime, late, refused int
}

func newModel(l *overload.Limiter) *model {
	return &model{limiter: l, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(3, 4))}
}

// step lets one tick pass and adds new requests, perSecond on average.
func (m *model) step(perSecond float64) {
	m.now = m.now.Add(tick)
	for i := range m.engines {
		m.run(&m.engines[i])
	}
	for expected := perSecond * tick.Seconds(); expected > 0; expected-- {
		if m.random.Float64() < expected {
			m.arrive()
		}
	}
}

// run starts requests on free slots and removes those that have ended.
func (m *model) run(e *engine) {
	kept := e.requests[:0]
	for i, r := range e.requests {
		if r.startedAt.IsZero() && i < slots {
			r.startedAt = m.now
			m.observe(r)
		}
		if r.startedAt.IsZero() || m.now.Sub(r.startedAt) < runTime {
			kept = append(kept, r)
		}
	}
	e.requests = kept
}

// observe counts a first byte.
func (m *model) observe(r queued) {
	latency := m.now.Sub(r.sentAt)
	if latency <= objective {
		m.inTime++
	} else {
		m.late++
	}
	if m.limiter != nil {
		m.limiter.Observe(m.now, overload.FirstByte{Latency: latency, Objective: objective, LoadPerSlot: r.load})
	}
}

// arrive sends one request to the least loaded engine, or refuses it.
func (m *model) arrive() {
	var best *engine
	for i := range m.engines {
		e := &m.engines[i]
		if !e.down && (best == nil || len(e.requests) < len(best.requests)) {
			best = e
		}
	}
	load := float64(len(best.requests)) / slots
	if m.limiter != nil {
		refused := load >= m.limiter.LoadPerSlot(overload.Caller{})
		m.limiter.Decided(m.now, refused)
		if refused {
			m.refused++
			return
		}
	}
	best.requests = append(best.requests, queued{sentAt: m.now, load: load})
}

// phase runs for a time and returns the ratio of requests served in time.
func (m *model) phase(d time.Duration, perSecond float64) float64 {
	m.inTime, m.late, m.refused = 0, 0, 0
	for range int(d / tick) {
		m.step(perSecond)
	}
	return float64(m.inTime) / float64(m.inTime+m.late+m.refused)
}

// loseEngines takes the first n engines down with all they hold, or brings them back.
func (m *model) loseEngines(n int, down bool) {
	for i := range m.engines[:n] {
		m.engines[i] = engine{down: down}
	}
}

// capacity is what all engines serve per second.
const capacity = engines * slots / 1.2

// afterLoss plays the load: a third of the engines is lost for two seconds in a
// burst, then traffic falls back to almost what the engines can do. It returns the
// ratios of requests served in time during the loss and in the ten seconds after.
func afterLoss(l *overload.Limiter) (during, after float64) {
	m := newModel(l)
	m.phase(3*time.Second, 0.8*capacity)
	m.loseEngines(4, true)
	during = m.phase(2*time.Second, 1.2*capacity)
	m.loseEngines(4, false)
	return during, m.phase(10*time.Second, 0.95*capacity)
}

// TestQueueDoesNotOutlastTheLoss replays the load that left a standing queue at the
// engines: without a limit most responses are late for ten seconds after the engines
// have returned, although there are no more requests than they can run.
func TestQueueDoesNotOutlastTheLoss(t *testing.T) {
	_, unlimited := afterLoss(nil)
	must.Less(t, 0.5, unlimited, must.Sprint("the load must leave a queue without a limit"))
	during, after := afterLoss(overload.New())
	must.Greater(t, 0.5, during, must.Sprint("two thirds of the engines serve a burst of 1.2"))
	must.Greater(t, 0.9, after)
}

// TestFewerSlotsThanAnnounced replays engines that announce four times the slots that
// their memory lets them run: the limit must follow the latency, not the entry.
func TestFewerSlotsThanAnnounced(t *testing.T) {
	l, now := overload.New(), time.Unix(1_700_000_000, 0)
	load, served := 0.0, 0
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		load = min(load+0.05, l.LoadPerSlot(overload.Caller{}))
		latency := 100 * time.Millisecond
		if load > 0.4 {
			latency = time.Second
		} else {
			served++
		}
		for range 4 {
			l.Observe(now, overload.FirstByte{Latency: latency, Objective: objective, LoadPerSlot: load})
		}
	}
	must.Greater(t, 100, served, must.Sprint("most of the time the load must be one that the engines bear"))
}

// TestUrgentAndReturningCallersGoFirst checks the order in which callers are refused
// as the load rises.
func TestUrgentAndReturningCallersGoFirst(t *testing.T) {
	l := overload.New()
	must.Greater(t, l.LoadPerSlot(overload.Caller{Rank: 1}), l.LoadPerSlot(overload.Caller{Rank: 0}))
	must.Greater(t, l.LoadPerSlot(overload.Caller{Rank: 2}), l.LoadPerSlot(overload.Caller{Rank: 1}))
	must.Greater(t, l.LoadPerSlot(overload.Caller{}), l.LoadPerSlot(overload.Caller{Returning: true}))
	must.Eq(t, l.LoadPerSlot(overload.Caller{Rank: 3}), l.LoadPerSlot(overload.Caller{Rank: 9}),
		must.Sprint("the lowest ranks are not refused ever more"))
}

// TestRetryAfterGrowsWithRefusals checks that callers are spread over more time the
// more of them are refused, and never sent past the time that they honour.
func TestRetryAfterGrowsWithRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := overload.New(), time.Unix(1_700_000_000, 0)
		left := time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "left"))
		draw := rapid.Float64Range(0, 0.999).Draw(t, "draw")
		calm := l.RetryAfter(now, left, draw)
		for range 100 {
			now = now.Add(time.Millisecond)
			l.Decided(now, true)
		}
		pressed := l.RetryAfter(now, left, draw)
		must.GreaterEq(t, calm, pressed)
		must.LessEq(t, left/3, pressed)
		must.GreaterEq(t, 0, calm)
	})
}

// TestLimitStaysInBounds feeds arbitrary latencies: some work is always admitted, and
// never much more than the slots.
func TestLimitStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := overload.New(), time.Unix(1_700_000_000, 0)
		for range rapid.IntRange(1, 300).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
			l.Observe(now, overload.FirstByte{
				Latency:     time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "latency")),
				Objective:   time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "objective")),
				LoadPerSlot: rapid.Float64Range(0, 10).Draw(t, "load"),
			})
			limit := l.LoadPerSlot(overload.Caller{})
			must.Greater(t, 0.2, limit)
			must.Less(t, 1.3, limit)
		}
	})
}
