package report_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/lab/compare"
	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/report"
	"github.com/zinniafork/zinniafork/internal/lab/scenario"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func example() *report.Report {
	h := &history.History{
		Start: start,
		Requests: []history.Request{{
			Intended: start.Add(time.Second),
			Limit:    time.Second,
			Attempts: []history.Attempt{{End: start.Add(time.Second), Whole: true}},
		}},
		Marks:  []history.Mark{{DataCentre: "dc-1", Accepted: start, Lifted: start.Add(time.Second)}},
		Events: []history.Event{{At: start, Text: "a <fault>"}},
	}
	return &report.Report{
		Scenario: "dc-drain",
		Site:     "gent",
		Seeds:    []uint64{1},
		Rows:     []compare.Row{{Policy: "bounded", Runs: 1}},
		Runs:     []*scenario.Outcome{{History: h, Result: scenario.Result{Policy: "bounded"}}},
		Made:     start,
	}
}

func TestHTML(t *testing.T) {
	var out strings.Builder
	must.NoError(t, example().HTML(&out))
	page := out.String()
	must.Eq(t, 4, strings.Count(page, "<svg"))
	must.StrContains(t, page, "dc-1 leaves")
	must.StrContains(t, page, "dc-1 returns")
	must.StrContains(t, page, "a &lt;fault&gt;")
	// The page fetches nothing.
	must.StrNotContains(t, page, "<script")
	must.StrNotContains(t, page, "<link")
	must.StrNotContains(t, page, "src=")
}

func TestCSV(t *testing.T) {
	var out strings.Builder
	must.NoError(t, example().CSV(&out))
	must.StrContains(t, out.String(), "bounded,service,1,1\n")
}
