package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/zinniafork/zinniafork/internal/lab/scenario"
	"github.com/zinniafork/zinniafork/internal/lab/suite"
)

type suiteCommand struct {
	Scenarios []string      `help:"Scenarios; empty runs all."`
	Sites     []string      `help:"Sites to run." default:"trinidad"`
	Seeds     []uint64      `help:"Seeds." default:"1"`
	Duration  time.Duration `help:"Length of the load of one run." default:"20s"`
	Policy    string        `help:"Placement policy; empty takes the default."`
	Parallel  int           `help:"Runs at a time." default:"1"`
}

// Run plays the experiments and prints a table of their measures.
func (c *suiteCommand) Run(ctx context.Context) error {
	if len(c.Scenarios) == 0 {
		c.Scenarios = scenario.Names()
	}
	results, err := suite.Run(ctx, suite.Options{
		Scenarios: c.Scenarios,
		Sites:     c.Sites,
		Seeds:     c.Seeds,
		Base:      scenario.Options{Duration: c.Duration, Policy: c.Policy},
		Parallel:  c.Parallel,
		Seen:      sayResult,
	})
	if err != nil {
		return err
	}
	suite.Print(os.Stdout, results)
	if n := suite.Failed(results); n > 0 {
		return fmt.Errorf("%d of %d runs broke a rule", n, len(results))
	}
	return nil
}

// sayResult reports one ended run on standard error.
func sayResult(r scenario.Result) {
	fmt.Fprintf(os.Stderr, "%s %s seed %d: pass %t\n", r.Site, r.Scenario, r.Seed, r.Pass)
	for _, v := range r.Violations {
		fmt.Fprintf(os.Stderr, "  %s\n", v)
	}
}
