package main

import (
	"context"
	"os"

	"github.com/zinniafork/zinniafork/internal/lab/demo"
)

type demoCommand struct {
	Keep bool `help:"Leave the fleet running and print lines to try."`
}

// Run runs the demo.
func (c demoCommand) Run(ctx context.Context) error {
	return demo.Run(ctx, demo.Options{Keep: c.Keep, Out: os.Stdout})
}
