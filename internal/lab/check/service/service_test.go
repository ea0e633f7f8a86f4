package service_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/check/service"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func request(account fleet.Account, took time.Duration, whole bool) history.Request {
	return history.Request{
		Kind:     history.KindChat,
		Account:  account,
		Intended: start,
		Limit:    5 * time.Second,
		Answer:   "a",
		Want:     "a",
		Attempts: []history.Attempt{{End: start.Add(took), Whole: whole}},
	}
}

func TestCheck(t *testing.T) {
	good := request("x", time.Second, true)
	late := request("x", 6*time.Second, true)
	failed := request("x", time.Second, false)
	wrong := request("x", time.Second, true)
	wrong.Answer = "b"
	order := request("x", time.Second, true)
	order.Kind, order.Key = history.KindOrder, "k"
	order.Attempts[0].Key = "k"
	once := []history.WorkerRun{{Key: "k"}}
	cases := []struct {
		name    string
		request history.Request
		runs    []history.WorkerRun
		served  int
		reason  string
	}{
		{"in time", good, nil, 1, ""},
		{"late", late, nil, 0, "late"},
		{"failed", failed, nil, 0, "no answer began"},
		{"wrong answer", wrong, nil, 0, "wrong answer"},
		{"order once", order, once, 1, ""},
		{"order twice", order, append(once, once...), 0, "ran 2 times"},
		{"order never", order, nil, 0, "ran 0 times"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &history.History{Requests: []history.Request{c.request}, WorkerRuns: c.runs}
			got, violations := service.Check(h, service.Limits{Overall: 0.5})
			must.Eq(t, c.served, got.Served)
			must.Len(t, 1-c.served, violations)
			if c.served == 0 {
				must.StrContains(t, violations[0].Text, c.reason+" 1")
			}
		})
	}
}

func TestWorstAccount(t *testing.T) {
	h := &history.History{Requests: []history.Request{
		request("x", time.Second, true), request("x", time.Second, true),
		request("y", time.Second, true), request("y", time.Second, false),
	}}
	got, violations := service.Check(h, service.Limits{AccountGap: 0.01})
	must.Eq(t, 0.5, got.MinAccount)
	must.Eq(t, "y", string(got.Worst))
	must.Len(t, 1, violations)

	got, violations = service.Check(h, service.Limits{AccountGap: 0.01, Without: map[fleet.Account]bool{"y": true}})
	must.Eq(t, 1.0, got.Service)
	must.Len(t, 0, violations)

	_, violations = service.Check(new(history.History), service.Limits{})
	must.Len(t, 1, violations)
}
