package streams_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/lab/check/streams"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

func TestCheck(t *testing.T) {
	attempt := history.Attempt{Start: at(20), End: at(22), Cut: true}
	cases := []struct {
		name       string
		faults     []history.Span
		violations int
	}{
		{"no fault", nil, 1},
		{"fault during the answer", []history.Span{{From: at(21), To: at(23)}}, 0},
		{"fault still at work", []history.Span{{From: at(1)}}, 0},
		{"fault long over", []history.Span{{From: at(1), To: at(10)}}, 1},
		{"fault afterwards", []history.Span{{From: at(30)}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &history.History{
				Requests: []history.Request{{Attempts: []history.Attempt{attempt}}},
				Faults:   c.faults,
			}
			cut, violations := streams.Check(h)
			must.Eq(t, 1, cut)
			must.Len(t, c.violations, violations)
		})
	}
}

func TestStopThatDidNotEnd(t *testing.T) {
	h := &history.History{Stops: []history.Stop{{VM: "a", Err: "deadline"}, {VM: "b"}}}
	_, violations := streams.Check(h)
	must.Len(t, 1, violations)
	must.Eq(t, streams.RuleStop, violations[0].Rule)
}
