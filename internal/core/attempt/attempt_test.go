package attempt_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/attempt"
	"github.com/zinniafork/zinniafork/internal/core/routing"
)

var now = time.Unix(1_700_000_000, 0)

// budget allows a fixed number of retries.
type budget int

func (b *budget) Take(time.Time) bool {
	if *b == 0 {
		return false
	}
	*b--
	return true
}

var allOutcomes = []attempt.Outcome{
	attempt.NotSent, attempt.Refused, attempt.Misdirected, attempt.Unknown, attempt.FailedResponse, attempt.Broken,
}

// mayRun reports whether a send with this outcome may have run the request.
func mayRun(s attempt.Outcome) bool { return s >= attempt.Unknown }

// exploreHistories checks every sequence of outcomes that extends history until
// the request ends.
func exploreHistories(t *testing.T, route *routing.Route, retries budget, history []attempt.Outcome) {
	m := attempt.New(route)
	left := retries
	action := attempt.Retry
	for _, s := range history {
		action = m.SendEnded(now, s, time.Second, &left)
	}
	if len(history) > 0 {
		checkInvariants(t, route, history, action)
	}
	if action != attempt.Retry && action != attempt.Resume {
		return
	}
	must.Less(t, 12, len(history), must.Sprint("the request must end"))
	for _, s := range allOutcomes {
		exploreHistories(t, route, retries, append(history[:len(history):len(history)], s))
	}
}

// checkInvariants checks the action after the last outcome of a history.
func checkInvariants(t *testing.T, route *routing.Route, history []attempt.Outcome, action attempt.Action) {
	t.Helper()
	what := must.Sprint(fmt.Sprintf("%+v %v -> %v", *route, history, action))
	runs, sends := 0, 0
	for _, s := range history {
		if mayRun(s) {
			runs++
		}
		if s != attempt.NotSent && s != attempt.Misdirected {
			sends++
		}
	}
	last := history[len(history)-1]
	again := action == attempt.Retry || action == attempt.Resume
	if action == attempt.Refuse {
		must.Eq(t, 0, runs, what)
	}
	if again && !route.Idempotent() {
		must.Eq(t, 0, runs, what)
	}
	if again && sends > 0 {
		must.Less(t, route.Attempts+1, sends+1, what)
	}
	must.Eq(t, last == attempt.Broken && again, action == attempt.Resume, what)
	if route.Kind != routing.Stream {
		must.NotEq(t, attempt.Resume, action, what)
	}
	if action == attempt.Cut {
		must.Eq(t, attempt.Broken, last, what)
	}
	if action == attempt.PassFailure {
		must.Eq(t, attempt.FailedResponse, last, what)
	}
}

// TestAllHistoriesKeepInvariants explores all sequences of outcomes on all
// kinds of routes. A request must not be reported as not run when a send may
// have run it, a request that is not idempotent must not be retried after such
// a send, and Attempts and the budget must bound all other retries.
func TestAllHistoriesKeepInvariants(t *testing.T) {
	for _, route := range []routing.Route{
		{Kind: routing.Unsafe, Attempts: 1},
		{Kind: routing.Unsafe, Attempts: 3},
		{Kind: routing.Safe, Attempts: 1},
		{Kind: routing.Safe, Attempts: 2},
		{Kind: routing.Stream, Attempts: 2},
		{Kind: routing.Stream, Attempts: 2, Resumable: true},
	} {
		for retries := range 3 {
			exploreHistories(t, &route, budget(retries), nil)
		}
	}
}

func TestNoRetryWithoutTimeLeft(t *testing.T) {
	b := budget(5)
	m := attempt.New(&routing.Route{Kind: routing.Safe, Attempts: 3})
	must.Eq(t, attempt.Fail, m.SendEnded(now, attempt.Unknown, time.Millisecond, &b))
	m = attempt.New(&routing.Route{Kind: routing.Safe, Attempts: 3})
	must.Eq(t, attempt.Refuse, m.SendEnded(now, attempt.NotSent, time.Millisecond, &b))
}

// TestIsolatedRequestIsNotSentAgain checks for all kinds of routes and outcomes that a
// request which may crash its targets ends, and is told as not run only if it is true.
func TestIsolatedRequestIsNotSentAgain(t *testing.T) {
	for _, route := range []routing.Route{
		{Kind: routing.Unsafe, Attempts: 3},
		{Kind: routing.Safe, Attempts: 3},
		{Kind: routing.Stream, Attempts: 3, Resumable: true},
	} {
		for _, s := range allOutcomes {
			b := budget(5)
			m := attempt.New(&route)
			m.Isolate()
			action := m.SendEnded(now, s, time.Second, &b)
			checkInvariants(t, &route, []attempt.Outcome{s}, action)
			must.NotEq(t, attempt.Retry, action, must.Sprint(s))
			must.NotEq(t, attempt.Resume, action, must.Sprint(s))
			must.False(t, m.StartHedge(now, time.Second, &b))
			must.Eq(t, 5, int(b))
		}
	}
}
