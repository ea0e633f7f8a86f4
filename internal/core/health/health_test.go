package health_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/health"
)

var (
	start  = time.Unix(1000, 0)
	limits = health.Limits{Capacity: 8, Cold: 2}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func warm() *health.Target {
	t := health.NewTarget(limits, start)
	t.Reported(at(100), health.Report{Taken: at(50), Incarnation: 1, Slots: 8})
	return t
}

func TestStates(t *testing.T) {
	cases := []struct {
		name  string
		steps func(t *health.Target)
		state health.State
		slots int
	}{
		{"nothing known", func(*health.Target) {}, health.Unknown, 2},
		{"report from before the tenure", func(t *health.Target) {
			t.Reported(at(10), health.Report{Taken: at(-10), Incarnation: 1, Slots: 8})
		}, health.Unknown, 2},
		{"reports cold", func(t *health.Target) {
			t.Reported(at(10), health.Report{Taken: at(5), Incarnation: 1, Slots: 2, Cold: true})
		}, health.Cold, 2},
		{"ramps by completions", func(t *health.Target) {
			t.Reported(at(10), health.Report{Taken: at(5), Incarnation: 1, Slots: 2, Cold: true})
			t.Completed(at(20))
			t.Completed(at(30))
		}, health.Warming, 4},
		{"completions before a report", func(t *health.Target) {
			for i := range 6 {
				t.Completed(at(10 + i))
			}
		}, health.Unknown, 8},
		{"late report does not undo completions", func(t *health.Target) {
			t.Reported(at(10), health.Report{Taken: at(5), Incarnation: 1, Slots: 2, Cold: true})
			t.Completed(at(500))
			t.Reported(at(600), health.Report{Taken: at(100), Incarnation: 1, Slots: 2, Cold: true})
		}, health.Warming, 3},
		{"warm", func(t *health.Target) {
			t.Reported(at(10), health.Report{Taken: at(5), Incarnation: 1, Slots: 8})
		}, health.Warm, 8},
		{"new incarnation", func(t *health.Target) {
			t.Reported(at(10), health.Report{Taken: at(5), Incarnation: 1, Slots: 8})
			t.Seen(at(20), 2)
		}, health.Cold, 2},
		{"old report after a new incarnation", func(t *health.Target) {
			t.Reported(at(10), health.Report{Taken: at(5), Incarnation: 1, Slots: 8})
			t.Seen(at(20), 2)
			t.Reported(at(30), health.Report{Taken: at(15), Incarnation: 1, Slots: 8})
		}, health.Cold, 2},
		{"report shrinks at once", func(t *health.Target) {
			t.Reported(at(10), health.Report{Taken: at(5), Incarnation: 1, Slots: 8})
			t.Reported(at(20), health.Report{Taken: at(15), Incarnation: 1, Slots: 2, Cold: true})
		}, health.Cold, 2},
		{"failing probes", func(t *health.Target) {
			t.Reported(at(10), health.Report{Taken: at(5), Incarnation: 1, Slots: 8})
			t.Failed()
			t.Failed()
		}, health.Suspect, 2},
		{"no answer for long", func(t *health.Target) {
			for range 5 {
				t.Failed()
			}
		}, health.Out, 0},
		{"answers again", func(t *health.Target) {
			for range 5 {
				t.Failed()
			}
			t.Reported(at(10), health.Report{Taken: at(5), Incarnation: 1, Slots: 8})
		}, health.Warm, 8},
		{"leaving", func(t *health.Target) {
			t.SetLimits(health.Limits{Capacity: 8, Cold: 2, Leaving: true})
		}, health.Leaving, 0},
		{"back in service", func(t *health.Target) {
			t.Reported(at(10), health.Report{Taken: at(5), Incarnation: 1, Slots: 8})
			t.SetLimits(health.Limits{Capacity: 8, Cold: 2, Leaving: true})
			t.SetLimits(limits)
			t.Reported(at(20), health.Report{Taken: at(15), Incarnation: 1, Slots: 8})
			t.Completed(at(30))
		}, health.Warming, 3},
		{"back in service and warm", func(t *health.Target) {
			t.Reported(at(10), health.Report{Taken: at(5), Incarnation: 1, Slots: 8})
			t.SetLimits(health.Limits{Capacity: 8, Cold: 2, Leaving: true})
			t.SetLimits(limits)
			for i := range 6 {
				t.Completed(at(30 + i))
			}
		}, health.Warm, 8},
		{"capacity lowered", func(t *health.Target) {
			t.Reported(at(10), health.Report{Taken: at(5), Incarnation: 1, Slots: 8})
			t.SetLimits(health.Limits{Capacity: 4, Cold: 2})
		}, health.Warm, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := health.NewTarget(limits, start)
			c.steps(target)
			must.Eq(t, c.state, target.State())
			must.Eq(t, c.slots, target.Slots())
		})
	}
}

func TestFirstTokenStep(t *testing.T) {
	target := warm()
	for i := range 40 {
		must.False(t, target.FirstToken(time.Duration(20+i%5)*time.Millisecond))
	}
	must.False(t, target.FirstToken(300*time.Millisecond), must.Sprint("one slow answer is no step"))
	must.False(t, target.FirstToken(22*time.Millisecond))
	must.False(t, target.FirstToken(300*time.Millisecond))
	must.False(t, target.FirstToken(310*time.Millisecond))
	must.True(t, target.FirstToken(290*time.Millisecond))
	must.Eq(t, health.Suspect, target.State())
	must.Eq(t, 2, target.Slots())
	target.Reported(at(400), health.Report{Taken: at(300), Incarnation: 1, Slots: 8})
	must.Eq(t, health.Warm, target.State())
}

// TestColdLimitHolds checks that no order of events gives a target that is
// cold by its last sign more than the cold slots and its completions since.
func TestColdLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := health.NewTarget(limits, start)
		incarnation, now, completed := uint64(2), 0, 0
		target.Seen(start, incarnation)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.IntRange(1, 200).Draw(t, "ms")
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0:
				target.Completed(at(now))
				completed++
			case 1:
				incarnation++
				completed = 0
				target.Seen(at(now), incarnation)
			case 2:
				// The target bears what it has completed since its start.
				target.Reported(at(now), health.Report{
					Taken: at(now), Incarnation: incarnation,
					Slots: min(8, 2+completed), Cold: completed < 6,
				})
			case 3:
				target.Failed()
			case 4:
				target.Reported(at(now), health.Report{Taken: at(now - 500), Incarnation: incarnation - 1, Slots: 8})
			}
			must.LessEq(t, min(8, 2+completed), target.Slots())
		}
	})
}
