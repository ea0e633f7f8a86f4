package sitestate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
)

var start = time.Unix(1_700_000_000, 0)

func ready(cold time.Duration) sitestate.Target {
	return sitestate.Target{Service: "svc", Address: "1.2.3.4:80", DataCentre: "dc1", Slots: 4, Usable: true, Cold: cold}
}

func target(key string, offset int64, value sitestate.Target) sitestate.Record[sitestate.Target] {
	return sitestate.Record[sitestate.Target]{Key: key, Offset: offset, Value: value}
}

func gone(key string, offset int64) sitestate.Record[sitestate.Target] {
	return sitestate.Record[sitestate.Target]{Key: key, Offset: offset, Gone: true}
}

func config(version, offset int64) []sitestate.Record[sitestate.Config] {
	content := &routing.Config{Version: version, Services: []routing.Service{{Name: "svc", ColdFor: 3 * time.Second, ColdRate: 10}}}
	return []sitestate.Record[sitestate.Config]{{Key: sitestate.ConfigKey, Offset: offset, Value: sitestate.Config{Content: content}}}
}

func targets(from, end int64, records ...sitestate.Record[sitestate.Target]) *sitestate.Update {
	return &sitestate.Update{
		Targets: records,
		From:    sitestate.Positions{Targets: from},
		End:     sitestate.Positions{Targets: end},
	}
}

func names(s *sitestate.State, now time.Time) []string {
	out := []string{}
	for _, a := range s.Available(now, "svc") {
		out = append(out, string(a.ID))
	}
	return out
}

func TestTargetLifecycle(t *testing.T) {
	s := sitestate.New()
	s.Apply(start, targets(0, 2, target("a", 0, ready(0)), target("b", 1, ready(0))))
	must.Eq(t, []string{"a", "b"}, names(s, start))
	leaving := ready(0)
	leaving.Leaving = true
	s.Apply(start, targets(2, 3, target("a", 2, leaving)))
	must.Eq(t, []string{"b"}, names(s, start))
	_, ok := s.Lookup("a")
	must.True(t, ok, must.Sprint("a leaving target can still hand over its cache"))
	s.Apply(start, targets(3, 4, gone("b", 3)))
	must.Eq(t, []string{}, names(s, start))
	_, ok = s.Lookup("b")
	must.False(t, ok)
}

func TestUnreadableEntryMakesTargetUnavailable(t *testing.T) {
	s := sitestate.New()
	s.Apply(start, targets(0, 1, target("a", 0, ready(0))))
	s.Apply(start, targets(1, 2, target("a", 1, sitestate.Target{})))
	must.Eq(t, []string{}, names(s, start))
}

func TestOlderRecordsAreIgnored(t *testing.T) {
	s := sitestate.New()
	s.Apply(start, targets(0, 5, gone("a", 4)))
	changes := s.Apply(start, targets(0, 2, target("a", 1, ready(0))))
	must.False(t, changes.Any())
	must.Eq(t, []string{}, names(s, start))
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	s := sitestate.New()
	s.Apply(start, &sitestate.Update{Config: config(7, 9), End: sitestate.Positions{Operator: 10}})
	changes := s.Apply(start, &sitestate.Update{
		Config: config(5, 3), End: sitestate.Positions{Operator: 4}, WholeOperator: true,
	})
	must.False(t, changes.Config)
	must.Eq(t, 7, s.Table().Config.Version)
	changes = s.Apply(start, &sitestate.Update{Config: config(12, 11), End: sitestate.Positions{Operator: 12}})
	must.True(t, changes.Config)
	must.Eq(t, 12, s.Table().Config.Version)
}

// TestExpiryDuringLogOutage covers entries that expire while the log is
// unavailable: the targets must stay available until they had the time to write
// their entries again, or all targets of a site would be lost after an outage.
func TestExpiryDuringLogOutage(t *testing.T) {
	for _, c := range []struct {
		name   string
		outage time.Duration
		later  time.Duration
		want   int
	}{
		{"log was available", time.Second, 0, 0},
		{"log just available again", 6 * time.Second, 0, 1},
		{"within the grace period", 6 * time.Second, 1900 * time.Millisecond, 1},
		{"after the grace period", 6 * time.Second, 2100 * time.Millisecond, 0},
	} {
		s := sitestate.New()
		s.Apply(start, targets(0, 1, target("a", 0, ready(0))))
		back := start.Add(c.outage)
		s.Apply(back, targets(1, 2, gone("a", 1)))
		must.Len(t, c.want, names(s, back.Add(c.later)), must.Sprint(c.name))
	}
}

