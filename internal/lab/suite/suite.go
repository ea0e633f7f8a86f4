// Package suite runs many experiments and lists their measures.
package suite

import (
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/jedib0t/go-pretty/v6/table"
	"golang.org/x/sync/errgroup"

	"github.com/zinniafork/zinniafork/internal/lab/scenario"
)

// Options shape a suite. Every scenario is run on every site with every seed.
type Options struct {
	Scenarios []string
	Sites     []string
	Seeds     []uint64
	// Base holds what all runs share.
	Base scenario.Options
	// Parallel is the number of runs at a time.
	Parallel int
	// Seen is called after each run, if it is not nil.
	Seen func(scenario.Result)
}

// Run plays all experiments and returns their results in the order of sites,
// scenarios and seeds.
func Run(ctx context.Context, opt Options) ([]scenario.Result, error) {
	var runs []scenario.Options
	for _, site := range opt.Sites {
		for _, name := range opt.Scenarios {
			for _, seed := range opt.Seeds {
				one := opt.Base
				one.Site, one.Scenario, one.Seed = site, name, seed
				runs = append(runs, one)
			}
		}
	}
	results := make([]scenario.Result, len(runs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(opt.Parallel, 1))
	var mu sync.Mutex
	for i, one := range runs {
		group.Go(func() error {
			out, err := scenario.Run(ctx, one)
			if err != nil {
				return fmt.Errorf("%s on %s, seed %d: %w", one.Scenario, one.Site, one.Seed, err)
			}
			mu.Lock()
			defer mu.Unlock()
			results[i] = out.Result
			if opt.Seen != nil {
				opt.Seen(out.Result)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return results, nil
}

// Failed returns the number of results that broke a rule.
func Failed(results []scenario.Result) int {
	n := 0
	for _, r := range results {
		if !r.Pass {
			n++
		}
	}
	return n
}

// Print writes the results as a Markdown table.
func Print(out io.Writer, results []scenario.Result) {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.AppendHeader(table.Row{
		"site", "scenario", "seed", "pass", "service", "worst account", "reuse", "oracle", "skew max", "skew p99", "over bound",
		"cold", "control B/s", "orders twice/lost/unknown", "false not run", "wrong answers",
		"work after drain ms", "config ms", "cut", "first token p95 ms", "overhead p50/p99 ms",
	})
	for _, r := range results {
		m := r.Measures
		t.AppendRow(table.Row{
			r.Site, r.Scenario, r.Seed, r.Pass, fmt.Sprintf("%.4f", m.Service), fmt.Sprintf("%.4f", m.ServiceMinAccount),
			fmt.Sprintf("%.3f", m.CacheReuse), fmt.Sprintf("%.3f", m.CacheReuseOracle), fmt.Sprintf("%.2f", m.LoadSkewMax), fmt.Sprintf("%.2f", m.LoadSkewP99), m.OverBound,
			m.ColdOverload, fmt.Sprintf("%.0f", m.ControlBytesPerSMax),
			fmt.Sprintf("%d/%d/%d", m.OrdersDuplicated, m.OrdersLost, m.OrdersUnknown), m.FalseNotRun, m.AnswersWrong,
			fmt.Sprintf("%.0f", m.NewWorkAfterDrainMS), fmt.Sprintf("%.0f", m.ConfigConvergeMSMax), m.StreamsCut,
			fmt.Sprintf("%.0f", m.FirstTokenMSP95), fmt.Sprintf("%.1f/%.1f", m.FirstTokenOverheadMS50, m.FirstTokenOverheadMS99),
		})
	}
	t.RenderMarkdown()
}
