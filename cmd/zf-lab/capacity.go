package main

import (
	"context"
	"os"

	"github.com/zinniafork/zinniafork/internal/lab/capacity"
)

type capacityCommand struct {
	Routers []int     `help:"Numbers of routers of the idle fleets." default:"9,18,30,60,120"`
	Orders  []float64 `help:"Orders a second of the loaded fleets." default:"20,60,180"`
}

// Run prints the table of docs/CAPACITY.md from fresh measurements.
func (c *capacityCommand) Run(ctx context.Context) error {
	rows, err := capacity.Measure(ctx, capacity.Options{
		Routers:  c.Routers,
		Orders:   c.Orders,
		Progress: os.Stderr,
	})
	if err != nil {
		return err
	}
	return capacity.Print(os.Stdout, rows)
}
