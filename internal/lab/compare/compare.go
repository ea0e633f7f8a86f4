// Package compare runs one scenario with several placement policies and seeds
// and sets their measures side by side.
package compare

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/zinniafork/zinniafork/internal/lab/scenario"
)

// Options shape a comparison.
type Options struct {
	Scenario scenario.Options
	Policies []string
	Seeds    []uint64
}

// Spread is the median of a figure over seeds, with its range.
type Spread struct {
	Median float64 `json:"median"`
	Least  float64 `json:"least"`
	Most   float64 `json:"most"`
}

// Row is the comparison's outcome for one policy.
type Row struct {
	Policy string `json:"policy"`
	// Passed counts the seeds whose run broke no rule.
	Passed        int    `json:"passed"`
	Runs          int    `json:"runs"`
	Reuse         Spread `json:"cache_reuse"`
	ReuseOfOracle Spread `json:"cache_reuse_of_oracle"`
	Skew          Spread `json:"load_skew_max"`
	SkewP99       Spread `json:"load_skew_p99"`
	OverBound     Spread `json:"over_bound"`
	ColdOverload  Spread `json:"cold_overload"`
	Control       Spread `json:"control_bytes_per_s_max"`
	Service       Spread `json:"service"`
	MinAccount    Spread `json:"service_min_account"`
	FirstTokenP95 Spread `json:"first_token_ms_p95"`
	OverheadP50   Spread `json:"first_token_overhead_ms_p50"`
	OverheadP99   Spread `json:"first_token_overhead_ms_p99"`
}

// Run plays every policy with every seed, one run after another. Each ended
// run is passed to seen, unless that is nil.
func Run(ctx context.Context, opt Options, seen func(*scenario.Outcome)) ([]Row, error) {
	if len(opt.Policies) == 0 {
		opt.Policies = []string{""}
	}
	results := make(map[string][]scenario.Result)
	for _, seed := range opt.Seeds {
		for _, policy := range opt.Policies {
			one := opt.Scenario
			one.Seed, one.Policy = seed, policy
			out, err := scenario.Run(ctx, one)
			if err != nil {
				return nil, fmt.Errorf("policy %q, seed %d: %w", policy, seed, err)
			}
			results[policy] = append(results[policy], out.Result)
			if seen != nil {
				seen(out)
			}
		}
	}
	rows := make([]Row, 0, len(opt.Policies))
	for _, policy := range opt.Policies {
		rows = append(rows, summarize(policy, results[policy]))
	}
	return rows, nil
}

func summarize(policy string, results []scenario.Result) Row {
	spread := func(figure func(scenario.Measures) float64) Spread {
		values := make([]float64, 0, len(results))
		for _, r := range results {
			values = append(values, figure(r.Measures))
		}
		return spreadOf(values)
	}
	row := Row{
		Policy:        policy,
		Runs:          len(results),
		Reuse:         spread(func(m scenario.Measures) float64 { return m.CacheReuse }),
		ReuseOfOracle: spread(ofOracle),
		Skew:          spread(func(m scenario.Measures) float64 { return m.LoadSkewMax }),
		SkewP99:       spread(func(m scenario.Measures) float64 { return m.LoadSkewP99 }),
		OverBound:     spread(func(m scenario.Measures) float64 { return float64(m.OverBound) }),
		ColdOverload:  spread(func(m scenario.Measures) float64 { return float64(m.ColdOverload) }),
		Control:       spread(func(m scenario.Measures) float64 { return m.ControlBytesPerSMax }),
		Service:       spread(func(m scenario.Measures) float64 { return m.Service }),
		MinAccount:    spread(func(m scenario.Measures) float64 { return m.ServiceMinAccount }),
		FirstTokenP95: spread(func(m scenario.Measures) float64 { return m.FirstTokenMSP95 }),
		OverheadP50:   spread(func(m scenario.Measures) float64 { return m.FirstTokenOverheadMS50 }),
		OverheadP99:   spread(func(m scenario.Measures) float64 { return m.FirstTokenOverheadMS99 }),
	}
	for _, r := range results {
		if r.Pass {
			row.Passed++
		}
	}
	return row
}

func ofOracle(m scenario.Measures) float64 {
	if m.CacheReuseOracle == 0 {
		return 0
	}
	return m.CacheReuse / m.CacheReuseOracle
}

// spreadOf returns the median and range of values; all zero for none.
func spreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return Spread{
		Median: (sorted[(n-1)/2] + sorted[n/2]) / 2,
		Least:  sorted[0],
		Most:   sorted[n-1],
	}
}

// Print writes the rows as a table.
func Print(out io.Writer, rows []Row) {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{
		"policy", "passed", "reuse", "of oracle", "skew max", "skew p99", "over bound",
		"cold overload", "control B/s", "service", "worst account", "first token p95 ms",
	})
	for _, r := range rows {
		t.AppendRow(table.Row{
			r.Policy, fmt.Sprintf("%d/%d", r.Passed, r.Runs),
			show("%.3f", r.Reuse), show("%.3f", r.ReuseOfOracle), show("%.2f", r.Skew), show("%.2f", r.SkewP99), show("%.0f", r.OverBound),
			show("%.0f", r.ColdOverload), show("%.0f", r.Control), show("%.4f", r.Service),
			show("%.4f", r.MinAccount), show("%.0f", r.FirstTokenP95),
		})
	}
	t.Render()
}

// show writes a spread as its median and, when it has one, its range.
func show(format string, s Spread) string {
	text := fmt.Sprintf(format, s.Median)
	if s.Least == s.Most {
		return text
	}
	return text + fmt.Sprintf(" ("+format+" to "+format+")", s.Least, s.Most)
}
