package orders_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/lab/check/orders"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

func order(key string, attempts ...history.Attempt) history.Request {
	for i := range attempts {
		if attempts[i].Key == "" {
			attempts[i].Key = key
		}
	}
	return history.Request{ID: key, Kind: history.KindOrder, Key: key, Attempts: attempts}
}

func answered(from, to int) history.Attempt {
	return history.Attempt{Start: at(from), End: at(to), Whole: true}
}

func said(from, to int, run history.Run) history.Attempt {
	return history.Attempt{Start: at(from), End: at(to), Status: 503, Run: run}
}

// under gives an attempt another key.
func under(key string, a history.Attempt) history.Attempt {
	a.Key = key
	return a
}

func ran(key string, s int) history.WorkerRun {
	return history.WorkerRun{Target: "print-1", Key: key, At: at(s)}
}

func TestCheck(t *testing.T) {
	cases := []struct {
		name  string
		order history.Request
		runs  []history.WorkerRun
		want  orders.Result
	}{
		{"once", order("k", answered(1, 3)), []history.WorkerRun{ran("k", 2)}, orders.Result{}},
		{"once after a true refusal", order("k", said(1, 2, history.RunNot), answered(3, 5)),
			[]history.WorkerRun{ran("k", 4)}, orders.Result{}},
		{"never, truly refused", order("k", said(1, 2, history.RunNot)), nil, orders.Result{}},
		{"outcome unknown, ran", order("k", said(1, 2, history.RunUnknown)),
			[]history.WorkerRun{ran("k", 9)}, orders.Result{Unknown: 1}},
		{"no answer", order("k", history.Attempt{Start: at(1), Err: "reset"}), nil, orders.Result{Unknown: 1}},
		{"twice", order("k", answered(1, 3)), []history.WorkerRun{ran("k", 2), ran("k", 4)},
			orders.Result{Duplicated: 1}},
		{"twice under two keys", order("k", said(1, 2, history.RunNot), under("t", answered(3, 5))),
			[]history.WorkerRun{ran("k", 9), ran("t", 4)}, orders.Result{Duplicated: 1}},
		{"once under the second key", order("k", said(1, 2, history.RunNot), under("t", answered(3, 5))),
			[]history.WorkerRun{ran("t", 4)}, orders.Result{}},
		{"a key that nobody sent, twice", order("k", answered(1, 3)),
			[]history.WorkerRun{ran("k", 2), ran("x", 2), ran("x", 3)}, orders.Result{Duplicated: 1}},
		{"lost", order("k", answered(1, 3)), nil, orders.Result{Lost: 1}},
		{"lost by a claim", order("k", said(1, 2, history.RunDone)), nil, orders.Result{Lost: 1, Unknown: 1}},
		{"false not run, same attempt", order("k", said(1, 3, history.RunNot)),
			[]history.WorkerRun{ran("k", 2)}, orders.Result{FalseNotRun: 1}},
		{"false not run, later", order("k", said(1, 3, history.RunNot)),
			[]history.WorkerRun{ran("k", 9)}, orders.Result{FalseNotRun: 1}},
		{"false not run, earlier attempt ran", order("k", said(1, 3, history.RunUnknown), said(4, 5, history.RunNot)),
			[]history.WorkerRun{ran("k", 2)}, orders.Result{FalseNotRun: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &history.History{Start: start, Requests: []history.Request{c.order}, WorkerRuns: c.runs}
			got, violations := orders.Check(h)
			must.Eq(t, c.want, got)
			must.Len(t, c.want.Duplicated+c.want.Lost+c.want.FalseNotRun, violations)
		})
	}
}
