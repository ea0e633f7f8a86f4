package admission_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/admission"
	"github.com/zinniafork/zinniafork/internal/core/fairness"
	"github.com/zinniafork/zinniafork/internal/core/health"
	"github.com/zinniafork/zinniafork/internal/core/ownership"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

type equalWeights struct{}

func (equalWeights) MemberWeight(fleet.Member) float64                 { return 1 }
func (equalWeights) AccountWeight(fleet.Member, fleet.Account) float64 { return 1 }

func config() admission.Config {
	return admission.Config{
		Limits:      health.Limits{Capacity: 4, ColdSlots: 1},
		QueueLength: 3,
		Weights:     equalWeights{},
	}
}

func item(id uint64) fairness.Item {
	return fairness.Item{ID: id, Member: "m", Account: "a", Arrived: start, StartBy: start.Add(time.Hour)}
}

// warm returns an owned target that runs with its full capacity.
func warm(c admission.Config) *admission.Target {
	t := admission.NewTarget(c, start)
	t.Acquire(start, ownership.Residual{Known: true})
	t.ApplyReport(at(1), report(0, c.Limits.Capacity, 1))
	return t
}

func report(running, slots, takenMS int) admission.Report {
	return admission.Report{
		Running: running,
		Health:  health.Report{TakenAt: at(takenMS), Incarnation: 1, Slots: slots},
	}
}

func reason(a admission.Actions) admission.Reason {
	if len(a.Refuse) == 0 {
		return 0
	}
	return a.Refuse[0].Reason
}

func TestSlotsThenQueueThenRefusal(t *testing.T) {
	target := warm(config())
	for id := range uint64(4) {
		must.Eq(t, []uint64{id}, target.Admit(at(10), item(id), true).Start)
		must.True(t, target.ConfirmStart(at(11), id))
	}
	must.Eq(t, admission.Full, reason(target.Admit(at(20), item(4), false)))
	for id := uint64(4); id < 7; id++ {
		must.Eq(t, admission.Actions{}, target.Admit(at(20), item(id), true))
	}
	must.Eq(t, 3, target.Queued())
	refused := target.Admit(at(21), item(7), true)
	must.Eq(t, admission.QueueFull, reason(refused))
	must.Greater(t, 0, refused.Refuse[0].RetryAfter)
	must.Eq(t, []uint64{4}, target.Finish(at(500), 0, true).Start)
}

func TestTooLateRequestIsRefusedAtOnce(t *testing.T) {
	target := warm(config())
	for id := range uint64(4) {
		target.Admit(at(10), item(id), true)
		target.ConfirmStart(at(10), id)
	}
	late := item(5)
	late.StartBy = at(50)
	must.Eq(t, admission.TooLate, reason(target.Admit(at(20), late, true)))

	waits := item(6)
	waits.StartBy = at(800)
	must.Eq(t, 0, reason(target.Admit(at(20), waits, true)))
	must.Eq(t, 0, reason(target.Tick(at(800))))
	must.Eq(t, admission.TooLate, reason(target.Tick(at(801))))
}

func TestResidualCountsUntilReportOrDeadline(t *testing.T) {
	cases := []struct {
		name     string
		residual ownership.Residual
		report   *admission.Report
		at       time.Time
		load     int
	}{
		{"known", ownership.Residual{Known: true, Count: 3, Until: at(60_000)}, nil, at(100), 3},
		{"unknown counts as full", ownership.Residual{Until: at(60_000)}, nil, at(100), 4},
		{"deadline", ownership.Residual{Known: true, Count: 3, Until: at(60_000)}, nil, at(60_000), 0},
		{"report shows fewer", ownership.Residual{Known: true, Count: 3, Until: at(60_000)}, ptr(report(1, 4, 50)), at(100), 1},
		{"report from before the term", ownership.Residual{Known: true, Count: 3, Until: at(60_000)}, ptr(report(0, 4, -50)), at(100), 3},
		{"pending is not reported", ownership.Residual{Known: true, Count: 3, Until: at(60_000), Pending: 2, PendingUntil: at(10_000)}, ptr(report(0, 4, 50)), at(100), 2},
		{"pending is over", ownership.Residual{Known: true, Count: 3, Until: at(60_000), Pending: 2, PendingUntil: at(90)}, ptr(report(0, 4, 50)), at(100), 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := admission.NewTarget(config(), start)
			target.Acquire(start, c.residual)
			if c.report != nil {
				target.ApplyReport(at(100), *c.report)
			}
			must.Eq(t, c.load, target.Load(c.at))
		})
	}
}

