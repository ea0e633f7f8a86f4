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

// budget grants a number of repeats.
type budget int

func (b *budget) Take(time.Time) bool {
	if *b == 0 {
		return false
	}
	*b--
	return true
}

var allSent = []attempt.Outcome{
	attempt.NotSent, attempt.Refused, attempt.Misdirected, attempt.Unknown, attempt.FailedResponse, attempt.Broken,
}

// mayRun tells whether a send in this state may have run.
func mayRun(s attempt.Outcome) bool { return s >= attempt.Unknown }

// explore plays every sequence of sends to its end.
func explore(t *testing.T, route *routing.Route, repeats budget, history []attempt.Outcome) {
	m := attempt.New(route)
	left := repeats
	step := attempt.Retry
	for _, s := range history {
		step = m.SendEnded(now, s, time.Second, &left)
	}
	if len(history) > 0 {
		check(t, route, history, step)
	}
	if step != attempt.Retry && step != attempt.Resume {
		return
	}
	must.Less(t, 12, len(history), must.Sprint("a request ends"))
	for _, s := range allSent {
		explore(t, route, repeats, append(history[:len(history):len(history)], s))
	}
}

// check holds the promises for the last step of a history.
func check(t *testing.T, route *routing.Route, history []attempt.Outcome, step attempt.Action) {
	t.Helper()
	what := must.Sprint(fmt.Sprintf("%+v %v -> %v", *route, history, step))
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
	again := step == attempt.Retry || step == attempt.Resume
	if step == attempt.Refuse {
		must.Eq(t, 0, runs, what)
	}
	if again && !route.Idempotent() {
		must.Eq(t, 0, runs, what)
	}
	if again && sends > 0 {
		must.Less(t, route.Attempts+1, sends+1, what)
	}
	must.Eq(t, last == attempt.Broken && again, step == attempt.Resume, what)
	if step == attempt.Cut {
		must.Eq(t, attempt.Broken, last, what)
	}
	if step == attempt.PassFailure {
		must.Eq(t, attempt.FailedResponse, last, what)
	}
}

// TestEveryHistoryKeepsThePromises explores all histories of all kinds of
// routes: "not run" is claimed only when no send can have run, requests that
// aren't idempotent are never repeated after one that may have, and Attempts
// and the budget bound the rest.
func TestEveryHistoryKeepsThePromises(t *testing.T) {
	for _, route := range []routing.Route{
		{Kind: routing.Unsafe, Attempts: 1},
		{Kind: routing.Unsafe, Attempts: 3},
		{Kind: routing.Safe, Attempts: 1},
		{Kind: routing.Safe, Attempts: 2},
		{Kind: routing.Stream, Attempts: 2},
		{Kind: routing.Stream, Attempts: 2, Resumable: true},
	} {
		for repeats := range 3 {
			explore(t, &route, budget(repeats), nil)
		}
	}
}

func TestNoTimeLeftEndsARequest(t *testing.T) {
	b := budget(5)
	m := attempt.New(&routing.Route{Kind: routing.Safe, Attempts: 3})
	must.Eq(t, attempt.Fail, m.SendEnded(now, attempt.Unknown, time.Millisecond, &b))
	m = attempt.New(&routing.Route{Kind: routing.Safe, Attempts: 3})
	must.Eq(t, attempt.Refuse, m.SendEnded(now, attempt.NotSent, time.Millisecond, &b))
}
