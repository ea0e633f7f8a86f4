package app

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/standin/keyedlog"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// freezeClock is a clock whose process can be frozen: what is due goes on when it wakes.
type freezeClock struct {
	kernel.SystemClock
	mu    sync.Mutex
	awake chan struct{}
}

func (c *freezeClock) freeze() (wake func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	awake := make(chan struct{})
	c.awake = awake
	return func() { close(awake) }
}

func (c *freezeClock) await() {
	c.mu.Lock()
	awake := c.awake
	c.mu.Unlock()
	if awake != nil {
		<-awake
	}
}

func (c *freezeClock) Sleep(ctx context.Context, d time.Duration) error {
	err := c.SystemClock.Sleep(ctx, d)
	c.await()
	return err
}

func (c *freezeClock) AfterFunc(d time.Duration, f func()) func() bool {
	return c.SystemClock.AfterFunc(d, func() { c.await(); f() })
}

// mustHaveOneWriter checks that each term of the record has one writer, that terms rise, and that
// what has ended stays so.
func (b *rolloutBed) mustHaveOneWriter(service string) {
	b.t.Helper()
	type record struct {
		Term              int64
		Writer, Phase, To string
		Offset            int64
	}
	var last record
	for _, e := range b.store.History("keyed.zinniafork-rollouts", service) {
		var r record
		must.NoError(b.t, json.Unmarshal([]byte(e.Value), &r))
		must.GreaterEq(b.t, last.Term, r.Term)
		if r.Term == last.Term {
			must.Eq(b.t, last.Writer, r.Writer)
		}
		if r.Offset == last.Offset && (last.Phase == "done" || last.Phase == "rolled_back") {
			must.Eq(b.t, last.Phase, r.Phase)
		}
		last = r
	}
	states, _ := b.states(service)
	for i := 1; i < len(states); i++ {
		if states[i-1] != "running v2" {
			must.Eq(b.t, states[i-1], states[i])
		}
	}
}

// others returns the routers but one.
func others(name string) (out []string) {
	for _, other := range allRouters {
		if other != name {
			out = append(out, other)
		}
	}
	return out
}

// cutOff cuts a router off from the other ones, in both directions, or ends that.
func (b *rolloutBed) cutOff(cut kerneltest.Cut, name string, more ...string) {
	addresses := more
	for _, other := range others(name) {
		addresses = append(addresses, "10.0.0."+other+":7000")
		b.views[other].Partition(cut, "10.0.0."+name+":7000")
	}
	b.views[name].Partition(cut, addresses...)
}

// controllerFaults are what happens to the router that drives a roll-out. Each returns the routers
// that callers use then, and the end of the fault.
var controllerFaults = map[string]func(b *rolloutBed, name string) (routers []string, end func()){
	"dies": func(b *rolloutBed, name string) ([]string, func()) {
		b.stop(name)
		return others(name), func() { b.router(name) }
	},
	"is cut off from routers": func(b *rolloutBed, name string) ([]string, func()) {
		b.cutOff(kerneltest.CutHang, name)
		return allRouters, func() { b.cutOff(kerneltest.CutNone, name) }
	},
	"freezes and wakes": func(b *rolloutBed, name string) ([]string, func()) {
		wake := b.clocks[name].freeze()
		b.cutOff(kerneltest.CutHang, name, storeAddress)
		return others(name), func() {
			b.cutOff(kerneltest.CutNone, name)
			wake()
		}
	},
}

// TestControllerIsReplaced lets the router that drives a roll-out fail in the canary and return. A
// good version must be done and a bad one rolled back all the same, and only one router may write.
func TestControllerIsReplaced(t *testing.T) {
	for name, fault := range controllerFaults {
		for _, bad := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				onRollout(t, func(_ *testing.T, b *rolloutBed) {
					b.start("plain", "v2", "p4", "p5", "p6")
					if bad {
						b.bad(workerd.Badness{Share: 0.1, From: time.Now().Add(6 * time.Second)}, "p4", "p5", "p6")
					}
					b.order("plain", "v2", 60*time.Second)
					b.traffic(5*time.Second, 100, plainRoutes, allRouters...)
					routers, end := fault(b, b.controller("plain"))
					b.traffic(12*time.Second, 100, plainRoutes, routers...)
					end()
					b.traffic(45*time.Second, 100, plainRoutes, allRouters...)
					if bad {
						b.mustBeRolledBack("plain", "v2")
					} else {
						b.mustBeDone("plain", "v2")
					}
					b.mustHaveOneWriter("plain")
				})
			})
		}
	}
}

// TestRolloutWhileTheStoreIsAway lets the store fail in the canary, for a good and a bad version.
func TestRolloutWhileTheStoreIsAway(t *testing.T) {
	for _, bad := range []bool{false, true} {
		onRollout(t, func(_ *testing.T, b *rolloutBed) {
			b.start("plain", "v2", "p4", "p5", "p6")
			if bad {
				b.bad(workerd.Badness{Share: 0.3, From: time.Now().Add(6 * time.Second)}, "p4", "p5", "p6")
			}
			b.order("plain", "v2", 50*time.Second)
			b.traffic(5*time.Second, 100, plainRoutes, allRouters...)
			b.store.Set(keyedlog.Faults{Status: 503})
			b.traffic(12*time.Second, 100, plainRoutes, allRouters...)
			b.store.Set(keyedlog.Faults{LoseAnswers: true})
			b.traffic(time.Second, 100, plainRoutes, allRouters...)
			b.store.Set(keyedlog.Faults{})
			b.traffic(35*time.Second, 100, plainRoutes, allRouters...)
			if bad {
				b.mustBeRolledBack("plain", "v2")
			} else {
				b.mustBeDone("plain", "v2")
			}
			b.mustHaveOneWriter("plain")
		})
	}
}

