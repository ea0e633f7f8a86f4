package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/zinniafork/zinniafork/internal/lab/compare"
	"github.com/zinniafork/zinniafork/internal/lab/report"
	"github.com/zinniafork/zinniafork/internal/lab/scenario"
)

type reportCommand struct {
	Scenario string        `arg:"" optional:"" help:"Scenario to run." default:"dc-drain"`
	Out      string        `help:"Folder for report.html and report.csv." default:"out" type:"path"`
	Policies []string      `help:"Placement policies." default:"bounded,rendezvous,round-robin,least-loaded,two-choices"`
	Seeds    []uint64      `help:"Seeds; the first one is shown over time." default:"1,2,3"`
	Site     string        `help:"Site to run." enum:"trinidad,gent" default:"trinidad"`
	Duration time.Duration `help:"Length of the load of one run." default:"20s"`
}

// Run compares the policies and writes the page.
func (c *reportCommand) Run(ctx context.Context) error {
	r := &report.Report{Scenario: c.Scenario, Site: c.Site, Seeds: c.Seeds, Made: time.Now()}
	var err error
	r.Rows, err = compare.Run(ctx, compare.Options{
		Scenario: scenario.Options{Scenario: c.Scenario, Site: c.Site, Duration: c.Duration},
		Policies: c.Policies,
		Seeds:    c.Seeds,
	}, func(out *scenario.Outcome) {
		sayRun(out)
		if out.Result.Seed == c.Seeds[0] {
			r.Runs = append(r.Runs, out)
		}
	})
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o750); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	if err := c.write("report.html", r.HTML); err != nil {
		return err
	}
	return c.write("report.csv", r.CSV)
}

// write fills one file of the report.
func (c *reportCommand) write(name string, fill func(io.Writer) error) error {
	path := filepath.Join(c.Out, name)
	file, err := os.Create(filepath.Clean(path))
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if err := fill(file); err != nil {
		_ = file.Close()
		return err
	}
	fmt.Println(path)
	return file.Close()
}
