package app

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

const rolloutSettings = "[features]\ncontracts = [\"rollout\"]\n"

// rolloutBed is a site whose plain service is to move from v1 to v2.
type rolloutBed struct {
	*siteBed
	// ordered is the time of the last order, deadline that by which it must have ended.
	ordered, deadline time.Time
	calls             sync.WaitGroup
}

func onRollout(t *testing.T, f func(*testing.T, *rolloutBed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &rolloutBed{siteBed: startSiteWith(t, rolloutSettings)}
		b.start("plain", "v1", "p1", "p2", "p3")
		f(t, b)
		b.calls.Wait()
	})
}

// start starts workers of a version.
func (b *rolloutBed) start(service, version string, ids ...string) {
	for _, id := range ids {
		b.versions[id] = version
		opt := workerd.Options{Slots: 64, Work: 30 * time.Millisecond, Version: version}
		if service == "llm" {
			opt.Events, opt.Work, opt.Gap = 6, 20*time.Millisecond, 100*time.Millisecond
		}
		if _, ok := b.workers[id]; ok {
			b.restartWorker(id, service, opt)
		} else {
			b.worker(id, service, opt)
		}
	}
	b.wait(time.Second)
}

// bad makes workers bad.
func (b *rolloutBed) bad(bad workerd.Badness, ids ...string) {
	for i, id := range ids {
		bad.Seed = uint64(i + 1)
		b.workers[id].SetBad(bad)
	}
}

// order orders a roll-out.
func (b *rolloutBed) order(service, to string, d time.Duration) {
	b.store.Order(service, to, d.Seconds())
	b.ordered, b.deadline = time.Now(), time.Now().Add(d)
}

// traffic sends requests on some routes for a time, in turn to some routers.
func (b *rolloutBed) traffic(d time.Duration, perSecond int, routes []string, routers ...string) {
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		b.calls.Go(func() { b.call(routers[i%len(routers)], routes[i/len(routers)%len(routes)]) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	synctest.Wait()
}

var (
	allRouters  = []string{"1", "2", "3"}
	plainRoutes = []string{"status", "order"}
)

// states returns the states of a service that were written, and when.
func (b *rolloutBed) states(service string) (out []string, at []time.Time) {
	for _, e := range b.store.History("keyed.status", "rollout/"+service) {
		var v struct{ State, To string }
		must.NoError(b.t, json.Unmarshal([]byte(e.Value), &v))
		out, at = append(out, v.State+" "+v.To), append(at, e.At)
	}
	return out, at
}

// last returns the last state and when it was written first in a row.
func (b *rolloutBed) last(service string) (state string, at time.Time) {
	states, times := b.states(service)
	for i := range states {
		if states[i] != state {
			state, at = states[i], times[i]
		}
	}
	return state, at
}

// exposure is what a version got between the order and its deadline.
type exposure struct {
	all, new, bad int
	// fiftieth is the time at which the 50th bad response ended, last that of the last request.
	fiftieth, last time.Time
}

func (b *rolloutBed) exposed(service, version string) (e exposure) {
	prefix := map[string]string{"plain": "p", "llm": "e"}[service]
	var bad []time.Time
	for id, w := range b.workers {
		if id[:1] != prefix {
			continue
		}
		for _, r := range w.Runs() {
			if r.At.Before(b.ordered) {
				continue
			}
			if r.At.Before(b.deadline) {
				e.all++
			}
			if r.Version != version {
				continue
			}
			if r.At.Before(b.deadline) {
				e.new++
			}
			if r.At.After(e.last) {
				e.last = r.At
			}
			if r.Bad {
				bad = append(bad, r.Ended)
			}
		}
	}
	e.bad = len(bad)
	if e.bad >= 50 {
		sortTimes(bad)
		e.fiftieth = bad[49]
	}
	return e
}

func sortTimes(times []time.Time) {
	for i := range times {
		for j := i; j > 0 && times[j].Before(times[j-1]); j-- {
			times[j], times[j-1] = times[j-1], times[j]
		}
	}
}

// mustBeRolledBack checks that a bad version was rolled back in time and within the bounds.
func (b *rolloutBed) mustBeRolledBack(service, to string) {
	b.t.Helper()
	state, at := b.last(service)
	e := b.exposed(service, to)
	b.t.Logf("%s after %v, exposed %d of %d, bad %d", state, at.Sub(b.ordered), e.new, e.all, e.bad)
	records := b.store.History("keyed.zinniafork-rollouts", service)
	b.t.Log(records[len(records)-1].Value)
	must.Eq(b.t, "rolled_back "+to, state)
	must.True(b.t, at.Before(b.deadline))
	must.LessEq(b.t, 0.1*float64(e.all)+50, float64(e.new))
	if !e.fiftieth.IsZero() {
		must.LessEq(b.t, 5*time.Second, e.last.Sub(e.fiftieth))
	}
}

// mustBeDone checks that a good version is done in time, and that nothing was on its way to the old
// targets at that moment.
func (b *rolloutBed) mustBeDone(service, to string) {
	b.t.Helper()
	state, at := b.last(service)
	must.Eq(b.t, "done "+to, state)
	b.t.Logf("done after %v", at.Sub(b.ordered))
	must.True(b.t, at.Before(b.deadline))
	for id, w := range b.workers {
		for _, r := range w.Runs() {
			if r.Version != "" && r.Version != to && b.ofService(id, service) {
				must.False(b.t, r.At.Before(at) && r.Ended.After(at), must.Sprintf("%s ran %s at %v", id, r.Request, at))
				must.False(b.t, r.At.After(at), must.Sprintf("%s got %s after done", id, r.Request))
			}
		}
	}
}

func (b *rolloutBed) ofService(id, service string) bool {
	return id[:1] == map[string]string{"plain": "p", "llm": "e"}[service]
}

// TestGoodVersionIsDone moves a plain service and one of streams to a good version.
func TestGoodVersionIsDone(t *testing.T) {
	for service, routes := range map[string][]string{"plain": plainRoutes, "llm": {"chat", "draft"}} {
		t.Run(service, func(t *testing.T) {
			onRollout(t, func(t *testing.T, b *rolloutBed) {
				ids := []string{"p4", "p5", "p6"}
				if service == "llm" {
					b.start("llm", "v1", "e1", "e2", "e3")
					ids = []string{"e4", "e5", "e6"}
				}
				b.start(service, "v2", ids...)
				b.order(service, "v2", 30*time.Second)
				b.traffic(32*time.Second, 60, routes, allRouters...)
				b.mustBeDone(service, "v2")
				states, _ := b.states(service)
				must.Eq(t, []string{"running v2", "done v2"}, states)
			})
		})
	}
}

// TestBadVersionIsRolledBack moves a service to versions that are bad in different ways.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, bad := range map[string]workerd.Badness{
		"fails":            {Share: 0.1},
		"slow":             {Share: 1, Slowness: 2},
		"slow at times":    {Share: 0.3, Slowness: 4},
		"fails on a route": {Share: 0.3, Route: "order"},
		"fails under load": {Share: 0.5, Above: 1},
	} {
		t.Run(name, func(t *testing.T) {
			onRollout(t, func(_ *testing.T, b *rolloutBed) {
				b.start("plain", "v2", "p4", "p5", "p6")
				b.bad(bad, "p4", "p5", "p6")
				b.order("plain", "v2", 40*time.Second)
				b.traffic(42*time.Second, 120, plainRoutes, allRouters...)
				b.mustBeRolledBack("plain", "v2")
			})
		})
	}
	t.Run("later", func(t *testing.T) {
		onRollout(t, func(_ *testing.T, b *rolloutBed) {
			b.start("plain", "v2", "p4", "p5", "p6")
			b.bad(workerd.Badness{Share: 0.3, From: time.Now().Add(20 * time.Second)}, "p4", "p5", "p6")
			b.order("plain", "v2", 40*time.Second)
			b.traffic(42*time.Second, 120, plainRoutes, allRouters...)
			b.mustBeRolledBack("plain", "v2")
		})
	})
}

