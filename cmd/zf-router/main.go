// Command zf-router is the daemon that runs on every VM.
package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kong"

	"github.com/zinniafork/zinniafork/internal/app"
	"github.com/zinniafork/zinniafork/internal/cli"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/settings"
)

type command struct {
	Settings   string           `arg:"" help:"Path of the TOML settings file." type:"path"`
	Check      bool             `help:"Validate the settings and stop."`
	DrainLimit time.Duration    `help:"Time that running requests get after SIGTERM." default:"90s"`
	LogJSON    bool             `help:"Write logs as JSON."`
	Version    kong.VersionFlag `help:"Print the version."`
}

// Run runs the router until a signal arrives.
func (c *command) Run(ctx context.Context) error {
	file, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	k, err := app.NewRouter(kernel.Env{Log: cli.NewLogger(c.LogJSON)}, file)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Println("settings are valid")
		return nil
	}
	if err := k.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	<-ctx.Done()
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.DrainLimit)
	defer cancel()
	return k.Drain(drain)
}

func main() {
	cli.Main("zf-router", "Routes callers' chats and orders to model engines and plain services.", &command{})
}
