package series_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/series"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestOf(t *testing.T) {
	up := []history.Span{{From: start}}
	h := &history.History{
		Start: start,
		Requests: []history.Request{
			{Intended: at(100), Limit: time.Second, Attempts: []history.Attempt{{End: at(500), Whole: true}}},
			{Intended: at(1500), Limit: time.Second, Attempts: []history.Attempt{{End: at(1600)}}},
		},
		Engines: []history.Engine{{Target: "a", Slots: 4, Up: up}, {Target: "b", Slots: 4, Up: up}},
		EngineRuns: []history.EngineRun{
			{Target: "a", Started: at(0), Ended: at(1000), PromptTokens: 10, CachedTokens: 5},
			{Target: "a", Started: at(500), Ended: at(1000), PromptTokens: 10},
			{Target: "b", Started: at(0), Ended: at(500), PromptTokens: 20},
		},
		Control: []history.ControlSample{{VM: "x", At: at(200), Bytes: 7}, {VM: "y", At: at(300), Bytes: 9}},
	}
	got := series.Of(h)
	must.Eq(t, []series.Point{{Value: 5.0 / 40}}, got.Reuse)
	must.Eq(t, []series.Point{{Value: 1.5}}, got.Skew)
	must.Eq(t, []series.Point{{Value: 9}}, got.Control)
	must.Eq(t, []series.Point{{Value: 1}, {At: time.Second}}, got.Service)
}
