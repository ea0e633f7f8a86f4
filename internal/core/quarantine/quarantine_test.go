package quarantine_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/quarantine"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// playRecord plays the load of a recorded day: two requests a second with a part that
// crashes engines, among sound ones with the same first part, at 8 routers and 9 engines.
func playRecord(seed uint64, disabled bool) *fleetSim {
	f := newFleet(seed, 8, 9)
	f.disabled = disabled
	for n := range int(60 * time.Second / simTick) {
		f.tick(n)
		f.send(1, uint64(100+f.rng.IntN(20)))
		if n%10 == 0 && n > 200 {
			f.send(1, badPart, uint64(100+f.rng.IntN(20)), uint64(1000+n))
		}
	}
	return f
}

func TestRecordedCrashesEndInQuarantine(t *testing.T) {
	for seed := range uint64(20) {
		must.Greater(t, 20, playRecord(seed, true).lateSends(), must.Sprint("without the quarantine"))
		f := playRecord(seed, false)
		must.LessEq(t, 3, f.lateSends(), must.Sprintf("seed %d, %d crashes", seed, len(f.crashes)))
		must.SliceEmpty(t, f.soundRefused, must.Sprintf("seed %d", seed))
	}
}

// TestFleetAgreesDespiteLostReports plays fleets whose digests are late, lost and
// repeated, with engines that also crash by themselves. The part that crashes engines is
// quarantined in time, and the first part that all requests share never is. Another
// sound part may be near three crashes before it is served anywhere; that must stay rare.
func TestFleetAgreesDespiteLostReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		familiar := rapid.Bool().Draw(t, "the part was sound before")
		// With fewer engines, or more such requests, all engines may be down before it shows
		// what they have in common, as in an outage. That takes a request or two more.
		fewest := 6
		if familiar {
			fewest = 8
		}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 12).Draw(t, "routers"), rapid.IntRange(fewest, 20).Draw(t, "engines"))
		f.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		f.maxDelay = time.Duration(rapid.IntRange(50, 450).Draw(t, "delay")) * time.Millisecond
		badEvery := rapid.IntRange(8, 40).Draw(t, "ticks between requests with the part")
		crashEvery := rapid.IntRange(40, 400).Draw(t, "ticks between other crashes")
		for n := range int(40 * time.Second / simTick) {
			f.tick(n)
			f.send(1, uint64(100+f.rng.IntN(30)), uint64(200+f.rng.IntN(30)))
			if n%crashEvery == 0 {
				f.crash(f.rng.IntN(len(f.engines)))
			}
			switch {
			case n < 100 && familiar && n%10 == 0:
				for _, r := range f.routers {
					r.Served(f.now, []uint64{badPart}, quarantine.Engine{}, f.now)
				}
			case n > 150 && n%badEvery == 0:
				f.send(1, badPart, uint64(200+f.rng.IntN(30)))
			}
		}
		must.LessEq(t, 3, f.lateSends(), must.Sprintf("%d crashes", len(f.crashes)))
		must.LessEq(t, f.soundServed/10, len(f.soundRefused), must.Sprintf("%d served", f.soundServed))
		for _, r := range f.routers {
			must.False(t, r.Isolates([]uint64{1}))
			_, refused := r.Refuses(f.now, []uint64{1}, func(uint64) bool { return false })
			must.False(t, refused, must.Sprint("the first part"))
		}
	})
}

// playRequest plays one request that crashes three targets of a plain service again and
// again, among sound ones that all differ. Requests are sent to two targets at most.
func playRequest(seed uint64, routers, targets, badEvery int) *fleetSim {
	f := newFleet(seed, routers, targets)
	f.attempts, f.crashesAllowed, f.contents = 2, 3, true
	for n := range int(60 * time.Second / simTick) {
		f.tick(n)
		f.send(uint64(10_000 + n))
		if n%badEvery == 0 && n > 200 {
			f.send(badPart)
		}
	}
	return f
}

// TestRequestIsQuarantinedBesideFewTargets plays a request that ends all targets of its
// service each time they are back, which looks much like an outage.
func TestRequestIsQuarantinedBesideFewTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers, targets := rapid.IntRange(1, 12).Draw(t, "routers"), rapid.IntRange(2, 6).Draw(t, "targets")
		f := playRequest(rapid.Uint64().Draw(t, "seed"), routers, targets, rapid.IntRange(4, 40).Draw(t, "ticks between bad requests"))
		must.LessEq(t, 3, f.lateSends(), must.Sprintf("%d crashes", len(f.crashes)))
		must.LessEq(t, f.soundServed/50, len(f.soundRefused), must.Sprintf("%d served", f.soundServed))
	})
}

