package route_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

func TestChatReturnsToItsTarget(t *testing.T) {
	runSite(t, 4, func(ctx context.Context, t *testing.T, s *site) {
		first := s.chat(ctx, "dc1a", "a", "chat-1")
		must.True(t, first.whole)
		for _, vm := range s.names {
			again := s.chat(ctx, vm, "a", "chat-1")
			must.True(t, again.whole)
			must.Eq(t, first.target, again.target, must.Sprintf("by way of %s", vm))
		}
	})
}

func TestSpilledChatIsFoundAgain(t *testing.T) {
	runSite(t, 4, func(ctx context.Context, t *testing.T, s *site) {
		home := s.chat(ctx, "dc1a", "a", "chat-1").target
		// All slots of the chat's target are taken by others.
		s.load(ctx, 30, time.Millisecond, "busy")
		moved := s.chat(ctx, "dc2a", "a", "chat-2")
		must.True(t, moved.whole)
		must.Eq(t, moved.target, s.chat(ctx, "dc1b", "a", "chat-2").target)
		must.Eq(t, home, s.chat(ctx, "dc2c", "a", "chat-1").target)
	})
}

func TestLoadStaysWithinSlotsAndIsServed(t *testing.T) {
	runSite(t, 4, func(ctx context.Context, t *testing.T, s *site) {
		from := time.Now()
		results := s.load(ctx, 150, 40*time.Millisecond, "a")
		must.Eq(t, len(results), s.served(results))
		for name := range s.engines {
			must.LessEq(t, engineSlots, s.mostRunning(name, from))
			must.Greater(t, 10, s.startedAfter(name, from), must.Sprint("work spreads"))
		}
	})
}

func TestOverloadIsRefusedTrulyAndSoon(t *testing.T) {
	runSite(t, 2, func(ctx context.Context, t *testing.T, s *site) {
		results := s.load(ctx, 120, 5*time.Millisecond, "a")
		refused := 0
		for _, r := range results {
			if r.err == nil {
				continue
			}
			refused++
			must.Eq(t, call.CodeOverloaded, r.err.Code)
			must.Eq(t, call.RunNot, r.err.Run)
			must.Greater(t, 0, r.err.RetryAfter)
			must.LessEq(t, 2*s.rules.Load.QueueWait.Std(), r.took)
		}
		must.Greater(t, 10, refused)
		must.Greater(t, 2*engineSlots, s.served(results))
		runs := 0
		for _, e := range s.engines {
			runs += len(e.Runs())
		}
		must.Eq(t, s.served(results), runs, must.Sprint("what was refused did not run"))
	})
}

func TestOwnerKilled(t *testing.T) {
	runSite(t, 4, func(ctx context.Context, t *testing.T, s *site) {
		dead := s.ownerOf("engine-0")
		var wg sync.WaitGroup
		var results []result
		from := time.Now()
		wg.Go(func() { results = s.load(ctx, 200, 50*time.Millisecond, "a") })
		time.Sleep(2 * time.Second)
		s.kill(dead)
		recovered := time.Now().Add(4 * time.Second)
		time.Sleep(5 * time.Second)
		must.NotEq(t, "", s.ownerOf("engine-0"))
		must.NotEq(t, dead, s.ownerOf("engine-0"))
		wg.Wait()
		for name := range s.engines {
			must.LessEq(t, engineSlots, s.mostRunning(name, from))
		}
		must.Greater(t, 0, s.startedAfter("engine-0", recovered))
		// What the dead router had in its hands is lost to its callers; all
		// others are served.
		must.Greater(t, 170, s.served(results))
	})
}

func TestSilentTurnToCold(t *testing.T) {
	runSite(t, 4, func(ctx context.Context, t *testing.T, s *site) {
		var wg sync.WaitGroup
		var results []result
		wg.Go(func() { results = s.load(ctx, 300, 25*time.Millisecond, "a") })
		time.Sleep(3 * time.Second)
		s.engines["engine-1"].TurnCold()
		noticed := time.Now().Add(2 * time.Second)
		wg.Wait()
		for _, r := range s.engines["engine-1"].Runs() {
			if r.Started.After(noticed) {
				must.LessEq(t, r.Limit, r.Running, must.Sprint("no more than the cold engine bears"))
			}
		}
		must.Greater(t, 280, s.served(results))
	})
}

func TestDrainedDataCentreGetsNoNewWork(t *testing.T) {
	runSite(t, 4, func(ctx context.Context, t *testing.T, s *site) {
		var wg sync.WaitGroup
		var results []result
		wg.Go(func() { results = s.load(ctx, 160, 50*time.Millisecond, "a") })
		time.Sleep(3 * time.Second)
		drained := *s.rules
		drained.DataCentres = append(drained.DataCentres[:0:0], drained.DataCentres...)
		drained.DataCentres[0].Mark = fleet.MarkDrain
		s.rules = &drained
		s.publish()
		inForce := time.Now()
		wg.Wait()
		must.Eq(t, len(results), s.served(results), must.Sprint("running work ends whole and new work goes elsewhere"))
		for _, name := range []fleet.Target{"engine-0", "engine-2"} {
			must.Eq(t, 0, s.startedAfter(name, inForce.Add(2*time.Second)))
		}
	})
}

func TestRefusedConnectionMovesWork(t *testing.T) {
	runSite(t, 3, func(ctx context.Context, t *testing.T, s *site) {
		rules := *s.rules
		rules.Targets = append(rules.Targets[:0:0], rules.Targets...)
		rules.Targets[0].URL = "http://nobody:80"
		s.rules = &rules
		s.publish()
		results := s.load(ctx, 40, 50*time.Millisecond, "a")
		for _, r := range results {
			must.NotEq(t, "engine-0", r.target)
			if r.err != nil {
				// Until engine-0 counts as out, it is idle and holds the bound down.
				must.Eq(t, call.CodeOverloaded, r.err.Code, must.Sprint(r.err))
			}
		}
		must.GreaterEq(t, 38, s.served(results))
	})
}

// TestSurgeLeavesOthersTheirShare lets one account send far more than the
// engines bear, and another a little.
func TestSurgeLeavesOthersTheirShare(t *testing.T) {
	runSite(t, 2, func(ctx context.Context, t *testing.T, s *site) {
		var wg sync.WaitGroup
		var surge, quiet []result
		wg.Go(func() { surge = s.load(ctx, 400, 10*time.Millisecond, "surging") })
		wg.Go(func() {
			time.Sleep(500 * time.Millisecond)
			for i := range 20 {
				time.Sleep(150 * time.Millisecond)
				vm := s.alive(i)
				quiet = append(quiet, s.chat(ctx, vm, "quiet", fmt.Sprint("q", i)))
			}
		})
		wg.Wait()
		must.Less(t, 400, s.served(surge))
		must.Eq(t, len(quiet), s.served(quiet))
	})
}

func TestNobodyServesTheModel(t *testing.T) {
	runSite(t, 1, func(ctx context.Context, t *testing.T, s *site) {
		req := &call.Request{Kind: call.KindChat, Model: "other", Deadline: time.Now().Add(time.Second)}
		err := call.AsError(s.routers["dc1a"].Run(ctx, req, &answer{}))
		must.Eq(t, call.CodeNoTarget, err.Code)
		must.Eq(t, call.RunNot, err.Run)
	})
}
