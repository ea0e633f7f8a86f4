package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/scenario"
)

// errNotPassed ends a run that broke a rule; the rules are in its result.
var errNotPassed = errors.New("the run broke a rule")

type runCommand struct {
	Scenario string        `arg:"" help:"Scenario: steady, surge, engine-churn, dc-drain, vmlist-split, log-outage, router-kill, owner-pause, silent-connections, config-race or chaos."`
	Seed     uint64        `help:"Seed of the load and of the times of faults." default:"1"`
	Site     string        `help:"Site to run." enum:"trinidad,gent" default:"trinidad"`
	Routers  int           `help:"Number of routers; 0 takes the site's."`
	Targets  int           `help:"Number of targets; 0 takes the site's."`
	Duration time.Duration `help:"Length of the load." default:"20s"`
	Policy   string        `help:"Placement policy; empty takes the default."`
	Log      string        `help:"File for the routers' logs." type:"path"`
	History  string        `help:"File for all that was observed, as JSON." type:"path"`
}

// Run runs the scenario and prints its result as the last line.
func (c *runCommand) Run(ctx context.Context) error {
	log, closeLog, err := openLog(c.Log)
	if err != nil {
		return err
	}
	defer closeLog()
	out, err := scenario.Run(ctx, scenario.Options{
		Scenario: c.Scenario,
		Site:     c.Site,
		Seed:     c.Seed,
		Routers:  c.Routers,
		Targets:  c.Targets,
		Duration: c.Duration,
		Policy:   c.Policy,
		Progress: os.Stderr,
		Log:      log,
	})
	if err != nil {
		return err
	}
	if err := c.writeHistory(out.History); err != nil {
		return err
	}
	line, err := json.Marshal(out.Result)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	if !out.Result.Pass {
		return errNotPassed
	}
	return nil
}

func (c *runCommand) writeHistory(h *history.History) error {
	if c.History == "" {
		return nil
	}
	data, err := json.Marshal(h)
	if err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	return os.WriteFile(c.History, data, 0o600)
}

// openLog returns a logger that writes to a file, or nil for no file.
func openLog(path string) (*logrus.Logger, func(), error) {
	if path == "" {
		return nil, func() {}, nil
	}
	file, err := os.Create(filepath.Clean(path))
	if err != nil {
		return nil, nil, fmt.Errorf("open log: %w", err)
	}
	log := logrus.New()
	log.SetOutput(file)
	log.SetLevel(logrus.DebugLevel)
	return log, func() { _ = file.Close() }, nil
}