// TestContentCountsByItself checks what differs for the content of requests: crashes at
// the same moment count each, and what else breaks off is no outage of it.
func TestContentCountsByItself(t *testing.T) {
	crash := func(q *quarantine.Tracker, seconds float64, engine int, content uint64) {
		q.Crashed(at(seconds), quarantine.Crash{Engine: quarantine.Engine{Target: fleet.Ref(engine)}, Content: content})
	}
	q := quarantine.New()
	for i := range 3 {
		crash(q, 1+float64(i)/100, i, 8)
		crash(q, 1+float64(i)/100, i, 7)
	}
	must.True(t, refuses(q, 2, 7))
	must.False(t, refuses(q, 2, 9), must.Sprint("another request"))
	crash(q, 3, 3, 9)
	crash(q, 3, 4, 9)
	must.True(t, q.Isolates([]uint64{9}))
	q.Served(at(4), []uint64{9}, quarantine.Engine{Target: 5}, at(3.5))
	must.False(t, q.Isolates([]uint64{9}))

	q = quarantine.New()
	q.Served(at(0), []uint64{7}, quarantine.Engine{Target: 9}, at(0))
	for i := range 8 {
		crash(q, 10+float64(i), i, 7)
	}
	must.False(t, refuses(q, 20, 7), must.Sprint("familiar, while nothing is served"))
}

var start = time.Unix(1_700_000_000, 0)

// at returns a time so many seconds after the start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// crashes notes crashes of engines 1 to n with these parts, a second apart from the
// given time on.
func crashes(t *quarantine.Tracker, from float64, n int, parts ...uint64) {
	for i := range n {
		t.Crashed(at(from+float64(i)), quarantine.Crash{Engine: quarantine.Engine{Target: fleet.Ref(from*100) + fleet.Ref(i)}, Parts: parts})
	}
}

func refuses(t *quarantine.Tracker, seconds float64, parts ...uint64) bool {
	_, refused := t.Refuses(at(seconds), parts, func(uint64) bool { return true })
	return refused
}

