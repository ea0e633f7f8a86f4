package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/lab/soak"
)

type soakCommand struct {
	Router   string        `help:"Path of the zf-router program." required:"" type:"existingfile"`
	Seed     uint64        `help:"First seed." default:"1"`
	Seeds    uint64        `help:"Number of seeds." default:"1"`
	Parallel int           `help:"Seeds that run at once." default:"1"`
	Faults   time.Duration `help:"Time during which faults are injected." default:"12s"`
	Routers  int           `help:"Router processes of a site, 230 at most." default:"4"`
	Clients  int           `help:"Callers at a time." default:"8"`
	Rollouts bool          `help:"Roll out a version at the end."`
	Keep     string        `help:"Directory for settings and logs of one seed." type:"path"`
}

// errSoak is the end of a soak that found something.
var errSoak = errors.New("soak: promises were broken")

// Run plays the seeds and prints one line of JSON for each.
func (c *soakCommand) Run(ctx context.Context) error {
	var mu sync.Mutex
	var running sync.WaitGroup
	var failed error
	slots := make(chan struct{}, max(c.Parallel, 1))
	for seed := c.Seed; seed < c.Seed+c.Seeds; seed++ {
		slots <- struct{}{}
		running.Add(1)
		go func() {
			defer running.Done()
			defer func() { <-slots }()
			report, err := soak.Run(ctx, soak.Options{
				Binary: c.Router, Seed: seed, Faults: c.Faults, Routers: c.Routers, Clients: c.Clients, Rollouts: c.Rollouts, Dir: c.Keep,
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = errors.Join(failed, fmt.Errorf("seed %d: %w", seed, err))
			}
			if !report.Pass {
				failed = errors.Join(failed, errSoak)
			}
			_ = json.NewEncoder(os.Stdout).Encode(report) // nobody is left to read it
		}()
	}
	running.Wait()
	return failed
}
