package workload_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/workload"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

var start = time.Unix(1_700_000_000, 0)

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// engineCall is a response of a model engine.
type engineCall struct {
	key      workload.Key
	size     workload.Size
	target   fleet.Ref
	prefixes int
	events   int
	// speed is that of the engine, batch the number of requests there.
	speed, batch float64
}

// run plays a response that takes 1/56 ms for a token to read and 22 ms + 0.2 ms for each
// request in the batch for an event.
func run(m *workload.Model, now time.Time, c engineCall) (*workload.Job, time.Time) {
	e := m.Estimate(c.key, &c.size, c.batch)
	j := m.Start(now, workload.Start{Key: c.key, Size: c.size, Estimate: e, Target: c.target, Slots: 64, Batch: c.batch, Prefixes: c.prefixes})
	tokens := c.size.PromptTokens
	if c.prefixes > 0 {
		tokens -= c.size.PrefixTokens[c.prefixes-1]
	}
	event := ms((22 + 0.2*c.batch) / c.speed)
	now = now.Add(ms(float64(tokens)/56/c.speed) + event)
	m.Events(now, j, 1)
	for range c.events - 1 {
		now = now.Add(event)
		m.Events(now, j, 1)
	}
	m.Complete(now, j, false)
	return j, now
}

var engineKey = workload.Key{Service: "s", Route: "chat", Account: "a", Engine: true}

// TestCachedPrefixesCostNothingToRead guards against requests that look alike and count alike.
func TestCachedPrefixesCostNothingToRead(t *testing.T) {
	m := workload.New()
	long := workload.Size{PromptTokens: 11812, OutputHint: 380, PrefixTokens: []int{2041, 10512}}
	e := m.Estimate(engineKey, &long, 30)
	must.InDelta(t, 211, e.ReadMS(0), 1)
	must.InDelta(t, 23.2, e.ReadMS(2), 1)
	brief := m.Estimate(engineKey, &workload.Size{PromptTokens: 2401, OutputHint: 21, PrefixTokens: []int{2041}}, 30)
	must.Greater(t, 5*brief.CostMS(1, 64), e.CostMS(0, 64))
	must.Eq(t, e.ReadMS(2), e.ReadMS(9), must.Sprint("more prefixes than the prompt has"))
}

// TestLearnsOutputOfAccount guards against hints that mislead for one account, and against an
// account whose history spoils that of others.
func TestLearnsOutputOfAccount(t *testing.T) {
	m, now := workload.New(), start
	hot := engineKey
	hot.Account = "hot"
	for range 60 {
		_, now = run(m, now, engineCall{key: engineKey, size: workload.Size{PromptTokens: 800, OutputHint: 300}, events: 35, speed: 1, batch: 10})
		_, now = run(m, now, engineCall{key: hot, size: workload.Size{PromptTokens: 800, OutputHint: 300}, events: 250, speed: 1, batch: 10})
	}
	size := workload.Size{PromptTokens: 800, OutputHint: 300}
	must.InDelta(t, 35, m.Estimate(engineKey, &size, 10).Events, 15)
	must.InDelta(t, 250, m.Estimate(hot, &size, 10).Events, 30)
	size.OutputHint = 0
	must.InDelta(t, 35, m.Estimate(engineKey, &size, 10).Events, 15, must.Sprint("without a hint"))
}

// TestWeighsHintByItsErrors guards against hints that are far off and count nevertheless.
func TestWeighsHintByItsErrors(t *testing.T) {
	m, now, rng := workload.New(), start, rand.New(rand.NewPCG(1, 1))
	for range 200 {
		_, now = run(m, now, engineCall{key: engineKey, size: workload.Size{PromptTokens: 800, OutputHint: 20 + rng.IntN(4000)}, events: 40, speed: 1, batch: 10})
	}
	for _, hint := range []int{20, 4000} {
		must.InDelta(t, 40, m.Estimate(engineKey, &workload.Size{OutputHint: hint}, 10).Events, 20, must.Sprint(hint))
	}
}

// TestTimeOfAnEventByBatch guards against a step that costs the same at any batch.
func TestTimeOfAnEventByBatch(t *testing.T) {
	m, now := workload.New(), start
	for i := range 200 {
		_, now = run(m, now, engineCall{key: engineKey, size: workload.Size{PromptTokens: 800}, events: 20, speed: 1, batch: float64(10 + i%40)})
	}
	size := workload.Size{PromptTokens: 800}
	must.InDelta(t, 24, m.Estimate(engineKey, &size, 10).EventMS, 0.5)
	must.InDelta(t, 30, m.Estimate(engineKey, &size, 40).EventMS, 0.5)
	must.InDelta(t, 1.0/56, m.Estimate(engineKey, &size, 40).TokenMS, 0.004)
}

