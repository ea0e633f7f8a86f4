// Package cli holds what the command lines of all binaries share.
package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"
)

// Version is the version of the build.
const Version = "0.1.0"

// Exit codes of all binaries. Wrong arguments end with ExitUsage.
const (
	ExitOK    = 0
	ExitError = 1
	ExitUsage = 80
)

// Main parses the arguments into grammar and runs the chosen command.
func Main(name, description string, grammar any) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	k := kong.Parse(grammar,
		kong.Name(name),
		kong.Description(description),
		kong.UsageOnError(),
		kong.Vars{"version": Version},
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err := k.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		stop()
		os.Exit(ExitError) //nolint:gocritic // stop has run
	}
}

// NewLogger returns a logger that writes to standard error.
func NewLogger(json bool) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(os.Stderr)
	if json {
		l.SetFormatter(&logrus.JSONFormatter{})
	}
	return l
}
