// Command zf-router is the daemon that runs on every VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/zinniafork/zinniafork/internal/app"
	"github.com/zinniafork/zinniafork/internal/cli"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/telemetry"
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
	r, err := c.assemble(ctx)
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
	return r.run(ctx)
}

// router is an assembled process.
type router struct {
	kernel  *kernel.Kernel
	process app.Process
	traces  *telemetry.Provider
}

// run runs the router until ctx ends, and then drains it.
func (r *router) run(ctx context.Context) error {
	running := context.WithoutCancel(ctx)
	if err := r.kernel.Start(running); err != nil {
		return err
	}
	<-ctx.Done()
	drain, cancel := context.WithTimeout(running, r.process.DrainLimit.Std())
	defer cancel()
	err := r.kernel.Drain(drain)
	flush, stop := context.WithTimeout(running, flushLimit)
	defer stop()
	return errors.Join(err, r.traces.Shutdown(flush))
}

// flushLimit is the time that the last spans get.
const flushLimit = 2 * time.Second

// assemble reads the settings and provisions the services.
func (c *command) assemble(ctx context.Context) (*router, error) {
	file, err := settings.Load(c.Settings)
	if err != nil {
		return nil, err
	}
	r := new(router)
	if r.process, err = app.LoadProcess(file); err != nil {
		return nil, err
	}
	traces, err := telemetry.LoadTraces(file)
	if err != nil {
		return nil, err
	}
	var vm identity.Settings
	if err := file.Section(identity.Name, &vm); err != nil {
		return nil, err
	}
	if r.traces, err = telemetry.NewProvider(ctx, traces, string(vm.Name), os.Stdout); err != nil {
		return nil, err
	}
	r.kernel, err = app.NewRouter(kernel.Env{Log: r.process.Logger(), Tracer: r.traces.Tracer("zinniafork")}, file)
	return r, err
}

func main() {
	cli.Main("zf-router", "Routes callers' chats and orders to model engines and plain services.", &command{})
}