// controller returns the router that has written the last record of a service.
func (b *rolloutBed) controller(service string) string {
	records := b.store.History("keyed.zinniafork-rollouts", service)
	must.SliceNotEmpty(b.t, records)
	var v struct{ Writer string }
	must.NoError(b.t, json.Unmarshal([]byte(records[len(records)-1].Value), &v))
	var name string
	_, err := fmt.Sscanf(v.Writer, "10.0.0.%1s:7000", &name)
	must.NoError(b.t, err)
	return name
}

// TestStreamsOfTheNewVersionAreTakenUp kills a router in the canary, whose callers take their streams
// up at the others. A stream of the new version needs a grant for that; at least half as many must
// go on as of new streams begin, and none at another version.
func TestStreamsOfTheNewVersionAreTakenUp(t *testing.T) {
	onRollout(t, func(t *testing.T, b *rolloutBed) {
		b.start("llm", "v1", "e1", "e2", "e3")
		b.start("llm", "v2", "e4", "e5", "e6")
		b.order("llm", "v2", 60*time.Second)
		b.traffic(10*time.Second, 30, []string{"draft"}, allRouters...)
		fromNew, whole := 0, 0
		for range 8 {
			b.traffic(3*time.Second, 20, []string{"draft"}, "2", "3")
			b.wait(time.Second)
			streams := b.beginAt(10, "1")
			atNew := make(map[string]bool)
			for _, id := range []string{"e4", "e5", "e6"} {
				for _, r := range b.workers[id].Runs() {
					atNew[r.Request] = true
				}
			}
			b.stop("1")
			for _, one := range streams {
				if atNew[one.id] {
					fromNew++
					whole += b.takeUp([]openStream{one}, "2", "3")
				}
			}
			must.SliceEmpty(t, b.joined())
			b.router("1")
			b.wait(4 * time.Second)

		}
		t.Logf("%d of %d streams of the new version went on", whole, fromNew)
		must.Greater(t, 0, fromNew)
		must.GreaterEq(t, (fromNew+1)/2, whole)
	})
}

// TestRolloutOfAQueuedService rolls out versions of a service whose requests wait for slots.
func TestRolloutOfAQueuedService(t *testing.T) {
	for _, bad := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := &rolloutBed{siteBed: startSiteWith(t, "[features]\ncontracts = [\"rollout\", \"pressure\"]\n")}
			b.start("plain", "v1", "p1", "p2", "p3")
			b.start("plain", "v2", "p4", "p5", "p6")
			if bad {
				b.bad(workerd.Badness{Share: 0.2, From: time.Now().Add(5 * time.Second)}, "p4", "p5", "p6")
			}
			b.order("plain", "v2", 30*time.Second)
			b.traffic(32*time.Second, 200, plainRoutes, allRouters...)
			if bad {
				b.mustBeRolledBack("plain", "v2")
			} else {
				b.mustBeDone("plain", "v2")
			}
			b.calls.Wait()
		})
	}
}
