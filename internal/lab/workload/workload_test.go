package workload_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/site"
	"github.com/zinniafork/zinniafork/internal/lab/workload"
)

func plan(t *testing.T, seed uint64, surges ...workload.Surge) []workload.Arrival {
	t.Helper()
	shape, err := site.ByName("gent", 0, 0)
	must.NoError(t, err)
	return workload.Plan(workload.Options{
		Shape:      shape,
		Seed:       seed,
		Duration:   8 * time.Second,
		Surges:     surges,
		DirectRate: 1,
	})
}

func TestSeedFixesThePlan(t *testing.T) {
	must.Eq(t, plan(t, 7), plan(t, 7))
	must.NotEq(t, plan(t, 7), plan(t, 8))
}

func TestPlanReturnsToChatsAndOrders(t *testing.T) {
	arrivals := plan(t, 1)
	turns := make(map[string]int)
	orders, direct := 0, 0
	for i, a := range arrivals {
		must.True(t, i == 0 || arrivals[i-1].At <= a.At)
		switch {
		case a.Direct:
			direct++
		case a.Kind == history.KindOrder:
			orders++
		default:
			// A turn carries all turns of the chat before it.
			must.Len(t, 2+2*turns[a.Chat], a.Prompt.Messages)
			turns[a.Chat]++
		}
	}
	must.Positive(t, orders)
	must.Positive(t, direct)
	must.True(t, slices.ContainsFunc(arrivals, func(a workload.Arrival) bool { return turns[a.Chat] > 2 }))
}

func TestSurgeMultipliesOneAccount(t *testing.T) {
	account := plan(t, 1)[0].Account.Name
	count := func(arrivals []workload.Arrival) int {
		n := 0
		for _, a := range arrivals {
			if a.Account.Name == account && a.Kind == history.KindChat {
				n++
			}
		}
		return n
	}
	surge := workload.Surge{Account: account, To: 8 * time.Second, Factor: 5}
	must.Greater(t, 3*count(plan(t, 1)), count(plan(t, 1, surge)))
}
