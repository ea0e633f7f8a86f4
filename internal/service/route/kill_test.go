package route_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/servicetest"
)

// TestRoutersKilledInTurn kills two routers, one after the other, in a site that
// has just started, with and without removing them from the VM list. Chats that
// arrive at the other routers must still be served, and no engine may run more
// requests than it has slots while targets change owners.
func TestRoutersKilledInTurn(t *testing.T) {
	for _, listed := range []bool{true, false} {
		runSite(t, 6, func(ctx context.Context, t *testing.T, s *site) {
			var wg sync.WaitGroup
			var results []result
			from := time.Now()
			wg.Go(func() { results = s.load(ctx, 500, 30*time.Millisecond, "a") })
			for _, killed := range []fleet.VM{"dc1b", "dc2a"} {
				time.Sleep(2 * time.Second)
				s.kill(killed)
				if !listed {
					s.unlist(killed)
				}
				time.Sleep(3 * time.Second)
			}
			wg.Wait()
			for name := range s.engines {
				must.LessEq(t, engineSlots, s.mostRunning(name, from))
			}
			must.Greater(t, 470, s.served(results))
		})
	}
}

// unlist removes a router from the VM list.
func (s *site) unlist(removed fleet.VM) {
	var listed []fleet.VM
	for _, vm := range s.names {
		if _, down := s.down.Load(vm); vm != removed && !down {
			listed = append(listed, vm)
		}
	}
	s.list.Set(servicetest.Rows(listed...), nil)
}