func TestServicesAndCrashesOfAPart(t *testing.T) {
	served := func(q *quarantine.Tracker, seconds float64, parts ...uint64) {
		q.Served(at(seconds), parts, quarantine.Engine{Target: 9999}, at(seconds))
	}
	for name, c := range map[string]struct {
		play  func(q *quarantine.Tracker)
		parts []uint64
		want  bool
	}{
		"two crashes":       {func(q *quarantine.Tracker) { crashes(q, 1, 2, 7) }, []uint64{7}, false},
		"three crashes":     {func(q *quarantine.Tracker) { crashes(q, 1, 3, 7) }, []uint64{5, 7, 6}, true},
		"another part":      {func(q *quarantine.Tracker) { crashes(q, 1, 3, 7) }, []uint64{5, 6}, false},
		"served in between": {func(q *quarantine.Tracker) { crashes(q, 1, 2, 7); served(q, 3.5, 7); crashes(q, 6, 2, 7) }, []uint64{7}, false},
		"familiar, three crashes": {func(q *quarantine.Tracker) {
			served(q, 1, 7)
			crashes(q, 10, 2, 7)
			served(q, 12, 8)
			crashes(q, 13, 1, 7)
		}, []uint64{7}, false},
		"familiar, four crashes": {func(q *quarantine.Tracker) {
			served(q, 1, 7)
			crashes(q, 10, 3, 7)
			served(q, 13, 8)
			crashes(q, 14, 1, 7)
		}, []uint64{7}, true},
		"familiar, while nothing is served":  {func(q *quarantine.Tracker) { served(q, 1, 7); crashes(q, 10, 4, 7) }, []uint64{7}, false},
		"familiar elsewhere, three crashes":  {func(q *quarantine.Tracker) { crashes(q, 1, 1, 7); q.FamiliarElsewhere(7); crashes(q, 10, 2, 7) }, []uint64{7}, false},
		"served after the decision":          {func(q *quarantine.Tracker) { crashes(q, 1, 3, 7); served(q, 5, 7) }, []uint64{7}, false},
		"served elsewhere":                   {func(q *quarantine.Tracker) { crashes(q, 1, 3, 7); q.ServedElsewhere(at(5), 7) }, []uint64{7}, false},
		"quarantined elsewhere":              {func(q *quarantine.Tracker) { q.QuarantinedElsewhere(at(5), 7) }, []uint64{7}, true},
		"served just before that":            {func(q *quarantine.Tracker) { served(q, 4, 7); q.QuarantinedElsewhere(at(5), 7) }, []uint64{7}, false},
		"the part in common is to blame":     {func(q *quarantine.Tracker) { crashes(q, 1, 1, 5, 7); crashes(q, 3, 1, 7, 6); crashes(q, 5, 1, 7, 5) }, []uint64{5, 6}, false},
		"of two parts the last is to blame":  {func(q *quarantine.Tracker) { crashes(q, 1, 3, 5, 7) }, []uint64{5}, false},
		"that was wrong":                     {func(q *quarantine.Tracker) { crashes(q, 1, 3, 5, 7); crashes(q, 8, 1, 5) }, []uint64{5}, true},
		"and the other one is cleared":       {func(q *quarantine.Tracker) { crashes(q, 1, 3, 5, 7); crashes(q, 8, 1, 5) }, []uint64{7}, false},
		"crashes long ago":                   {func(q *quarantine.Tracker) { crashes(q, 1, 2, 7); q.Expire(at(700)); crashes(q, 701, 1, 7) }, []uint64{7}, false},
		"no request for long":                {func(q *quarantine.Tracker) { crashes(q, 1, 3, 7); q.Expire(at(604)) }, []uint64{7}, false},
		"a request comes now and then":       {func(q *quarantine.Tracker) { crashes(q, 1, 3, 7); refuses(q, 500, 7); q.Expire(at(604)) }, []uint64{7}, true},
		"too many other suspected parts":     {func(q *quarantine.Tracker) { crashes(q, 1, 3, 7); flood(q) }, []uint64{7}, true},
		"more parts than count in a request": {func(q *quarantine.Tracker) { crashes(q, 1, 3, append([]uint64{7}, make([]uint64, 16)...)...) }, []uint64{7}, false},
	} {
		q := quarantine.New()
		c.play(q)
		_, refused := q.Refuses(at(605), c.parts, func(uint64) bool { return false })
		must.Eq(t, c.want, refused, must.Sprint(name))
	}
}

// flood notes a crash against each of many parts.
func flood(q *quarantine.Tracker) {
	for part := range uint64(3000) {
		q.Crashed(at(10), quarantine.Crash{Engine: quarantine.Engine{Target: 5}, Parts: []uint64{1000 + part}})
	}
}

// TestConnectionsThatBreakTogetherCountOnce plays a network that fails, and an engine
// that closes connections while it serves others.
func TestConnectionsThatBreakTogetherCountOnce(t *testing.T) {
	q := quarantine.New()
	for i := range 5 {
		q.Crashed(at(1+float64(i)/100), quarantine.Crash{Engine: quarantine.Engine{Target: fleet.Ref(i)}, Parts: []uint64{7}})
	}
	must.False(t, refuses(q, 2, 7))
	q = quarantine.New()
	for i := range 5 {
		e := quarantine.Engine{Target: fleet.Ref(i)}
		q.Crashed(at(float64(i)), quarantine.Crash{Engine: e, Parts: []uint64{7}})
		q.Served(at(float64(i)+0.5), []uint64{8}, e, at(float64(i)+0.2))
	}
	must.False(t, refuses(q, 5, 7))
}

func TestRequestThatMayCrashMoreEnginesIsIsolated(t *testing.T) {
	q := quarantine.New()
	crashes(q, 1, 1, 7)
	must.False(t, q.Isolates([]uint64{5, 7}))
	crashes(q, 2, 1, 7)
	must.True(t, q.Isolates([]uint64{5, 7}))
	must.False(t, q.Isolates([]uint64{5}))
	q.FamiliarElsewhere(7)
	must.False(t, q.Isolates([]uint64{7}))
}

// TestProbesBecomeRarer checks that a part in quarantine is probed after ten minutes and
// then each time after twice as long, and that only the router that may do so does.
func TestProbesBecomeRarer(t *testing.T) {
	q := quarantine.New()
	crashes(q, 1, 3, 7)
	var passed []float64
	for s := 4.0; s < 6000; s++ {
		_, refused := q.Refuses(at(s), []uint64{7}, func(uint64) bool { return false })
		must.True(t, refused)
		if !refuses(q, s, 7) {
			passed = append(passed, s)
		}
	}
	must.Eq(t, []float64{603, 603 + 1200, 603 + 3600}, passed)
}

