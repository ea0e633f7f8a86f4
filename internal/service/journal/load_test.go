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

// loadDuration is how long orders are sent at one rate.
const loadDuration = 3 * time.Second

// TestOrderLoad sends orders at three rates, reports what they cost and
// requires that the appends stay within the default budget. In the bubble's
// time the log responds after 2 ms and a worker after 20 ms, so the figures
// are the same in every run.
func TestOrderLoad(t *testing.T) {
	five := []fleet.VM{"dc1a", "dc1b", "dc2a", "dc2b", "dc3a"}
	for _, rate := range []int{10, 100, 1000} {
		runSite(t, func(s *site) {
			appends, bytes := s.log.Appends()
			start := time.Now()
			added := s.sendOrders(rate, five)
			took := time.Since(start).Seconds()
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

// sendOrders sends orders at a rate to all routers in turn. It returns,
// sorted, the latency of each order without the run time of the worker.
func (s *site) sendOrders(rate int, vms []fleet.VM) []time.Duration {
	var (
		mu    sync.Mutex
		added []time.Duration
		wg    sync.WaitGroup
	)
	for i := range rate * int(loadDuration/time.Second) {
		key := s.newKey()
		vm := vms[i%len(vms)]
		wg.Go(func() {
			start := time.Now()
			s.requireRan(s.submit(vm, request(key, "x")), key)
			mu.Lock()
			defer mu.Unlock()
			added = append(added, time.Since(start)-s.worker.runTime)
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	wg.Wait()
	slices.Sort(added)
	return added
}

// TestTakeover crashes four owners one after the other and reports how long an
// order for a partition of each waits.
func TestTakeover(t *testing.T) {
	five := []fleet.VM{"dc1a", "dc1b", "dc2a", "dc2b", "dc3a"}
	runSite(t, func(s *site) {
		var longest time.Duration
		for range 4 {
			key := s.newKey()
			owner, vm := s.ownerOf(key), s.nonOwner(key)
			s.kill(owner)
			start := time.Now()
			req := request(key, "x")
			req.Deadline = start.Add(30 * time.Second)
			s.requireRan(s.submit(vm, req), key)
			took := time.Since(start)
			longest = max(longest, took)
			t.Logf("the next owner responded after %s", took)
			s.hub.Isolate(owner, false)
			s.start(owner)
			time.Sleep(startupTime)
		}
		t.Logf("longest takeover: %s", longest)
		must.Less(t, 10*time.Second, longest)
	}, five...)
}

// TestTicketsDuringLongOutage counts the tickets that live routers run while
// the log is unavailable, and requires that all of them are recorded
// afterwards.
func TestTicketsDuringLongOutage(t *testing.T) {
	five := []fleet.VM{"dc1a", "dc1b", "dc2a", "dc2b", "dc3a"}
	runSite(t, func(s *site) {
		s.setLogDown(true)
		const total = 600
		served := 0
		var keys []string
		for i := range total {
			vm := five[i%len(five)]
			key := s.ticket(vm)
			keys = append(keys, key)
			if resp := s.submit(five[i%3], request(key, "x")); resp.err == nil && resp.complete {
				served++
			}
			time.Sleep(time.Second)
		}
		t.Logf("%d of %d orders served in an outage of 10 minutes", served, total)
		must.GreaterEq(t, 0.99*total, float64(served))
		s.setLogDown(false)
		time.Sleep(30 * time.Second)
		for _, key := range keys {
			must.LessEq(t, 1, s.worker.runCount(key))
			o, err := s.routers[five[0]].orders.Status(s.ctx, "shop", key)
			must.NoError(t, err)
			must.Eq(t, call.RunDone, o.Run)
		}
	}, five...)
}
