package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/zinniafork/zinniafork/internal/lab/explore"
)

type exploreCommand struct {
	Seed    uint64 `help:"Seed of the first random schedule." default:"1"`
	Runs    uint64 `help:"Random schedules to follow." default:"10000"`
	Steps   int    `help:"Events in one random schedule." default:"200"`
	Depth   int    `help:"Visit every interleaving to this number of events; 0 for none." default:"0"`
	Routers int    `help:"Routers in a world." default:"3"`
	Keys    int    `help:"Keys in a world." default:"3"`
}

// Run searches the order journal for broken rules.
func (c *exploreCommand) Run(ctx context.Context) error {
	report, err := explore.Run(ctx, explore.Plan{
		Seed: c.Seed, Runs: c.Runs, Steps: c.Steps, Depth: c.Depth, Routers: c.Routers, Keys: c.Keys,
		Progress: func(done uint64, elapsed time.Duration) {
			fmt.Fprintf(os.Stderr, "%d schedules in %s\n", done, elapsed.Round(time.Second))
		},
	})
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if !report.Pass {
		return errors.New("a rule was broken")
	}
	return nil
}
