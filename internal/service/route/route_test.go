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

// TestChatReturnsToItsTarget requires that a chat reaches the same target through
// every router.
func TestChatReturnsToItsTarget(t *testing.T) {
	runSite(t, 4, func(ctx context.Context, t *testing.T, s *site) {
		first := s.chat(ctx, "dc1a", "a", "chat-1")
		must.True(t, first.complete)
		for _, vm := range s.names {
			repeated := s.chat(ctx, vm, "a", "chat-1")
			must.True(t, repeated.complete)
			must.Eq(t, first.target, repeated.target, must.Sprintf("through %s", vm))
		}
	})
}

// TestRedirectedChatKeepsItsTarget requires that a chat that was redirected to
// another target, because its first target was full, returns to that other target
// through every router.
func TestRedirectedChatKeepsItsTarget(t *testing.T) {
	runSite(t, 4, func(ctx context.Context, t *testing.T, s *site) {
		first := s.chat(ctx, "dc1a", "a", "chat-1").target
		// Chats of another account take all slots of the chat's target.
		s.load(ctx, 30, time.Millisecond, "busy")
		redirected := s.chat(ctx, "dc2a", "a", "chat-2")
		must.True(t, redirected.complete)
		must.Eq(t, redirected.target, s.chat(ctx, "dc1b", "a", "chat-2").target)
		must.Eq(t, first, s.chat(ctx, "dc2c", "a", "chat-1").target)
	})
}

// TestLoadStaysWithinSlotsAndIsServed requires that a load within the capacity of
// the site is served completely, spreads over all engines, and exceeds the slots of
// none.
func TestLoadStaysWithinSlotsAndIsServed(t *testing.T) {
	runSite(t, 4, func(ctx context.Context, t *testing.T, s *site) {
		from := time.Now()
		results := s.load(ctx, 150, 40*time.Millisecond, "a")
		must.Eq(t, len(results), s.served(results))
		for name := range s.engines {
			must.LessEq(t, engineSlots, s.mostRunning(name, from))
			must.Greater(t, 10, s.startedAfter(name, from), must.Sprint("requests are spread over all engines"))
		}
	})
}

// TestOverloadRefusedInTime requires that excess requests are refused as not run,
// with a time to retry after and within twice the queue wait, and that no refused
// request ran at an engine.
func TestOverloadRefusedInTime(t *testing.T) {
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
		must.Eq(t, s.served(results), runs, must.Sprint("refused requests did not run"))
	})
}

// TestOwnerKilled kills the owner of a target under load. The target must get a new
// owner and new requests within 5 s, and no engine may exceed its slots.
func TestOwnerKilled(t *testing.T) {
	runSite(t, 4, func(ctx context.Context, t *testing.T, s *site) {
		killed := s.ownerOf("engine-0")
		var wg sync.WaitGroup
		var results []result
		from := time.Now()
		wg.Go(func() { results = s.load(ctx, 200, 50*time.Millisecond, "a") })
		time.Sleep(2 * time.Second)
		s.kill(killed)
		recovered := time.Now().Add(4 * time.Second)
		time.Sleep(5 * time.Second)
		must.NotEq(t, "", s.ownerOf("engine-0"))
		must.NotEq(t, killed, s.ownerOf("engine-0"))
		wg.Wait()
		for name := range s.engines {
			must.LessEq(t, engineSlots, s.mostRunning(name, from))
		}
		must.Greater(t, 0, s.startedAfter("engine-0", recovered))
		// Only the requests in flight at the killed router may fail.
		must.Greater(t, 170, s.served(results))
	})
}

// TestTargetTurnsColdUnannounced lets an engine turn cold without telling anyone.
// Its owner must notice within 2 s and send no more requests than a cold engine can
// run.
func TestTargetTurnsColdUnannounced(t *testing.T) {
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
				must.LessEq(t, r.Limit, r.Running, must.Sprint("no more than the limit of the cold engine"))
			}
		}
		must.Greater(t, 280, s.served(results))
	})
}

// TestDrainedDataCentreGetsNoNewRequests drains a data centre under load. Running
// requests must end normally, and new ones must go to the other data centre.
func TestDrainedDataCentreGetsNoNewRequests(t *testing.T) {
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
		published := time.Now()
		wg.Wait()
		must.Eq(t, len(results), s.served(results), must.Sprint("running requests end normally and new ones go to other targets"))
		for _, name := range []fleet.Target{"engine-0", "engine-2"} {
			must.Eq(t, 0, s.startedAfter(name, published.Add(2*time.Second)))
		}
	})
}

// TestRefusedConnectionMovesRequests gives a target an address that refuses
// connections. Its requests must be served by the other targets.
func TestRefusedConnectionMovesRequests(t *testing.T) {
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
				// Until engine-0 is out of service, it counts as idle and lowers the mean
				// load, and with it the load limit of the others.
				must.Eq(t, call.CodeOverloaded, r.err.Code, must.Sprint(r.err))
			}
		}
		must.GreaterEq(t, 38, s.served(results))
	})
}

// TestAccountSurgeLeavesOthersTheirShare lets one account send far more requests
// than the engines can run. All requests of another account with little load must
// be served.
func TestAccountSurgeLeavesOthersTheirShare(t *testing.T) {
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

// TestNoTargetForModel requires that a request for a model without a target fails
// as not run.
func TestNoTargetForModel(t *testing.T) {
	runSite(t, 1, func(ctx context.Context, t *testing.T, s *site) {
		req := &call.Request{Kind: call.KindChat, Model: "other", Deadline: time.Now().Add(time.Second)}
		err := call.AsError(s.routers["dc1a"].Run(ctx, req, &response{}))
		must.Eq(t, call.CodeNoTarget, err.Code)
		must.Eq(t, call.RunNot, err.Run)
	})
}