// TestPaceOfMixedSpeeds guards against machines of other speeds that count as usual ones.
func TestPaceOfMixedSpeeds(t *testing.T) {
	m, now := workload.New(), start
	speeds := []float64{1, 1, 1.3, 0.4}
	for i := range 400 {
		_, now = run(m, now, engineCall{key: engineKey, size: workload.Size{PromptTokens: 800}, target: fleet.Ref(i%4 + 1), events: 20, speed: speeds[i%4], batch: 10})
	}
	pace := func(i int) float64 {
		p, _ := m.Speed(now, fleet.Ref(i+1))
		return p
	}
	must.InDelta(t, 1.3, pace(2)/pace(0), 0.1)
	must.InDelta(t, 0.4, pace(3)/pace(0), 0.05)
	later, _ := m.Speed(now.Add(90*time.Second), 4)
	must.Eq(t, 1, later, must.Sprint("nothing was heard for long"))
	m.Forget(4)
	must.Eq(t, 1, pace(3), must.Sprint("after a restart"))
}

// reported plays responses of two targets that report their slowdown, and returns the pace of
// the first one by its report of 2.
func reported(says func(slowdown float64, i int) float64) float64 {
	m, now, rng := workload.New(), start, rand.New(rand.NewPCG(3, 3))
	for i := range 300 {
		slowdown := 1 + rng.Float64()
		m.Reported(now, 1, workload.Report{Slots: 64, Slowdown: says(slowdown, i)}, 0)
		run(m, now, engineCall{key: engineKey, size: workload.Size{PromptTokens: 800}, target: 1, events: 20, speed: 1 / slowdown, batch: 10})
		_, now = run(m, now, engineCall{key: engineKey, size: workload.Size{PromptTokens: 800}, target: 2, events: 20, speed: 1 / 1.45, batch: 10})
	}
	usual, _ := m.Speed(now.Add(time.Second), 1)
	m.Reported(now.Add(time.Second), 1, workload.Report{Slots: 64, Slowdown: 0.5}, 0)
	fast, _ := m.Speed(now.Add(time.Second), 1)
	return fast / usual
}

// TestReportsCountWhileResponsesBearThemOut guards against a target that claims to be fast, and
// against one whose true reports are of no use.
func TestReportsCountWhileResponsesBearThemOut(t *testing.T) {
	must.InDelta(t, 2, reported(func(slowdown float64, _ int) float64 { return slowdown }), 0.01)
	must.Eq(t, 1, reported(func(slowdown float64, _ int) float64 { return 3 - slowdown }), must.Sprint("the contrary"))
	must.Eq(t, 1, reported(func(_ float64, i int) float64 { return []float64{0.2, 1}[i%2] }), must.Sprint("nonsense"))
	must.Eq(t, 1, reported(func(float64, int) float64 { return 0 }), must.Sprint("no figure"))
}

// TestReportedRequestsOnlyAdd guards against a target that says that it is idle and isn't, and
// against reports that count when they are old.
func TestReportedRequestsOnlyAdd(t *testing.T) {
	m := workload.New()
	excess := func(requests int, known float64, age time.Duration) float64 {
		m.Reported(start, 1, workload.Report{Requests: requests, Slots: 64}, known)
		_, x := m.Speed(start.Add(age), 1)
		return x
	}
	must.Eq(t, 0, excess(0, 40, 0))
	must.Eq(t, 10, excess(50, 40, 0))
	must.Eq(t, 32, excess(1<<20, 40, 0), must.Sprint("at most half of the slots"))
	must.Eq(t, 0, excess(50, 40, time.Second))
}

// TestRemainingWorkFalls guards against work that stays at a target or falls below zero.
func TestRemainingWorkFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := workload.New()
		size := workload.Size{
			PromptTokens: rapid.IntRange(0, 20000).Draw(t, "prompt"), OutputHint: rapid.IntRange(0, 1<<24).Draw(t, "hint"),
			MaxOutput: rapid.IntRange(0, 1<<24).Draw(t, "max"), PrefixTokens: []int{rapid.IntRange(0, 40000).Draw(t, "prefix")},
		}
		e := m.Estimate(engineKey, &size, rapid.Float64Range(0, 1e6).Draw(t, "batch"))
		j := m.Start(start, workload.Start{Key: engineKey, Size: size, Estimate: e, Target: 1, Slots: rapid.IntRange(0, 64).Draw(t, "slots"), Prefixes: rapid.IntRange(0, 3).Draw(t, "prefixes")})
		left, now := j.Left(), start
		must.Greater(t, 0, left)
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "gap")))
			m.Events(now, j, 1)
			must.LessEq(t, left, j.Left())
			must.Greater(t, 0, j.Left())
			left = j.Left()
		}
		m.Complete(now, j, false)
		must.Eq(t, 0, j.Left())
		pace, _ := m.Speed(now, 1)
		must.Between(t, 0.1, pace, 3.1)
		next := m.Estimate(engineKey, &size, 10)
		must.False(t, math.IsNaN(next.CostMS(0, 64)) || math.IsInf(next.CostMS(0, 64), 0))
	})
}

