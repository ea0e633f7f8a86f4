package overhead_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/lab/check/overhead"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// requests returns requests that took the engine own and the way outside.
func requests(prefix string, n int, own, outside time.Duration) ([]history.Request, []history.EngineRun) {
	var (
		asked []history.Request
		runs  []history.EngineRun
	)
	for i := range n {
		id := fmt.Sprintf("%s%d", prefix, i)
		asked = append(asked, history.Request{ID: id, Attempts: []history.Attempt{
			{Start: start, FirstByte: start.Add(own + outside)},
		}})
		runs = append(runs, history.EngineRun{Request: id, Started: start, FirstToken: start.Add(own)})
	}
	return asked, runs
}

func TestMeasure(t *testing.T) {
	h := new(history.History)
	h.Requests, h.EngineRuns = requests("f", 100, 30*time.Millisecond, 5*time.Millisecond)
	h.Direct, h.DirectRuns = requests("d", 100, 90*time.Millisecond, 2*time.Millisecond)
	got := overhead.Measure(h)
	must.InDelta(t, 3.0, float64(got.P50)/float64(time.Millisecond), 0.02)
	must.InDelta(t, 3.0, float64(got.P99)/float64(time.Millisecond), 0.02)
	must.Eq(t, 100, got.Fleet)

	// Repeated requests don't count.
	h.Requests[0].Attempts = append(h.Requests[0].Attempts, h.Requests[0].Attempts[0])
	must.Eq(t, 99, overhead.Measure(h).Fleet)
	h.Direct = nil
	must.Eq(t, 0, overhead.Measure(h).P50)
}
