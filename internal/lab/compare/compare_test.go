package compare

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/lab/scenario"
)

func TestSpread(t *testing.T) {
	must.Eq(t, Spread{Median: 2, Least: 1, Most: 9}, spreadOf([]float64{9, 1, 2}))
	must.Eq(t, Spread{Median: 3, Least: 1, Most: 5}, spreadOf([]float64{1, 5}))
	must.Eq(t, Spread{}, spreadOf(nil))
}

func TestSummarize(t *testing.T) {
	row := summarize("p", []scenario.Result{
		{Pass: true, Measures: scenario.Measures{CacheReuse: 0.4, CacheReuseOracle: 0.8, Service: 1}},
		{Measures: scenario.Measures{CacheReuse: 0.6, CacheReuseOracle: 0.8, Service: 0.5}},
	})
	must.Eq(t, 1, row.Passed)
	must.Eq(t, 0.5, row.Reuse.Median)
	must.InDelta(t, 0.75, row.ReuseOfOracle.Most, 1e-9)
	must.Eq(t, 0.5, row.Service.Least)
	var out strings.Builder
	Print(&out, []Row{row})
	must.StrContains(t, out.String(), "0.7500 (0.5000 to 1.0000)")
}