func TestTargetThatWritesItsEntryAgainStaysAvailable(t *testing.T) {
	s := sitestate.New()
	s.Apply(start, targets(0, 1, target("a", 0, ready(0))))
	back := start.Add(6 * time.Second)
	s.Apply(back, targets(1, 2, gone("a", 1)))
	s.Apply(back.Add(time.Second), targets(2, 3, target("a", 2, ready(0))))
	must.Eq(t, []string{"a"}, names(s, back.Add(time.Minute)))
}

func TestLeavingTargetGetsNoGracePeriod(t *testing.T) {
	s := sitestate.New()
	leaving := ready(0)
	leaving.Leaving = true
	s.Apply(start, targets(0, 1, target("a", 0, leaving)))
	back := start.Add(6 * time.Second)
	s.Apply(back, targets(1, 2, gone("a", 1)))
	must.Eq(t, []string{}, names(s, back))
}

func TestUndrainedDataCentreIsCold(t *testing.T) {
	s := sitestate.New()
	s.Apply(start, &sitestate.Update{Config: config(1, 0), End: sitestate.Positions{Operator: 1}})
	s.Apply(start, targets(0, 1, target("a", 0, ready(0))))
	mark := sitestate.Record[sitestate.Drain]{Key: "dc1", Offset: 1}
	s.Apply(start, &sitestate.Update{
		Drains: []sitestate.Record[sitestate.Drain]{mark},
		From:   sitestate.Positions{Operator: 1}, End: sitestate.Positions{Operator: 2},
	})
	must.Eq(t, []string{}, names(s, start))
	must.False(t, s.IsAvailable(start, "a"))
	mark.Offset, mark.Gone = 2, true
	s.Apply(start, &sitestate.Update{
		Drains: []sitestate.Record[sitestate.Drain]{mark},
		From:   sitestate.Positions{Operator: 2}, End: sitestate.Positions{Operator: 3},
	})
	back := s.Available(start, "svc")
	must.Len(t, 1, back)
	must.Eq(t, start.Add(3*time.Second), back[0].ColdUntil)
}

func TestColdTimeCountsFromRecord(t *testing.T) {
	s := sitestate.New()
	s.Apply(start, targets(0, 1, target("a", 0, ready(2*time.Second))))
	must.Eq(t, start.Add(2*time.Second), s.Available(start, "svc")[0].ColdUntil)
	changes := s.Apply(start.Add(time.Second), targets(1, 2, target("a", 1, ready(time.Second))))
	must.False(t, changes.Any(), must.Sprint("a heartbeat while cold is no change"))
	s.Apply(start.Add(3*time.Second), targets(2, 3, target("a", 2, ready(0))))
	must.True(t, s.Available(start, "svc")[0].ColdUntil.IsZero())
}

func TestGapKeepsPosition(t *testing.T) {
	s := sitestate.New()
	s.Apply(start, targets(0, 2, target("a", 1, ready(0))))
	s.Apply(start.Add(time.Second), targets(5, 8, target("b", 6, ready(0))))
	must.Eq(t, 2, s.Positions().Targets, must.Sprint("records 2 to 4 are missing"))
	must.Eq(t, []string{"a", "b"}, names(s, start))
	age, _ := s.Age(start.Add(time.Second))
	must.Eq(t, time.Second, age)
}

func TestFullListingDeletesMissingTargets(t *testing.T) {
	s := sitestate.New()
	s.Apply(start, targets(0, 2, target("a", 0, ready(0)), target("b", 1, ready(0))))
	whole := targets(0, 9, target("b", 8, ready(0)))
	whole.WholeTargets = true
	s.Apply(start, whole)
	must.Eq(t, []string{"b"}, names(s, start))
	stale := targets(0, 3, target("a", 0, ready(0)))
	stale.WholeTargets = true
	s.Apply(start, stale)
	must.Eq(t, []string{"b"}, names(s, start))
}