// TestServiceTimeOfPlainRoutes guards against time in a target's queue that counts as work.
func TestServiceTimeOfPlainRoutes(t *testing.T) {
	m, now := workload.New(), start
	key := workload.Key{Service: "p", Route: "order"}
	for i := range 100 {
		e := m.Estimate(key, &workload.Size{}, 3)
		busy, took := 3.0, 60.0
		if i%2 == 0 {
			busy, took = 12, 900
		}
		j := m.Start(now, workload.Start{Key: key, Estimate: e, Target: 1, Slots: 6, Batch: busy})
		now = now.Add(ms(took))
		m.Complete(now, j, false)
	}
	e := m.Estimate(key, &workload.Size{}, 3)
	must.InDelta(t, 60, e.ServiceMS, 1)
	must.InDelta(t, 10, e.CostMS(0, 6), 0.2)
	must.GreaterEq(t, e.ServiceMS, e.TailMS)
}

// TestBoundedState guards against state that grows with accounts and targets.
func TestBoundedState(t *testing.T) {
	m := workload.New()
	for i := range 10_000 {
		key := engineKey
		key.Account = fleet.Account(fmt.Sprint(i))
		run(m, start, engineCall{key: key, size: workload.Size{PromptTokens: 800}, target: fleet.Ref(i), events: 2, speed: 1, batch: 1})
	}
	targets := 0
	m.Paces(start, func(fleet.Ref, float64) { targets++ })
	must.LessEq(t, 2048, targets)
}

// TestFalseTokenCountsDoNotSlowTargets guards against a few requests that claim huge prompts and
// begin at once, after which the targets of all other requests are taken for slow.
func TestFalseTokenCountsDoNotSlowTargets(t *testing.T) {
	m, now := workload.New(), start
	usual := func(n int) {
		for range n {
			_, now = run(m, now, engineCall{key: engineKey, size: workload.Size{PromptTokens: 2000}, target: 1, events: 10, speed: 1, batch: 10})
		}
	}
	usual(50)
	before, _ := m.Speed(now, 1)
	for range 3 {
		key, size := engineKey, workload.Size{PromptTokens: 1 << 24}
		key.Account = "hostile"
		j := m.Start(now, workload.Start{Key: key, Size: size, Estimate: m.Estimate(key, &size, 10), Target: 2, Slots: 64, Batch: 10})
		now = now.Add(50 * time.Millisecond)
		m.Events(now, j, 1)
		j.Drop()
	}
	usual(10)
	after, _ := m.Speed(now, 1)
	must.Greater(t, 0.93*before, after)
}

// TestHintAboveTheMostOutput guards against outputs that are learned from a whole hint and
// predicted from one that is bounded by the most tokens of output.
func TestHintAboveTheMostOutput(t *testing.T) {
	m, now := workload.New(), start
	size := workload.Size{PromptTokens: 2000, MaxOutput: 100, OutputHint: 100_000}
	for range 50 {
		_, now = run(m, now, engineCall{key: engineKey, size: size, target: 1, events: 12, speed: 1, batch: 10})
	}
	honest := workload.Size{PromptTokens: 2000, MaxOutput: 1000, OutputHint: 100}
	must.Between(t, 10, m.Estimate(engineKey, &honest, 10).Events, 14)
	honest.OutputHint = 1000
	must.Between(t, 50, m.Estimate(engineKey, &honest, 10).Events, 140)
}

// TestOneFalseSizeMovesEstimatesLittle guards against one complete request with sizes far off, after
// which the other requests of its route are expected to cost many times more or less.
func TestOneFalseSizeMovesEstimatesLittle(t *testing.T) {
	m, now := workload.New(), start
	size := workload.Size{PromptTokens: 2000, OutputHint: 340}
	call := func(key workload.Key, size workload.Size) {
		e := m.Estimate(key, &size, 10)
		j := m.Start(now, workload.Start{Key: key, Size: size, Estimate: e, Target: 1, Slots: 64, Batch: 10})
		for range 40 {
			now = now.Add(30 * time.Millisecond)
			m.Events(now, j, 1)
		}
		m.Complete(now, j, false)
	}
	for range 100 {
		call(engineKey, size)
	}
	hostile, other := engineKey, engineKey
	hostile.Account, other.Account = "hostile", "other"
	call(hostile, workload.Size{PromptTokens: 1 << 24, OutputHint: 1 << 24})
	must.Between(t, 1900, m.Estimate(other, &workload.Size{}, 10).Tokens, 3000)
	must.Between(t, 30, m.Estimate(other, &size, 10).Events, 50)
}
