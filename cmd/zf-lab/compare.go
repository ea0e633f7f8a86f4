package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/zinniafork/zinniafork/internal/lab/compare"
	"github.com/zinniafork/zinniafork/internal/lab/scenario"
)

type compareCommand struct {
	Scenario string        `arg:"" help:"Scenario to run."`
	Policies []string      `help:"Placement policies." default:"bounded,rendezvous,round-robin,least-loaded,two-choices"`
	Seeds    []uint64      `help:"Seeds." default:"1,2,3"`
	Site     string        `help:"Site to run." enum:"trinidad,gent" default:"trinidad"`
	Routers  int           `help:"Number of routers; 0 takes the site's."`
	Targets  int           `help:"Number of targets; 0 takes the site's."`
	Duration time.Duration `help:"Length of the load of one run." default:"20s"`
	JSON     bool          `name:"json" help:"Print the rows as JSON."`
}

// Run compares the policies.
func (c *compareCommand) Run(ctx context.Context) error {
	rows, err := compare.Run(ctx, compare.Options{
		Scenario: scenario.Options{
			Scenario: c.Scenario,
			Site:     c.Site,
			Routers:  c.Routers,
			Targets:  c.Targets,
			Duration: c.Duration,
		},
		Policies: c.Policies,
		Seeds:    c.Seeds,
	}, sayRun)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	compare.Print(os.Stdout, rows)
	return nil
}

// sayRun reports one ended run on standard error.
func sayRun(out *scenario.Outcome) {
	r := out.Result
	fmt.Fprintf(os.Stderr, "%s %s seed %d policy %q: pass %t, reuse %.3f, skew %.2f, service %.4f\n",
		r.Scenario, r.Site, r.Seed, r.Policy, r.Pass, r.Measures.CacheReuse, r.Measures.LoadSkewMax, r.Measures.Service)
}
