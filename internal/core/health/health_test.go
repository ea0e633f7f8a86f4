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
	limits = health.Limits{Capacity: 8, ColdSlots: 2}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func warm() *health.Target {
	t := health.NewTarget(limits, start)
	t.ApplyReport(at(100), health.Report{TakenAt: at(50), Incarnation: 1, Slots: 8})
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
		{"report from before the term", func(t *health.Target) {
			t.ApplyReport(at(10), health.Report{TakenAt: at(-10), Incarnation: 1, Slots: 8})
		}, health.Unknown, 2},
		{"reports cold", func(t *health.Target) {
			t.ApplyReport(at(10), health.Report{TakenAt: at(5), Incarnation: 1, Slots: 2, Cold: true})
		}, health.Cold, 2},
		{"slots grow by completions", func(t *health.Target) {
			t.ApplyReport(at(10), health.Report{TakenAt: at(5), Incarnation: 1, Slots: 2, Cold: true})
			t.RecordCompletion(at(20))
			t.RecordCompletion(at(30))
		}, health.Warming, 4},
		{"completions before a report", func(t *health.Target) {
			for i := range 6 {
				t.RecordCompletion(at(10 + i))
			}
		}, health.Unknown, 8},
		{"late report does not undo completions", func(t *health.Target) {
			t.ApplyReport(at(10), health.Report{TakenAt: at(5), Incarnation: 1, Slots: 2, Cold: true})
			t.RecordCompletion(at(500))
			t.ApplyReport(at(600), health.Report{TakenAt: at(100), Incarnation: 1, Slots: 2, Cold: true})
		}, health.Warming, 3},
		{"warm", func(t *health.Target) {
			t.ApplyReport(at(10), health.Report{TakenAt: at(5), Incarnation: 1, Slots: 8})
		}, health.Warm, 8},
		{"new incarnation", func(t *health.Target) {
			t.ApplyReport(at(10), health.Report{TakenAt: at(5), Incarnation: 1, Slots: 8})
			t.ObserveIncarnation(at(20), 2)
		}, health.Cold, 2},
		{"old report after a new incarnation", func(t *health.Target) {
			t.ApplyReport(at(10), health.Report{TakenAt: at(5), Incarnation: 1, Slots: 8})
			t.ObserveIncarnation(at(20), 2)
			t.ApplyReport(at(30), health.Report{TakenAt: at(15), Incarnation: 1, Slots: 8})
		}, health.Cold, 2},
		{"report reduces slots at once", func(t *health.Target) {
			t.ApplyReport(at(10), health.Report{TakenAt: at(5), Incarnation: 1, Slots: 8})
			t.ApplyReport(at(20), health.Report{TakenAt: at(15), Incarnation: 1, Slots: 2, Cold: true})
		}, health.Cold, 2},
		{"failing probes", func(t *health.Target) {
			t.ApplyReport(at(10), health.Report{TakenAt: at(5), Incarnation: 1, Slots: 8})
			t.RecordFailure()
			t.RecordFailure()
		}, health.Suspect, 2},
		{"no response for long", func(t *health.Target) {
			for range 5 {
				t.RecordFailure()
			}
		}, health.Out, 0},
		{"responds again", func(t *health.Target) {
			for range 5 {
				t.RecordFailure()
			}
			t.ApplyReport(at(10), health.Report{TakenAt: at(5), Incarnation: 1, Slots: 8})
		}, health.Warm, 8},
		{"leaving", func(t *health.Target) {
			t.SetLimits(health.Limits{Capacity: 8, ColdSlots: 2, Leaving: true})
		}, health.Leaving, 0},
		{"back in service", func(t *health.Target) {
			t.ApplyReport(at(10), health.Report{TakenAt: at(5), Incarnation: 1, Slots: 8})
			t.SetLimits(health.Limits{Capacity: 8, ColdSlots: 2, Leaving: true})
			t.SetLimits(limits)
			t.ApplyReport(at(20), health.Report{TakenAt: at(15), Incarnation: 1, Slots: 8})
			t.RecordCompletion(at(30))
		}, health.Warming, 3},
		{"back in service and warm", func(t *health.Target) {
			t.ApplyReport(at(10), health.Report{TakenAt: at(5), Incarnation: 1, Slots: 8})
			t.SetLimits(health.Limits{Capacity: 8, ColdSlots: 2, Leaving: true})
			t.SetLimits(limits)
			for i := range 6 {
				t.RecordCompletion(at(30 + i))
			}
		}, health.Warm, 8},
		{"capacity lowered", func(t *health.Target) {
			t.ApplyReport(at(10), health.Report{TakenAt: at(5), Incarnation: 1, Slots: 8})
			t.SetLimits(health.Limits{Capacity: 4, ColdSlots: 2})
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

func TestAbruptFirstTokenRise(t *testing.T) {
	target := warm()
	for i := range 40 {
		must.False(t, target.RecordFirstToken(time.Duration(20+i%5)*time.Millisecond))
	}
	must.False(t, target.RecordFirstToken(300*time.Millisecond), must.Sprint("one slow response is no abrupt rise"))
	must.False(t, target.RecordFirstToken(22*time.Millisecond))
	must.False(t, target.RecordFirstToken(300*time.Millisecond))
	must.False(t, target.RecordFirstToken(310*time.Millisecond))
	must.True(t, target.RecordFirstToken(290*time.Millisecond))
	must.Eq(t, health.Suspect, target.State())
	must.Eq(t, 2, target.Slots())
	target.ApplyReport(at(400), health.Report{TakenAt: at(300), Incarnation: 1, Slots: 8})
	must.Eq(t, health.Warm, target.State())
}

// TestColdTargetStaysWithinColdSlots checks that no order of events gives a
// target more slots than the cold slots plus its completions since the last
// sign that it became cold.
func TestColdTargetStaysWithinColdSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := health.NewTarget(limits, start)
		incarnation, now, completed := uint64(2), 0, 0
		target.ObserveIncarnation(start, incarnation)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.IntRange(1, 200).Draw(t, "ms")
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0:
				target.RecordCompletion(at(now))
				completed++
			case 1:
				incarnation++
				completed = 0
				target.ObserveIncarnation(at(now), incarnation)
			case 2:
				// The target adds a slot per request completed since its start.
				target.ApplyReport(at(now), health.Report{
					TakenAt: at(now), Incarnation: incarnation,
					Slots: min(8, 2+completed), Cold: completed < 6,
				})
			case 3:
				target.RecordFailure()
			case 4:
				target.ApplyReport(at(now), health.Report{TakenAt: at(now - 500), Incarnation: incarnation - 1, Slots: 8})
			}
			must.LessEq(t, min(8, 2+completed), target.Slots())
		}
	})
}
