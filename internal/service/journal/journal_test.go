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

func TestOrderRunsOnceByAnyRouter(t *testing.T) {
	inSite(t, func(s *site) {
		key := s.key()
		first := s.submit(s.other(key), request(key, "2 plates"))
		s.ran(first, key)
		must.False(t, first.repeated)
		for vm := range s.routers {
			again := s.submit(vm, request(key, "2 plates"))
			s.ran(again, key)
			must.Eq(t, 201, again.status)
			must.True(t, again.repeated)
		}
	}, threeRouters...)
}

func TestSameMomentSameKey(t *testing.T) {
	inSite(t, func(s *site) {
		key := s.key()
		var wg sync.WaitGroup
		for vm := range s.routers {
			for range 5 {
				wg.Go(func() { s.ran(s.submit(vm, request(key, "2 plates")), key) })
			}
		}
		wg.Wait()
	}, threeRouters...)
}

func TestKeyOfAnotherOrder(t *testing.T) {
	inSite(t, func(s *site) {
		key := s.key()
		vm := s.other(key)
		s.ran(s.submit(vm, request(key, "2 plates")), key)
		s.failed(s.submit(vm, request(key, "3 plates")), call.RunNot, call.CodeKeyReused)
		stranger := request(key, "2 plates")
		stranger.Account = "other shop"
		s.failed(s.submit(vm, stranger), call.RunNot, call.CodeKeyReused)
		must.Eq(t, 1, s.worker.ran(key))
	}, threeRouters...)
}

func TestBadKeys(t *testing.T) {
	inSite(t, func(s *site) {
		s.failed(s.submit("dc1a", request("", "x")), call.RunNot, call.CodeKeyRequired)
		s.failed(s.submit("dc1a", request("order-1", "x")), call.RunNot, call.CodeBadRequest)
		old := s.key()
		time.Sleep(s.config.Orders.Window.Std() + time.Minute)
		s.failed(s.submit("dc1a", request(old, "x")), call.RunUnknown, call.CodeKeyExpired)
		must.Eq(t, 0, s.worker.ran(old))
	}, threeRouters...)
}

func TestOutcomesOfDispatch(t *testing.T) {
	inSite(t, func(s *site) {
		key := s.key()
		vm := s.other(key)
		s.worker.will(refused)
		s.failed(s.submit(vm, request(key, "x")), call.RunNot, call.CodeUnavailable)
		time.Sleep(time.Second)
		s.ran(s.submit(vm, request(key, "x")), key)

		for _, what := range []outcome{lostAnswer, lostOrder} {
			key = s.key()
			s.worker.will(what)
			s.failed(s.submit(vm, request(key, "x")), call.RunUnknown, call.CodeUnavailable)
			for vm := range s.routers {
				s.failed(s.submit(vm, request(key, "x")), call.RunUnknown, call.CodeUnknownOutcome)
			}
			must.LessEq(t, 1, s.worker.ran(key))
		}
	}, threeRouters...)
}

func TestAppendFaults(t *testing.T) {
	for name, fault := range map[string]logtest.Fault{"lost answer": logtest.Lose, "vanished": logtest.Vanish, "late": logtest.Late} {
		t.Run(name, func(t *testing.T) {
			inSite(t, func(s *site) {
				key := s.key()
				s.routers[s.ownerOf(key)].link.Fail(fault, fault)
				s.ran(s.submit(s.other(key), request(key, "x")), key)
				time.Sleep(2 * logtest.LateDelay)
				s.ran(s.submit(s.other(key), request(key, "x")), key)
			}, threeRouters...)
		})
	}
}

func TestOwnerDies(t *testing.T) {
	for name, at := range map[string]time.Duration{"before the intent": time.Millisecond, "while it runs": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			inSite(t, func(s *site) {
				key := s.key()
				own, vm := s.ownerOf(key), s.other(key)
				done := make(chan *answer, 1)
				go func() { done <- s.submit(vm, request(key, "x")) }()
				time.Sleep(at)
				s.kill(own)
				a := <-done
				must.LessEq(t, 1, s.worker.ran(key))
				if a.err != nil {
					must.Eq(t, call.RunUnknown, a.err.Run)
				}
				time.Sleep(20 * time.Second)
				s.submit(vm, request(key, "x"))
				must.LessEq(t, 1, s.worker.ran(key))
				fresh := s.key()
				s.ran(s.submit(vm, request(fresh, "x")), fresh)
			}, "dc1a", "dc1b", "dc2a", "dc2b", "dc3a")
		})
	}
}

func TestStatusAndSettle(t *testing.T) {
	inSite(t, func(s *site) {
		key := s.key()
		vm := s.other(key)
		api := s.routers[vm].orders
		before, err := api.Status(s.ctx, "shop", key)
		must.NoError(t, err)
		must.Eq(t, call.RunNot, before.Run)

		s.worker.will(lostOrder)
		s.failed(s.submit(vm, request(key, "x")), call.RunUnknown, call.CodeUnavailable)
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
		s.failed(s.submit(vm, request(key, "x")), call.RunNot, call.CodeUnknownOutcome)
		must.Eq(t, 0, s.worker.ran(key))
	}, threeRouters...)
}

func TestCallerGoesAway(t *testing.T) {
	inSite(t, func(s *site) {
		key := s.key()
		vm := s.other(key)
		ctx, cancel := context.WithCancel(s.ctx)
		time.AfterFunc(10*time.Millisecond, cancel)
		err := s.routers[vm].orders.Submit(ctx, request(key, "x"), &answer{})
		must.Eq(t, call.RunUnknown, call.AsError(err).Run)
		time.Sleep(time.Second)
		s.ran(s.submit(vm, request(key, "x")), key)
	}, threeRouters...)
}

func TestLargeAnswerIsNotRecorded(t *testing.T) {
	inSite(t, func(s *site) {
		key := s.key()
		vm := s.other(key)
		req := request(key, "x")
		req.Body = []byte(strings.Repeat("x", 1<<10))
		s.ran(s.submit(vm, req), key)
		for _, r := range s.log.Records("orders-gent-0") {
			must.Less(t, 1<<10, len(r.Data))
		}
	}, threeRouters...)
}
