package journal_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/platform/logstream/logtest"
	"github.com/zinniafork/zinniafork/internal/service/journal"
)

var threeRouters = []fleet.VM{"dc1a", "dc1b", "dc2a"}

// A retry of a key gets the recorded response at every router.
func TestOrderRunsOnceAtAnyRouter(t *testing.T) {
	runSite(t, func(s *site) {
		key := s.newKey()
		first := s.submit(s.nonOwner(key), request(key, "2 plates"))
		s.requireRan(first, key)
		must.False(t, first.replayed)
		for vm := range s.routers {
			again := s.submit(vm, request(key, "2 plates"))
			s.requireRan(again, key)
			must.Eq(t, 201, again.status)
			must.True(t, again.replayed)
		}
	}, threeRouters...)
}

// Concurrent submissions of one key at all routers run the order once.
func TestConcurrentSubmitsOfOneKey(t *testing.T) {
	runSite(t, func(s *site) {
		key := s.newKey()
		var wg sync.WaitGroup
		for vm := range s.routers {
			for range 5 {
				wg.Go(func() { s.requireRan(s.submit(vm, request(key, "2 plates")), key) })
			}
		}
		wg.Wait()
	}, threeRouters...)
}

// A key with another body or from another account is refused without a run.
func TestKeyReusedForAnotherOrder(t *testing.T) {
	runSite(t, func(s *site) {
		key := s.newKey()
		vm := s.nonOwner(key)
		s.requireRan(s.submit(vm, request(key, "2 plates")), key)
		s.requireFailed(s.submit(vm, request(key, "3 plates")), call.RunNot, call.CodeKeyReused)
		stranger := request(key, "2 plates")
		stranger.Account = "other shop"
		s.requireFailed(s.submit(vm, stranger), call.RunNot, call.CodeKeyReused)
		must.Eq(t, 1, s.worker.runCount(key))
	}, threeRouters...)
}

// An order without a key, with an invalid key or with an expired key does not
// run.
func TestInvalidAndExpiredKeys(t *testing.T) {
	runSite(t, func(s *site) {
		s.requireFailed(s.submit("dc1a", request("", "x")), call.RunNot, call.CodeKeyRequired)
		s.requireFailed(s.submit("dc1a", request("order-1", "x")), call.RunNot, call.CodeBadRequest)
		old := s.newKey()
		time.Sleep(s.config.Orders.Window.Std() + time.Minute)
		s.requireFailed(s.submit("dc1a", request(old, "x")), call.RunUnknown, call.CodeKeyExpired)
		must.Eq(t, 0, s.worker.runCount(old))
	}, threeRouters...)
}

// An order that was not sent can be retried. After a lost response its outcome
// stays unknown at every router and it is not sent again.
func TestDispatchFailures(t *testing.T) {
	runSite(t, func(s *site) {
		key := s.newKey()
		vm := s.nonOwner(key)
		s.worker.failNext(notSent)
		s.requireFailed(s.submit(vm, request(key, "x")), call.RunNot, call.CodeUnavailable)
		time.Sleep(time.Second)
		s.requireRan(s.submit(vm, request(key, "x")), key)

		for _, f := range []fault{lostResponse, lostOrder} {
			key = s.newKey()
			s.worker.failNext(f)
			s.requireFailed(s.submit(vm, request(key, "x")), call.RunUnknown, call.CodeUnavailable)
			for vm := range s.routers {
				s.requireFailed(s.submit(vm, request(key, "x")), call.RunUnknown, call.CodeUnknownOutcome)
			}
			must.LessEq(t, 1, s.worker.runCount(key))
		}
	}, threeRouters...)
}

// A lost response of the log, an append that vanishes and one that arrives
// late do not make an order run twice.
func TestAppendFaults(t *testing.T) {
	for name, fault := range map[string]logtest.Fault{"lost response": logtest.Lose, "vanished": logtest.Vanish, "late": logtest.Late} {
		t.Run(name, func(t *testing.T) {
			runSite(t, func(s *site) {
				key := s.newKey()
				s.routers[s.ownerOf(key)].link.Fail(fault, fault)
				s.requireRan(s.submit(s.nonOwner(key), request(key, "x")), key)
				time.Sleep(2 * logtest.LateDelay)
				s.requireRan(s.submit(s.nonOwner(key), request(key, "x")), key)
			}, threeRouters...)
		})
	}
}

