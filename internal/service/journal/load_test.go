package journal_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// loadTime is how long a load lasts.
const loadTime = 3 * time.Second

// TestOrderLoad sends orders at three rates and reports what they cost. The
// log answers after 2 ms, a worker after 20 ms, in the bubble's own time, so
// the figures are the same in every run. The append budget is the default.
func TestOrderLoad(t *testing.T) {
	five := []fleet.VM{"dc1a", "dc1b", "dc2a", "dc2b", "dc3a"}
	for _, rate := range []int{10, 100, 1000} {
		inSite(t, func(s *site) {
			appends, bytes := s.log.Appends()
			begin := time.Now()
			added := s.sendOrders(rate, five)
			took := time.Since(begin).Seconds()
			time.Sleep(time.Second) // the last outcomes are recorded
			appendsNow, bytesNow := s.log.Appends()
			perSecond := float64(appendsNow-appends) / took
			n := float64(len(added))
			t.Logf("%4d orders/s: %.1f appends/s, %.0f bytes/s, %.2f appends and %.0f bytes an order; added latency p50 %s, p99 %s, max %s",
				rate, perSecond, float64(bytesNow-bytes)/took, float64(appendsNow-appends)/n, float64(bytesNow-bytes)/n,
				added[len(added)/2], added[len(added)*99/100], added[len(added)-1])
			must.LessEq(t, 1.1*float64(s.config.Orders.AppendsPerSecond), perSecond)
		}, five...)
	}
}

// sendOrders sends orders at a rate by way of all routers and returns, sorted,
// the time of each beyond that of the worker.
func (s *site) sendOrders(rate int, vms []fleet.VM) []time.Duration {
	var (
		mu    sync.Mutex
		added []time.Duration
		wg    sync.WaitGroup
	)
	for i := range rate * int(loadTime/time.Second) {
		key := s.key()
		vm := vms[i%len(vms)]
		wg.Go(func() {
			begin := time.Now()
			s.ran(s.submit(vm, request(key, "x")), key)
			mu.Lock()
			defer mu.Unlock()
			added = append(added, time.Since(begin)-s.worker.time)
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	wg.Wait()
	slices.Sort(added)
	return added
}

// TestTakeover kills owners one after the other and reports how long orders
// for their partitions wait.
func TestTakeover(t *testing.T) {
	five := []fleet.VM{"dc1a", "dc1b", "dc2a", "dc2b", "dc3a"}
	inSite(t, func(s *site) {
		var longest time.Duration
		for range 4 {
			key := s.key()
			own, vm := s.ownerOf(key), s.other(key)
			s.kill(own)
			begin := time.Now()
			req := request(key, "x")
			req.Deadline = begin.Add(30 * time.Second)
			s.ran(s.submit(vm, req), key)
			took := time.Since(begin)
			longest = max(longest, took)
			t.Logf("the next owner answered after %s", took)
			s.hub.Isolate(own, false)
			s.start(own)
			time.Sleep(settleTime)
		}
		t.Logf("longest takeover: %s", longest)
		must.Less(t, 10*time.Second, longest)
	}, five...)
}

// TestTicketsThroughALongOutage counts the orders that live routers serve by
// tickets while the log is away, and requires that all are recorded after it.
func TestTicketsThroughALongOutage(t *testing.T) {
	five := []fleet.VM{"dc1a", "dc1b", "dc2a", "dc2b", "dc3a"}
	inSite(t, func(s *site) {
		s.setDown(true)
		const wanted = 600
		served := 0
		var keys []string
		for i := range wanted {
			vm := five[i%len(five)]
			key := s.ticket(vm)
			keys = append(keys, key)
			if a := s.submit(five[i%3], request(key, "x")); a.err == nil && a.whole {
				served++
			}
			time.Sleep(time.Second)
		}
		t.Logf("%d of %d orders served in an outage of 10 minutes", served, wanted)
		must.GreaterEq(t, 0.99*wanted, float64(served))
		s.setDown(false)
		time.Sleep(30 * time.Second)
		for _, key := range keys {
			must.LessEq(t, 1, s.worker.ran(key))
			o, err := s.routers[five[0]].orders.Status(s.ctx, "shop", key)
			must.NoError(t, err)
			must.Eq(t, call.RunDone, o.Run)
		}
	}, five...)
}
