package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/hubs"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// allowSome is a gate that allows these engines.
type allowSome map[fleet.Target]bool

func (g allowSome) Allow(_ time.Time, t *sitestate.AvailableTarget) bool { return g[t.ID] }

// TestNewPromptsSpreadOverCrowdedEngines guards against routers that all send new prompts to the
// engine which appears least loaded, since every engine has more than its part: others are cold
// after a release, and the routers know loads as they were some tenths of a second ago.
func TestNewPromptsSpreadOverCrowdedEngines(t *testing.T) {
	const maxLag = hubs.MaxRelayedAge - hubs.DigestPeriod
	for _, allowed := range []int{60, 90} {
		over, total := 0, 0
		for seed := range uint64(4) {
			o, n := simulateCrowded(seed, maxLag, allowed)
			over, total = over+o, total+n
		}
		t.Logf("%d engines take requests: %d of %d over the limit, seeds 0 to 3", allowed, over, total)
		test.LessEq(t, 3*total, 100*over, test.Sprint(over, " of ", total, ", ", allowed, " engines take requests"))
	}
}

// simulateCrowded returns the number of requests that went to an engine above the limit, and of
// all requests. All have prompts that no engine has in cache, and only some engines take
// requests. Digests report the loads of lag ago.
func simulateCrowded(seed uint64, lag time.Duration, allowed int) (over, total int) {
	const (
		routers         = 60
		targets         = 90
		requestsPerTick = 20 // 400 requests a second
		tick            = 50 * time.Millisecond
		digestTicks     = int(hubs.DigestPeriod / tick)
		meanTicks       = 24 // mean duration of a request
	)
	random := rand.New(rand.NewPCG(seed, 5))
	all, gate := engines(targets), make(allowSome)
	for i := range allowed {
		gate[all[i].ID] = true
	}
	var balancers []*balance.Balancer
	for range routers {
		b := balance.New("dc0", random)
		b.SetRelayed(true)
		balancers = append(balancers, b)
	}
	type running struct {
		router int
		id     fleet.Target
		until  int
	}
	var active []running
	var history [][]balance.Load
	for now := range 200 {
		at := start.Add(time.Duration(now) * tick)
		loads := make(map[fleet.Target]int)
		kept := active[:0]
		for _, w := range active {
			if w.until <= now {
				balancers[w.router].RequestEnded(w.id)
				continue
			}
			loads[w.id]++
			kept = append(kept, w)
		}
		active = kept
		var totals []balance.Load
		for id, n := range loads {
			totals = append(totals, balance.Load{Target: id.Ref(), Running: uint32(n)})
		}
		history = append(history, totals)
		if delay := int(lag / tick); now%digestTicks == 0 && now >= delay {
			for _, b := range balancers {
				b.SetTotalLoads(at, "hub", history[now-delay])
				b.LocalLoads(at)
			}
		}
		for range requestsPerTick {
			router, prompt := random.IntN(routers), random.Uint64()
			c := balancers[router].Choose(at, &balance.Request{Prefixes: []uint64{prompt}}, all, gate)
			balancers[router].RequestStarted(at, c.Target.ID, []uint64{prompt})
			active = append(active, running{router, c.Target.ID, now + 1 + random.IntN(2*meanTicks)})
			loads[c.Target.ID]++
			if now < 50 {
				continue
			}
			total++
			if float64(loads[c.Target.ID]) > 2*float64(len(active))/targets+3 {
				over++
			}
		}
	}
	return over, total
}