func ptr[T any](v T) *T { return &v }

func TestReportOfForeignRequests(t *testing.T) {
	target := warm(config())
	target.Admit(at(10), item(1), true)
	target.ConfirmStart(at(10), 1)
	target.ApplyReport(at(1000), report(3, 4, 900))
	must.Eq(t, 3, target.Load(at(1000)), must.Sprint("one request of this owner and two foreign ones"))

	target.Admit(at(1001), item(2), true)
	target.ConfirmStart(at(1001), 2)
	target.Finish(at(1002), 1, true)
	target.Finish(at(1003), 2, true)
	target.ApplyReport(at(1100), report(2, 4, 950))
	must.Eq(t, 0, target.Load(at(1100)), must.Sprint("the late report still contains this owner's finished requests"))
}

func TestBound(t *testing.T) {
	cases := []struct {
		name   string
		others admission.GroupLoad
		limit  int
	}{
		{"idle group allows one", admission.GroupLoad{Load: 0, Capacity: 36}, 1},
		{"even load allows one more", admission.GroupLoad{Load: 27, Capacity: 36}, 4},
		{"rounded up", admission.GroupLoad{Load: 9, Capacity: 36}, 2},
		{"alone", admission.GroupLoad{}, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bounded := config()
			bounded.Bound = 1.25
			target := warm(bounded)
			target.SetGroupLoad(at(5), c.others)
			for id := range uint64(4) {
				target.Admit(at(10), item(id), false)
			}
			must.Eq(t, c.limit, target.Pending())
		})
	}
}

func TestReleaseRefusesWaitingRequests(t *testing.T) {
	target := warm(config())
	for id := range uint64(6) {
		target.Admit(at(10), item(id), true)
	}
	lost := target.Release()
	must.Len(t, 2, lost.Refuse)
	must.Eq(t, admission.NotOwner, reason(lost))
	must.Eq(t, admission.NotOwner, reason(target.Admit(at(20), item(9), true)))
	must.Eq(t, 4, target.Load(at(20)), must.Sprint("started requests continue"))
}

// TestLoadNeverExceedsLimits runs random events and checks the load, counted
// independently, against slots and bound whenever a request starts.
func TestLoadNeverExceedsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := config()
		c.Limits.Capacity = rapid.IntRange(1, 10).Draw(t, "capacity")
		c.Bound = rapid.SampledFrom([]float64{0, 1.25, 2}).Draw(t, "bound")
		target := warm(c)
		others := admission.GroupLoad{}
		var active []uint64
		now := 10
		slots := c.Limits.Capacity
		check := func(a admission.Actions) {
			for _, id := range a.Start {
				active = append(active, id)
				must.LessEq(t, slots, len(active))
				if c.Bound > 0 {
					mean := float64(others.Load+len(active)) / float64(others.Capacity+slots)
					must.LessEq(t, max(1, int(math.Ceil(c.Bound*mean*float64(slots)))), len(active))
				}
			}
		}
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now += rapid.IntRange(1, 100).Draw(t, "ms")
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1:
				check(target.Admit(at(now), item(id), true))
			case 2:
				if len(active) > 0 {
					done := active[0]
					active = slices.Delete(active, 0, 1)
					target.ConfirmStart(at(now), done)
					check(target.Finish(at(now), done, true))
				}
			case 3:
				others.Load = rapid.IntRange(0, 50).Draw(t, "others")
				others.Capacity = 50
				check(target.SetGroupLoad(at(now), others))
			case 4:
				if len(active) > 0 {
					cancelled := active[len(active)-1]
					active = active[:len(active)-1]
					check(target.Cancel(at(now), cancelled))
				}
			}
		}
	})
}

func BenchmarkArriveDone(b *testing.B) {
	c := config()
	c.Bound = 1.25
	c.Limits.Capacity = 24
	target := warm(c)
	target.SetGroupLoad(at(5), admission.GroupLoad{Load: 4000, Capacity: 24 * 300})
	b.ReportAllocs()
	now := start
	for id := uint64(0); b.Loop(); id++ {
		now = now.Add(time.Millisecond)
		target.Admit(now, item(id), true)
		target.ConfirmStart(now, id)
		if id > 8 {
			target.Finish(now, id-8, true)
		}
	}
}
