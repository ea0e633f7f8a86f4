// Command zf-router is the daemon that runs on every VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/app"
	"github.com/zinniafork/zinniafork/internal/cli"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/logsink"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/telemetry"
	"github.com/zinniafork/zinniafork/internal/settings"
	"github.com/zinniafork/zinniafork/internal/tomldoc"
)

type command struct {
	Settings string           `arg:"" help:"Path of the TOML settings file." type:"path" env:"ZINNIAFORK_NODE_FILE"`
	Check    bool             `help:"Validate the settings and stop."`
	Version  kong.VersionFlag `help:"Print the version."`
}

// Run runs the router until a signal arrives, and then lets running requests
// end.
func (c *command) Run(ctx context.Context) error {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP) // never stopped: the default action ends the process
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	r, err := c.assemble(ctx, sink)
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
	go c.reload(hups, r.logger)
	return r.run(ctx)
}

// router is an assembled process.
type router struct {
	kernel  *kernel.Kernel
	process app.Process
	traces  *telemetry.Provider
	logger  *logrus.Logger
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
func (c *command) assemble(ctx context.Context, sink *logsink.Sink) (*router, error) {
	file, err := settings.Load(c.Settings)
	if err != nil {
		return nil, err
	}
	r := new(router)
	if r.process, err = app.LoadProcess(file); err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(r.process.CollectorGoal())
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
	r.logger = r.process.Logger(sink)
	env := kernel.Env{Log: r.logger, Tracer: r.traces.Tracer("zinniafork")}
	r.kernel, err = r.process.Stack.Assemble(env, file)
	return r, err
}

// reload reads the settings again at each SIGHUP and tells whether they are
// valid. Addresses and names of a running process don't change; what may
// change while it runs is configuration, which comes from the platform.
func (c *command) reload(hups <-chan os.Signal, logger *logrus.Logger) {
	for range hups {
		if _, err := settings.Load(c.Settings); err != nil {
			logger.WithError(err).Warn("process: Changed settings can't be read; the old ones stay.")
			continue
		}
		logger.Info("process: Settings were read again.")
	}
}

func main() {
	cli.Main("zf-router", "Routes callers' chats and orders to model engines and plain services.", &command{})
}
