// Package load checks that no engine carries more than a set multiple of the
// mean load, and none more than it can bear.
//
// The load of an engine is the number of requests that it runs. Its capacity
// is what it can bear then: its slots, or less while it is cold. The mean load
// is the requests on all engines in service divided by their capacities, where
// an engine that came back into service counts by its ramp: with at most its
// cold slots and one more for each request completed since, because it may not
// take more yet. Engines that are down or under a drain mark don't count.
//
// The bound is judged whenever an engine begins a request: with that request
// its load may be at most the bound times mean times capacity, rounded up to a
// whole request, and one request is always allowed. Routers learn of each
// other's load with a lag, so the largest such limit of the last LagLimit
// counts.
package load

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/check"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

// Rules of this checker.
const (
	RuleBound    = "bound"
	RuleCold     = "cold_overload"
	RuleOverload = "overload"
)

const (
	// LagLimit is the age of the mean load that a router may act on.
	LagLimit = time.Second
	// NoticeLimit is the time in which a silent turn to cold must be noticed.
	NoticeLimit = 2 * time.Second
	// reported is the number of violations of a rule that are written out.
	reported = 5
)

// Result holds the measures of load.
type Result struct {
	// SkewMax is the largest load as a multiple of the mean, where the
	// rounding of the rule is taken out: it is above the bound exactly when
	// the rule is broken.
	SkewMax float64
	// SkewP99 is the skew that 99 in 100 starts of requests stay within.
	SkewP99 float64
	// OverBound counts the requests begun above the bound.
	OverBound int
	// ColdOverload counts the requests begun on a cold engine above what it
	// could bear, and Overload those on a warm engine.
	ColdOverload int
	Overload     int
}

// Check judges the load of a history's engines.
func Check(h *history.History, bound float64) (Result, []check.Violation) {
	r := newReplay(h)
	var (
		out   Result
		log   check.Log
		skews []float64
	)
	r.run(func(e *engine, run history.EngineRun) {
		allowed := r.allowed(e, bound)
		skew := bound * float64(e.running) / float64(allowed)
		out.SkewMax = max(out.SkewMax, skew)
		skews = append(skews, skew)
		if e.running > allowed {
			out.OverBound++
			if out.OverBound <= reported {
				log.Add(RuleBound, "%s began a request at %s with load %d, allowed %d", e.Target,
					run.Started.Sub(h.Start).Round(time.Millisecond), e.running, allowed)
			}
		}
	})
	if n := len(skews); n > 0 {
		slices.Sort(skews)
		out.SkewP99 = skews[n*99/100]
	}
	out.judgeLimits(h, &log)
	if n := h.WorkerRefusals; n > 0 {
		out.Overload += n
		log.Add(RuleOverload, "workers got %d calls above what they could bear", n)
	}
	return out, log.Violations
}

// judgeLimits compares each request with what its engine could bear.
func (out *Result) judgeLimits(h *history.History, log *check.Log) {
	engines := make(map[fleet.Target]history.Engine)
	for _, e := range h.Engines {
		engines[e.Target] = e
	}
	for _, run := range h.EngineRuns {
		if run.Running <= run.Limit {
			continue
		}
		if run.Cold && recentlyTurned(engines[run.Target], run.Started) {
			continue
		}
		rule, count := RuleOverload, &out.Overload
		if run.Cold {
			rule, count = RuleCold, &out.ColdOverload
		}
		*count++
		if *count <= reported {
			log.Add(rule, "%s at %s: %d requests, can bear %d", run.Target,
				run.Started.Sub(h.Start).Round(time.Millisecond), run.Running, run.Limit)
		}
	}
}

func recentlyTurned(e history.Engine, at time.Time) bool {
	return slices.ContainsFunc(e.TurnedCold, func(turned time.Time) bool {
		return !at.Before(turned) && at.Sub(turned) < NoticeLimit
	})
}

// engine is one engine during the replay.
type engine struct {
	history.Engine
	running int
	// bears is what the engine could bear at its last start of a request.
	bears int
	// ramp limits what it counts in the mean after a return; completed requests
	// raise it.
	ramp    int
	serving bool
}

// replay goes through the starts and ends of all requests in order.
type replay struct {
	h       *history.History
	engines map[fleet.Target]*engine
	means   []mean
}

// mean is the mean load from a time on.
type mean struct {
	at    time.Time
	value float64
}

func newReplay(h *history.History) *replay {
	r := &replay{h: h, engines: make(map[fleet.Target]*engine)}
	for _, e := range h.Engines {
		r.engines[e.Target] = &engine{Engine: e, bears: e.Slots, ramp: e.Slots, serving: true}
	}
	return r
}

type step struct {
	at    time.Time
	run   history.EngineRun
	begin bool
}

// run calls begun after each start of a request.
func (r *replay) run(begun func(*engine, history.EngineRun)) {
	var steps []step
	for _, run := range r.h.EngineRuns {
		if run.Refused || r.engines[run.Target] == nil {
			continue
		}
		steps = append(steps, step{run.Started, run, true}, step{run.Ended, run, false})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return a.at.Compare(b.at) })
	for _, s := range steps {
		e := r.engines[s.run.Target]
		if !s.begin {
			e.running--
			e.ramp = min(e.ramp+1, e.Slots)
			r.note(s.at)
			continue
		}
		e.running++
		e.bears = s.run.Limit
		r.note(s.at)
		begun(e, s.run)
	}
}

// inService reports whether the engine may receive work, and starts the ramp
// of one that came back.
func (r *replay) inService(e *engine, at time.Time) bool {
	up := slices.ContainsFunc(e.Up, func(s history.Span) bool { return s.Covers(at) })
	marked := slices.ContainsFunc(r.h.Marks, func(m history.Mark) bool {
		return m.Covers(e.Target, e.DataCentre, at)
	})
	serving := up && !marked
	if serving && !e.serving {
		e.ramp = e.ColdSlots
	}
	e.serving = serving
	return serving
}

// note remembers the mean load at a time and forgets those that no router
// may act on any more.
func (r *replay) note(at time.Time) {
	running, capacity := 0, 0
	for _, e := range r.engines {
		if r.inService(e, at) {
			running += e.running
			capacity += min(e.bears, e.ramp)
		}
	}
	if capacity == 0 {
		return
	}
	r.means = append(r.means, mean{at, float64(running) / float64(capacity)})
	old := 0
	for old+1 < len(r.means) && at.Sub(r.means[old+1].at) > LagLimit {
		old++
	}
	r.means = r.means[old:]
}

// allowed returns the load that an engine may have now.
func (r *replay) allowed(e *engine, bound float64) int {
	if len(r.means) == 0 {
		return 1
	}
	highest := slices.MaxFunc(r.means, func(a, b mean) int { return cmp.Compare(a.value, b.value) })
	return Allowed(bound, highest.value, e.bears)
}

// Allowed returns the load that an engine may have at a mean load.
func Allowed(bound, mean float64, capacity int) int {
	return max(1, int(math.Ceil(bound*mean*float64(capacity)-rounding)))
}

// rounding keeps a limit that is a whole number from being rounded up.
const rounding = 1e-9
