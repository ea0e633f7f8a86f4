package retry_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/retry"
)

func TestRetriesStayWithinRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		b := retry.NewBudget(ratio)
		requests, retries := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "requests") {
			b.AddRequest()
			requests++
			for range rapid.IntRange(0, 3).Draw(t, "tries") {
				if b.Take() {
					retries++
				}
			}
			must.LessEq(t, 10+ratio*float64(requests)+1e-6, float64(retries))
		}
	})
}

func TestBudgetsAreIndependent(t *testing.T) {
	all := retry.NewBudgets[string](0.1)
	for range 20 {
		all.For("a").Take()
	}
	must.False(t, all.For("a").Take())
	must.True(t, all.For("b").Take())
	all.SetRatio(1)
	all.For("a").AddRequest()
	must.True(t, all.For("a").Take())
}
