package load_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/check/load"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

const bound = 1.25

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func engines() []history.Engine {
	var out []history.Engine
	for _, name := range []fleet.Target{"a", "b", "c", "d"} {
		out = append(out, history.Engine{
			Target:    name,
			Slots:     8,
			ColdSlots: 2,
			Up:        []history.Span{{From: start}},
		})
	}
	return out
}

// run is a request on an engine from one millisecond to another.
func run(target fleet.Target, from, to int) history.EngineRun {
	return history.EngineRun{Target: target, Started: at(from), Ended: at(to), Running: 1, Limit: 8}
}

func many(n int, target fleet.Target, from, to int) []history.EngineRun {
	var out []history.EngineRun
	for range n {
		out = append(out, run(target, from, to))
	}
	return out
}

// even puts n requests on each engine, one engine after another.
func even(n int, targets ...fleet.Target) []history.EngineRun {
	var out []history.EngineRun
	for range n {
		for _, target := range targets {
			out = append(out, run(target, 0, 10_000))
		}
	}
	return out
}

func TestBound(t *testing.T) {
	cases := []struct {
		name string
		runs []history.EngineRun
		over int
	}{
		{"one request is always allowed", []history.EngineRun{run("a", 0, 100)}, 0},
		{"two on one engine and none on others", many(2, "a", 0, 100), 1},
		{"even load", even(4, "a", "b", "c", "d"), 0},
		{"one above the rounded mean", append(even(4, "a", "b", "c", "d"), run("a", 1, 100)), 0},
		{"three above the mean", append(even(4, "a", "b", "c", "d"), many(3, "a", 1, 100)...), 1},
		{"old mean counts within the lag", append(many(4, "b", 0, 500), many(3, "a", 900, 2000)...), 3 + 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &history.History{Start: start, Engines: engines(), EngineRuns: c.runs}
			got, violations := load.Check(h, bound)
			must.Eq(t, c.over, got.OverBound)
			must.Eq(t, c.over > 0, got.SkewMax > bound)
			must.Eq(t, c.over > 0, len(violations) > 0)
		})
	}
}

func TestEnginesOutOfServiceDoNotCount(t *testing.T) {
	h := &history.History{Start: start, Engines: engines()}
	// Two engines are marked: six requests on the other two are even.
	h.Marks = []history.Mark{{Target: "c", Accepted: start}, {Target: "d", Accepted: start}}
	h.EngineRuns = append(even(3, "a", "b"), run("a", 2, 100))
	got, _ := load.Check(h, bound)
	must.LessEq(t, bound, got.SkewMax)
	h.Marks = nil
	got, _ = load.Check(h, bound)
	must.Greater(t, bound, got.SkewMax)
}

// TestReturnedEngineCountsByItsRamp takes an engine out and back by a restart
// and by a mark. It counts for little at first, and for all of its slots after
// as many completed requests.
func TestReturnedEngineCountsByItsRamp(t *testing.T) {
	restarted := &history.History{Start: start, Engines: engines()}
	restarted.Engines[3].Up = []history.Span{{From: start.Add(-time.Hour), To: at(10)}, {From: at(20)}}
	marked := &history.History{Start: start, Engines: engines()}
	marked.Marks = []history.Mark{{Target: "d", Accepted: at(10), Lifted: at(20)}}
	for _, h := range []*history.History{restarted, marked} {
		h.EngineRuns = append([]history.EngineRun{run("a", 11, 12)}, at7(30)...)
		got, _ := load.Check(h, bound)
		must.LessEq(t, bound, got.SkewMax)

		h.EngineRuns = append(h.EngineRuns[:1], many(8, "d", 21, 22)...)
		h.EngineRuns = append(h.EngineRuns, at7(2000)...)
		got, _ = load.Check(h, bound)
		must.Greater(t, 4, got.OverBound, must.Sprint("the warm engine stays idle"))
	}
}

// TestReturnedEngineMayTakeItsShare gives a warm engine work right after its
// mark was lifted.
func TestReturnedEngineMayTakeItsShare(t *testing.T) {
	h := &history.History{Start: start, Engines: engines()}
	h.Marks = []history.Mark{{Target: "d", Accepted: at(10), Lifted: at(20)}}
	h.EngineRuns = append([]history.EngineRun{run("a", 11, 12)}, even(3, "a", "b", "c")...)
	h.EngineRuns = append(h.EngineRuns, many(4, "d", 40, 100)...)
	got, _ := load.Check(h, bound)
	must.LessEq(t, bound, got.SkewMax)
	h.EngineRuns = append(h.EngineRuns, many(6, "d", 41, 100)...)
	got, _ = load.Check(h, bound)
	must.Greater(t, bound, got.SkewMax)
}

// at7 puts seven requests on each of three engines of four.
func at7(from int) []history.EngineRun {
	var out []history.EngineRun
	for range 7 {
		for _, target := range []fleet.Target{"a", "b", "c"} {
			out = append(out, run(target, from, 10_000))
		}
	}
	return out
}

func TestColdOverload(t *testing.T) {
	overload := history.EngineRun{Target: "a", Started: at(5000), Ended: at(6000), Running: 3, Limit: 2, Cold: true}
	h := &history.History{Start: start, Engines: engines(), EngineRuns: []history.EngineRun{overload}}
	got, violations := load.Check(h, bound)
	must.Eq(t, 1, got.ColdOverload)
	must.Eq(t, load.RuleCold, violations[0].Rule)

	h.Engines[0].TurnedCold = []time.Time{at(4000)}
	got, _ = load.Check(h, bound)
	must.Eq(t, 0, got.ColdOverload)
	h.Engines[0].TurnedCold = []time.Time{at(2000)}
	got, _ = load.Check(h, bound)
	must.Eq(t, 1, got.ColdOverload)

	overload.Cold = false
	h.EngineRuns = []history.EngineRun{overload}
	got, violations = load.Check(h, bound)
	must.Eq(t, 1, got.Overload)
	must.Eq(t, load.RuleOverload, violations[0].Rule)
}

func TestWorkerOverload(t *testing.T) {
	got, violations := load.Check(&history.History{Start: start, WorkerRefusals: 2}, bound)
	must.Eq(t, 2, got.Overload)
	must.Eq(t, load.RuleOverload, violations[0].Rule)
}