// When the owner crashes during an order, the order runs at most once, and the
// partition's next owner serves new orders.
func TestOwnerCrash(t *testing.T) {
	for name, at := range map[string]time.Duration{"before the intent": time.Millisecond, "while it runs": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			runSite(t, func(s *site) {
				key := s.newKey()
				owner, vm := s.ownerOf(key), s.nonOwner(key)
				done := make(chan *response, 1)
				go func() { done <- s.submit(vm, request(key, "x")) }()
				time.Sleep(at)
				s.kill(owner)
				resp := <-done
				must.LessEq(t, 1, s.worker.runCount(key))
				if resp.err != nil {
					must.Eq(t, call.RunUnknown, resp.err.Run)
				}
				time.Sleep(20 * time.Second)
				s.submit(vm, request(key, "x"))
				must.LessEq(t, 1, s.worker.runCount(key))
				other := s.newKey()
				s.requireRan(s.submit(vm, request(other, "x")), other)
			}, "dc1a", "dc1b", "dc2a", "dc2b", "dc3a")
		})
	}
}

// The status shows whether an order ran, and only to its account. An operator
// settles an unknown outcome once, and no later submission runs the order.
func TestStatusAndSettle(t *testing.T) {
	runSite(t, func(s *site) {
		key := s.newKey()
		vm := s.nonOwner(key)
		api := s.routers[vm].orders
		before, err := api.Status(s.ctx, "shop", key)
		must.NoError(t, err)
		must.Eq(t, call.RunNot, before.Run)

		s.worker.failNext(lostOrder)
		s.requireFailed(s.submit(vm, request(key, "x")), call.RunUnknown, call.CodeUnavailable)
		unknown, err := api.Status(s.ctx, "shop", key)
		must.NoError(t, err)
		must.Eq(t, call.RunUnknown, unknown.Run)
		_, err = api.Status(s.ctx, "other shop", key)
		must.Eq(t, call.CodeNotFound, call.AsError(err).Code)

		time.Sleep(time.Second)
		listed, err := api.List(s.ctx, journal.Filter{UnknownOnly: true})
		must.NoError(t, err)
		must.Len(t, 1, listed)
		must.Eq(t, key, listed[0].Key)

		must.NoError(t, api.Settle(s.ctx, key, call.RunNot, "ann"))
		must.Error(t, api.Settle(s.ctx, key, call.RunDone, "bob"))
		settled, err := api.Status(s.ctx, "shop", key)
		must.NoError(t, err)
		must.Eq(t, "ann", settled.SettledBy)
		must.Eq(t, call.RunNot, settled.Run)
		s.requireFailed(s.submit(vm, request(key, "x")), call.RunNot, call.CodeUnknownOutcome)
		must.Eq(t, 0, s.worker.runCount(key))
	}, threeRouters...)
}

// An order whose caller leaves still runs, and a retry gets its response.
func TestCallerDisconnects(t *testing.T) {
	runSite(t, func(s *site) {
		key := s.newKey()
		vm := s.nonOwner(key)
		ctx, cancel := context.WithCancel(s.ctx)
		time.AfterFunc(10*time.Millisecond, cancel)
		err := s.routers[vm].orders.Submit(ctx, request(key, "x"), &response{})
		must.Eq(t, call.RunUnknown, call.AsError(err).Run)
		time.Sleep(time.Second)
		s.requireRan(s.submit(vm, request(key, "x")), key)
	}, threeRouters...)
}

// Records hold the response of an order, but not the body of its request.
func TestRequestBodyIsNotRecorded(t *testing.T) {
	runSite(t, func(s *site) {
		key := s.newKey()
		vm := s.nonOwner(key)
		req := request(key, "x")
		req.Body = []byte(strings.Repeat("x", 1<<10))
		s.requireRan(s.submit(vm, req), key)
		for _, r := range s.log.Records("orders-gent-0") {
			must.Less(t, 1<<10, len(r.Data))
		}
	}, threeRouters...)
}
