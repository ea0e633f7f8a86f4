package attempt_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/attempt"
	"github.com/zinniafork/zinniafork/internal/core/routing"
)

// TestHedgesKeepInvariants plays random sends with hedges. Attempts and the budget
// bound the targets that a request reaches, only idempotent requests get a hedge, and
// a request that may have run is not reported as not run.
func TestHedgesKeepInvariants(t *testing.T) {
	kinds := []routing.Route{{Kind: routing.Unsafe}, {Kind: routing.Safe}, {Kind: routing.Stream}, {Kind: routing.Stream, Resumable: true}}
	rapid.Check(t, func(t *rapid.T) {
		route := rapid.SampledFrom(kinds).Draw(t, "route")
		route.Attempts = rapid.IntRange(1, 4).Draw(t, "attempts")
		retries := budget(rapid.IntRange(0, 4).Draw(t, "retries"))
		allowed := int(retries)
		m := attempt.New(&route)
		reached, mayHaveRun := 0, false
		end := func(s attempt.Outcome) {
			if s != attempt.NotSent && s != attempt.Misdirected {
				reached++
			}
			mayHaveRun = mayHaveRun || mayRun(s)
		}
		action := attempt.Retry
		for action == attempt.Retry || action == attempt.Resume {
			if m.StartHedge(now, time.Second, &retries) {
				must.True(t, route.Idempotent())
				s := rapid.SampledFrom(allOutcomes).Draw(t, "hedge")
				if rapid.Bool().Draw(t, "responds") {
					m.Replaced() // the silent send ends, the hedge is the current send
					end(attempt.Unknown)
				} else {
					m.HedgeEnded(s)
					end(s)
				}
			}
			s := rapid.SampledFrom(allOutcomes).Draw(t, "outcome")
			action = m.SendEnded(now, s, time.Second, &retries)
			end(s)
			must.LessEq(t, max(route.Attempts, 1), reached)
			must.LessEq(t, allowed+1, reached)
		}
		if action == attempt.Refuse {
			must.False(t, mayHaveRun)
		} else {
			must.True(t, mayHaveRun)
		}
	})
}

func TestNoHedgeWithoutTimeLeft(t *testing.T) {
	b := budget(5)
	m := attempt.New(&routing.Route{Kind: routing.Safe, Attempts: 3})
	must.False(t, m.StartHedge(now, time.Millisecond, &b))
	must.True(t, m.StartHedge(now, time.Second, &b))
	must.Eq(t, budget(4), b)
}
