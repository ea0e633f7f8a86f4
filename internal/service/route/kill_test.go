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

// TestEachRouterKilled kills one router after another in a site that has just
// started, and lists it no more, while work flows by way of the others.
func TestEachRouterKilled(t *testing.T) {
	for _, listed := range []bool{true, false} {
		runSite(t, 6, func(ctx context.Context, t *testing.T, s *site) {
			var wg sync.WaitGroup
			var results []result
			from := time.Now()
			wg.Go(func() { results = s.load(ctx, 500, 30*time.Millisecond, "a") })
			for _, dead := range []fleet.VM{"dc1b", "dc2a"} {
				time.Sleep(2 * time.Second)
				s.kill(dead)
				if !listed {
					s.unlist(dead)
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

// unlist takes a router off the VM list.
func (s *site) unlist(gone fleet.VM) {
	var left []fleet.VM
	for _, vm := range s.names {
		if _, down := s.down.Load(vm); vm != gone && !down {
			left = append(left, vm)
		}
	}
	s.list.Set(servicetest.Rows(left...), nil)
}