// TestRolloutOutlivesARestoredStore lets the store return from a copy that was taken before the
// order or in the canary. What routers know must be written again.
func TestRolloutOutlivesARestoredStore(t *testing.T) {
	for name, at := range map[string][2]time.Duration{
		"copy before the order":       {0, 8 * time.Second},
		"copy in the canary":          {4 * time.Second, 8 * time.Second},
		"copy in the canary, at done": {4 * time.Second, 38 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			onRollout(t, func(t *testing.T, b *rolloutBed) {
				b.start("plain", "v2", "p4", "p5", "p6")
				if at[0] == 0 {
					b.store.Copy()
				}
				b.order("plain", "v2", 40*time.Second)
				b.traffic(max(at[0], time.Second), 60, plainRoutes, allRouters...)
				if at[0] > 0 {
					b.store.Copy()
				}
				b.traffic(at[1]-max(at[0], time.Second), 60, plainRoutes, allRouters...)
				b.store.Restore()
				for id := range b.workers {
					b.entry(id, map[byte]string{'p': "plain", 'e': "llm"}[id[0]], false)
				}
				b.traffic(44*time.Second-at[1], 60, plainRoutes, allRouters...)
				state, _ := b.last("plain")
				must.Eq(t, "done v2", state)
				e := b.exposed("plain", "v2")
				must.Greater(t, 0, e.new)
			})
		})
	}
}

// TestEdgesOfOrders gives orders of which no good version comes.
func TestEdgesOfOrders(t *testing.T) {
	play := func(name, want string, f func(b *rolloutBed)) {
		t.Run(name, func(t *testing.T) {
			onRollout(t, func(t *testing.T, b *rolloutBed) {
				f(b)
				state, at := b.last("plain")
				must.Eq(t, want, state)
				must.True(t, !at.After(b.deadline))
				must.Eq(t, 200, b.call("1", "status").status)
			})
		})
	}
	play("no targets", "rolled_back v2", func(b *rolloutBed) {
		b.order("plain", "v2", 15*time.Second)
		b.traffic(16*time.Second, 40, plainRoutes, allRouters...)
	})
	for _, d := range []time.Duration{0, -5 * time.Second} {
		play("no time "+d.String(), "rolled_back v2", func(b *rolloutBed) {
			b.start("plain", "v2", "p4", "p5")
			b.order("plain", "v2", d)
			b.deadline = time.Now().Add(5 * time.Second)
			b.traffic(6*time.Second, 40, plainRoutes, allRouters...)
			must.LessEq(b.t, 50, b.exposed("plain", "v2").new)
		})
	}
	play("withdrawn", "rolled_back v2", func(b *rolloutBed) {
		b.start("plain", "v2", "p4", "p5")
		b.order("plain", "v2", 40*time.Second)
		b.traffic(5*time.Second, 40, plainRoutes, allRouters...)
		b.store.Withdraw("plain")
		b.traffic(5*time.Second, 40, plainRoutes, allRouters...)
		must.Less(b.t, time.Now().Add(-3*time.Second).UnixNano(), b.exposed("plain", "v2").last.UnixNano())
	})
	play("another order", "done v3", func(b *rolloutBed) {
		b.start("plain", "v2", "p4", "p5")
		b.start("plain", "v3", "p7", "p8")
		b.order("plain", "v2", 40*time.Second)
		b.traffic(5*time.Second, 40, plainRoutes, allRouters...)
		b.order("plain", "v3", 25*time.Second)
		b.traffic(27*time.Second, 40, plainRoutes, allRouters...)
		states, _ := b.states("plain")
		must.Eq(b.t, []string{"running v2", "rolled_back v2", "running v3", "done v3"}, states)
		must.True(b.t, b.exposed("plain", "v2").last.Before(b.ordered.Add(3*time.Second)))
	})
	play("malformed", "done v2", func(b *rolloutBed) {
		b.start("plain", "v2", "p4", "p5")
		b.order("plain", "v2", 25*time.Second)
		b.traffic(5*time.Second, 40, plainRoutes, allRouters...)
		for _, value := range []string{"{", `{"Service":"plain","To":7}`, `{"Service":"plain","To":"v3"}`, `{"Service":"other","To":"v3","DurationS":9}`} {
			b.store.Put("keyed.op", "rollout/plain", []byte(value))
			b.traffic(time.Second, 40, plainRoutes, allRouters...)
		}
		b.traffic(20*time.Second, 40, plainRoutes, allRouters...)
	})
	play("store away at the order", "done v2", func(b *rolloutBed) {
		b.start("plain", "v2", "p4", "p5")
		b.store.Set(keyedlog.Faults{Status: 503})
		b.order("plain", "v2", 30*time.Second)
		b.traffic(8*time.Second, 40, plainRoutes, allRouters...)
		b.store.Set(keyedlog.Faults{})
		b.traffic(30*time.Second, 40, plainRoutes, allRouters...)
		b.deadline = b.deadline.Add(8 * time.Second) // it counts from when the order can be read
	})
}

// TestRouterOfAnEarlierReleaseDoesNotHoldUpARollout lets one router know nothing of roll-outs.
func TestRouterOfAnEarlierReleaseDoesNotHoldUpARollout(t *testing.T) {
	for _, unaware := range allRouters {
		onRollout(t, func(_ *testing.T, b *rolloutBed) {
			b.stop(unaware)
			b.extra = ""
			b.router(unaware)
			b.wait(4 * time.Second)
			b.start("plain", "v2", "p4", "p5", "p6")
			b.order("plain", "v2", 30*time.Second)
			b.traffic(32*time.Second, 60, plainRoutes, others(unaware)...)
			b.mustBeDone("plain", "v2")
		})
	}
}
