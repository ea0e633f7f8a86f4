// Command zf-standin serves small fakes of the platform and of the targets,
// for trials and tests.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"github.com/zinniafork/zinniafork/internal/cli"
	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/standin/engined"
	"github.com/zinniafork/zinniafork/internal/standin/logd"
	"github.com/zinniafork/zinniafork/internal/standin/plaind"
	"github.com/zinniafork/zinniafork/internal/standin/vmlistd"
)

type command struct {
	Log     logCommand       `cmd:"" help:"Serve the log service."`
	VMList  listCommand      `cmd:"" name:"vm-list" help:"Serve the VM list."`
	Engine  engineCommand    `cmd:"" help:"Serve a model engine."`
	Plain   plainCommand     `cmd:"" help:"Serve a worker of a plain service."`
	Version kong.VersionFlag `help:"Print the version."`
}

type listenFlag struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:0"`
}

type logCommand struct {
	listenFlag
	Config string `help:"Configuration file to append first." type:"existingfile"`
}

// Run serves the log.
func (c *logCommand) Run(ctx context.Context) error {
	s := logd.New()
	if c.Config != "" {
		data, err := os.ReadFile(filepath.Clean(c.Config))
		if err != nil {
			return fmt.Errorf("read configuration: %w", err)
		}
		s.Append(configsync.Stream, configsync.Genesis(data))
	}
	return serve(ctx, c.Listen, s.Handler())
}

type listCommand struct{ listenFlag }

// Run serves the VM list.
func (c *listCommand) Run(ctx context.Context) error {
	return serve(ctx, c.Listen, vmlistd.New().Handler())
}

type engineCommand struct {
	listenFlag
	Prefill  time.Duration `help:"Time before the first token." default:"20ms"`
	PerToken time.Duration `help:"Time between tokens." default:"5ms"`
	Tokens   int           `help:"Tokens in an answer." default:"20"`
}

// Run serves an engine.
func (c *engineCommand) Run(ctx context.Context) error {
	s := engined.New(engined.Options{Prefill: c.Prefill, PerToken: c.PerToken, Tokens: c.Tokens})
	return serve(ctx, c.Listen, s.Handler())
}

type plainCommand struct {
	listenFlag
	Name string `help:"Name of the worker." default:"worker"`
}

// Run serves a worker.
func (c *plainCommand) Run(ctx context.Context) error {
	return serve(ctx, c.Listen, plaind.New(c.Name).Handler())
}

func serve(ctx context.Context, address string, h http.Handler) error {
	s, err := httpserve.Start(ctx, kernel.SystemNetwork{}, address, h)
	if err != nil {
		return err
	}
	fmt.Println(s.URL())
	<-ctx.Done()
	return s.Close()
}

func main() {
	cli.Main("zf-standin", "Serves small fakes of the platform and of the targets.", &command{})
}
