package drain_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/lab/check/drain"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

func TestCheck(t *testing.T) {
	byDataCentre := history.Mark{DataCentre: "dc-1", Accepted: at(10), Lifted: at(30)}
	byTarget := history.Mark{Target: "a", Accepted: at(10)}
	cases := []struct {
		name  string
		mark  history.Mark
		began int
		last  time.Duration
		late  bool
	}{
		{"before", byDataCentre, 9, 0, false},
		{"soon after", byDataCentre, 12, 2 * time.Second, false},
		{"late", byDataCentre, 20, 10 * time.Second, true},
		{"after the return", byDataCentre, 31, 0, false},
		{"late on a target", byTarget, 40, 30 * time.Second, true},
		{"another target", history.Mark{Target: "b", Accepted: at(10)}, 40, 0, false},
		{"another data centre", history.Mark{DataCentre: "dc-2", Accepted: at(10)}, 40, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &history.History{
				Marks:      []history.Mark{c.mark},
				EngineRuns: []history.EngineRun{{Target: "a", DataCentre: "dc-1", Started: at(c.began)}},
			}
			last, violations := drain.Check(h)
			must.Eq(t, c.last, last)
			must.Eq(t, c.late, len(violations) > 0)

			h.WorkerRuns = []history.WorkerRun{{Target: "a", DataCentre: "dc-1", At: at(c.began)}}
			h.EngineRuns = nil
			_, violations = drain.Check(h)
			must.Eq(t, c.late, len(violations) > 0)
		})
	}
}