// TestNoticesBringRoutersTogether checks what a router answers to a report that shows
// that the other one lacks something.
func TestNoticesBringRoutersTogether(t *testing.T) {
	q := quarantine.New()
	crash := quarantine.Crash{Engine: quarantine.Engine{Target: 1, Born: 2}, Parts: []uint64{7}}
	crashes(q, 1, 3, 7)
	must.Eq(t, []uint64{7}, q.Snapshot().Quarantined)
	must.Len(t, 3, q.TakeNotices().Crashes)
	_, news := q.CrashedElsewhere(at(5), crash)
	must.False(t, news)
	must.Eq(t, quarantine.Notices{Quarantined: []uint64{7}}, q.TakeNotices(), must.Sprint("the quarantine"))
	q.Served(at(6), []uint64{7}, crash.Engine, at(6))
	must.Eq(t, quarantine.Notices{Cleared: []uint64{7}}, q.TakeNotices(), must.Sprint("that it is cleared"))
	q.CrashedElsewhere(at(7), crash)
	must.Eq(t, quarantine.Notices{Cleared: []uint64{7}}, q.TakeNotices(), must.Sprint("a response shortly before"))
	_, news = q.CrashedElsewhere(at(20), crash)
	must.True(t, news)
	must.Eq(t, quarantine.Notices{Familiar: []uint64{7}}, q.TakeNotices(), must.Sprint("a response some time before"))
	_, news = q.CrashedElsewhere(at(21), crash)
	must.False(t, news)
	must.Eq(t, []quarantine.Change{{Part: 9, State: quarantine.Quarantined}}, q.Restore(at(30), []uint64{9, 9}))
	must.Eq(t, quarantine.Notices{Quarantined: []uint64{9}}, q.TakeNotices(), must.Sprint("what the log keeps"))
	must.Eq(t, []quarantine.Change{{Part: 9, Released: true}}, q.ServedElsewhere(at(31), 9))
}

// TestOutageQuarantinesNothing plays engines that break off all requests for half a
// minute, seen by the router that sends them and by one that is told.
func TestOutageQuarantinesNothing(t *testing.T) {
	q, other := quarantine.New(), quarantine.New()
	engine := func(i int) quarantine.Engine { return quarantine.Engine{Target: fleet.Ref(i % 9)} }
	for i := range 100 {
		q.Served(at(float64(i)/10), []uint64{1, uint64(10 + i%4)}, engine(i), at(float64(i)/10))
	}
	for i := range 100 {
		parts := []uint64{1, uint64(10 + i%8)} // half of them were never served
		s := 10 + 0.3*float64(i)
		must.False(t, refuses(q, s, parts...), must.Sprint(parts))
		q.Crashed(at(s), quarantine.Crash{Engine: engine(i), Parts: parts})
		for _, c := range q.TakeNotices().Crashes {
			other.CrashedElsewhere(at(s), c)
		}
	}
	q.Served(at(41), []uint64{1}, engine(1), at(40.5))
	q.Crashed(at(41.5), quarantine.Crash{Engine: engine(2), Parts: []uint64{1, 17}})
	for part := range uint64(20) {
		must.False(t, refuses(q, 42, part), must.Sprint(part))
		must.False(t, refuses(other, 42, part), must.Sprint(part))
	}
}

// TestRouterThatMissedAQuarantineLearnsOfIt cuts a router off from another one while that one
// quarantines a part. Once they reach each other again, it must know of the part before it
// counts as in touch, while requests with the part come to the other one only.
func TestRouterThatMissedAQuarantineLearnsOfIt(t *testing.T) {
	const inTouch = 3.0
	for _, healed := range []float64{5, 6.5, 9, 14, 31} {
		q, missed := quarantine.New(), quarantine.New()
		crashes(q, 1, 3, 7)
		q.TakeNotices()
		known := 0.0
		for s := 5.0; s < healed+inTouch && known == 0; s += 0.25 {
			refuses(q, s, 7)
			n := q.TakeNotices()
			if s < healed {
				continue
			}
			for _, part := range n.Quarantined {
				missed.QuarantinedElsewhere(at(s), part)
				known = s
			}
		}
		must.Positive(t, known, must.Sprintf("reached again at %.1f s", healed))
	}
}
