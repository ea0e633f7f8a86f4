package journal_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
)

// TestStatusAtLostRouterIsNotCalledNotRun asks for an order that has run while the router that
// knows it can't be reached. That router's absence says nothing of the order.
func TestStatusAtLostRouterIsNotCalledNotRun(t *testing.T) {
	runSite(t, func(s *site) {
		key := s.newKey()
		other := s.nonOwner(key)
		s.requireRan(s.submit(other, request(key, "x")), key)
		time.Sleep(time.Second) // the outcome gets into the log
		s.kill(s.ownerOf(key))
		unreachable := 0
		for range 200 {
			order, err := s.routers[other].orders.Status(s.ctx, "shop", key)
			if err == nil {
				must.Eq(t, call.RunDone, order.Run)
				break
			}
			unreachable++
			e := call.AsError(err)
			must.Eq(t, call.RunUnknown, e.Run, must.Sprint(e))
			must.NotEq(t, "", e.StatusLink, must.Sprint(e))
			time.Sleep(100 * time.Millisecond)
		}
		must.Between(t, 1, unreachable, 199)
	}, threeRouters...)
}

// TestTicketOfLostRouterIsNotCalledNotRun is the same for a ticket, whose router alone knows
// whether it has sent the order while the log is unavailable.
func TestTicketOfLostRouterIsNotCalledNotRun(t *testing.T) {
	runSite(t, func(s *site) {
		key := s.ticket("dc1b")
		s.setLogDown(true)
		time.Sleep(5 * time.Second)
		s.requireRan(s.submit("dc1a", request(key, "x")), key)
		s.kill("dc1b")
		for range 100 {
			for _, r := range s.routers {
				_, err := r.orders.Status(s.ctx, "shop", key)
				must.Error(t, err)
				must.Eq(t, call.RunUnknown, call.AsError(err).Run, must.Sprint(err))
			}
			time.Sleep(100 * time.Millisecond)
		}
		for vm := range s.routers {
			resp := s.submit(vm, request(key, "x"))
			must.NotNil(t, resp.err)
			must.Eq(t, call.RunUnknown, resp.err.Run, must.Sprint(resp.err))
		}
		must.Eq(t, 1, s.worker.runCount(key))
	}, threeRouters...)
}