func TestConfirmFreshNeedsSamePositions(t *testing.T) {
	s := sitestate.New()
	s.Apply(start, targets(0, 2, target("a", 0, ready(0))))
	now := start.Add(5 * time.Second)
	s.ConfirmFresh(now, sitestate.Positions{Targets: 1}, 0)
	age, known := s.Age(now)
	must.True(t, known)
	must.Eq(t, 5*time.Second, age)
	s.ConfirmFresh(now, sitestate.Positions{Targets: 2}, 100*time.Millisecond)
	age, _ = s.Age(now)
	must.Eq(t, 100*time.Millisecond, age)
}

// TestRoutersConvergeInAnyOrder sends the records of a log to one router in
// ranges that repeat, overlap and arrive late, and to a second router through
// the first. Both must end with the newest records.
func TestRoutersConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var log []sitestate.Record[sitestate.Target]
		newest := make(map[string]bool)
		for i := range int64(rapid.IntRange(1, 40).Draw(t, "records")) {
			key := fmt.Sprintf("t%d", random.IntN(6))
			r := target(key, i, ready(0))
			r.Gone = random.IntN(3) == 0
			newest[key] = !r.Gone
			log = append(log, r)
		}
		a, b := sitestate.New(), sitestate.New()
		for range 60 {
			from := random.IntN(len(log))
			end := from + 1 + random.IntN(len(log)-from)
			a.Apply(start, targets(int64(from), int64(end), log[from:end]...))
			if random.IntN(2) == 0 {
				b.Apply(start, a.Since(start, b.Positions()))
			}
		}
		a.Apply(start, targets(0, int64(len(log)), log...))
		b.Apply(start, a.Since(start, b.Positions()))
		var want []string
		for i := range 6 {
			if key := fmt.Sprintf("t%d", i); newest[key] {
				want = append(want, key)
			}
		}
		must.SliceContainsAll(t, want, names(a, start))
		must.Eq(t, names(a, start), names(b, start))
		must.Eq(t, a.Positions(), b.Positions())
	})
}

// TestListingOfARestartedRouterTellsWhatIsGone lets a router that has just read the whole log bring
// another one up to date that has missed some of it. The listing lacks what was removed
// meanwhile, and what came and went.
func TestListingOfARestartedRouterTellsWhatIsGone(t *testing.T) {
	behind := sitestate.New()
	behind.Apply(start, &sitestate.Update{
		WholeOperator: true, WholeTargets: true, WholeVMs: true, End: sitestate.Positions{Operator: 2, Targets: 2, VMs: 1, Era: 1},
		Targets: []sitestate.Record[sitestate.Target]{target("a", 0, ready(0)), target("b", 1, ready(0))},
		Drains:  []sitestate.Record[sitestate.Drain]{{Key: "dc2", Offset: 1}},
	})
	restarted := sitestate.New()
	restarted.Apply(start, &sitestate.Update{
		WholeOperator: true, WholeTargets: true, WholeVMs: true, End: sitestate.Positions{Operator: 5, Targets: 9, VMs: 1, Era: 1},
		Targets: []sitestate.Record[sitestate.Target]{target("b", 1, ready(0)), target("c", 8, ready(0))},
		Config:  config(3, 4),
	})
	update := restarted.Since(start, behind.Positions())
	behind.Apply(start, update)
	must.Eq(t, []string{"b", "c"}, names(behind, start))
	must.False(t, behind.Drained(start, "dc2"), must.Sprint("taken back"))
	must.Eq(t, restarted.Positions(), behind.Positions())

	// What follows the listing is told as changes.
	late := targets(9, 10, gone("c", 9))
	late.From.Operator, late.End.Operator, late.From.VMs, late.End.VMs, late.From.Era, late.End.Era = 5, 5, 1, 1, 1, 1
	restarted.Apply(start, late)
	update = restarted.Since(start, behind.Positions())
	must.False(t, update.WholeTargets)
	must.Len(t, 1, update.Targets)
	behind.Apply(start, update)
	must.Eq(t, []string{"b"}, names(behind, start))
}
