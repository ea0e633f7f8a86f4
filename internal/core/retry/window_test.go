package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/retry"
)

// TestRetriesOfAllRoutersStayWithinBudget runs routers that retry whenever the
// budget allows it and checks every window against the platform's rule, which
// counts the requests of that window or of the one before it.
func TestRetriesOfAllRoutersStayWithinBudget(t *testing.T) {
	const (
		window = 10 * time.Second
		ratio  = 0.2
		slack  = 58.0
		step   = 100 * time.Millisecond
		steps  = 600
	)
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		n := rapid.IntRange(1, 12).Draw(t, "routers")
		var routers []*retry.WindowBudget
		for range n {
			w := retry.NewWindowBudget(window, ratio, slack)
			w.SetRouters(n)
			routers = append(routers, w)
		}
		requests, retries := make([]int, steps), make([]int, steps)
		rate := 1 + random.IntN(30)
		for i := range steps {
			if i%150 == 0 {
				rate = 1 + random.IntN(30)
			}
			now := time.Unix(1_700_000_000, 0).Add(time.Duration(i) * step)
			for range rate {
				w := routers[random.IntN(n)]
				w.AddRequest(now)
				requests[i]++
				for random.IntN(2) == 0 && w.Take(now) {
					retries[i]++
				}
			}
		}
		windowSteps := int(window / step)
		for i := 0; i+windowSteps <= steps; i++ {
			maxRequests := max(sum(requests, i, i+windowSteps), sum(requests, i-windowSteps, i), sum(requests, i-windowSteps/2, i+windowSteps/2))
			must.LessEq(t, ratio*float64(maxRequests)+slack, float64(sum(retries, i, i+windowSteps)))
		}
	})
}

func sum(counts []int, from, to int) int {
	total := 0
	for i := max(from, 0); i < min(to, len(counts)); i++ {
		total += counts[i]
	}
	return total
}

func TestBudgetRecoversAsWindowSlides(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	w := retry.NewWindowBudget(10*time.Second, 0, 4)
	must.True(t, w.Take(now))
	must.True(t, w.Take(now))
	must.False(t, w.Take(now))
	must.True(t, w.Take(now.Add(11*time.Second)))
}

// TestRequestTimedBeforeTheFirst uses a budget with a time before that of its first use, as a
// router does that was held up after it had read the clock.
func TestRequestTimedBeforeTheFirst(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	early := start.Add(-time.Minute)
	w := retry.NewWindowBudget(10*time.Second, 0, 10)
	w.AddRequest(start)
	w.AddRequest(early)
	taken := 0
	for range 100 {
		for _, now := range []time.Time{start, early} {
			if w.Take(now) {
				taken++
			}
		}
	}
	fresh, want := retry.NewWindowBudget(10*time.Second, 0, 10), 0
	for fresh.Take(start) {
		want++
	}
	must.Eq(t, want, taken)
}
