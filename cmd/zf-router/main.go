// Command zf-router is the daemon that runs on every VM.
package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/alecthomas/kong"

	"github.com/zinniafork/zinniafork/internal/app"
	"github.com/zinniafork/zinniafork/internal/cli"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/settings"
	"github.com/zinniafork/zinniafork/internal/tomldoc"
)

type command struct {
	Settings string           `arg:"" help:"Path of the TOML settings file." type:"path"`
	Check    bool             `help:"Validate the settings and stop."`
	Version  kong.VersionFlag `help:"Print the version."`
}

// Run runs the router until a signal arrives, and then lets running requests
// end.
func (c *command) Run(ctx context.Context) error {
	k, process, err := c.assemble()
	var problems tomldoc.Problems
	if errors.As(err, &problems) {
		return problems
	}
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Println("settings are valid")
		return nil
	}
	running := context.WithoutCancel(ctx)
	if err := k.Start(running); err != nil {
		return err
	}
	<-ctx.Done()
	drain, cancel := context.WithTimeout(running, process.DrainLimit.Std())
	defer cancel()
	return k.Drain(drain)
}

func (c *command) assemble() (*kernel.Kernel, app.Process, error) {
	file, err := settings.Load(c.Settings)
	if err != nil {
		return nil, app.Process{}, err
	}
	process, err := app.LoadProcess(file)
	if err != nil {
		return nil, app.Process{}, err
	}
	k, err := app.NewRouter(kernel.Env{Log: process.Logger()}, file)
	return k, process, err
}

func main() {
	cli.Main("zf-router", "Routes callers' chats and orders to model engines and plain services.", &command{})
}
