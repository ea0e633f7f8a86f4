// Package cli holds what the command lines of all binaries share.
package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Version is the version of the build.
const Version = "0.1.0"

// Exit codes of all binaries. Wrong arguments end with ExitUsage.
const (
	ExitOK    = 0
	ExitError = 1
	ExitUsage = 80
)

// Coder is an error that asks for an exit code of its own.
type Coder interface {
	ExitCode() int
}

// Main parses the arguments into grammar and runs the chosen command. Each of
// before is called with the parser first.
func Main(name, description string, grammar any, before ...func(*kong.Kong)) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parser := kong.Must(grammar,
		kong.Name(name),
		kong.Description(description),
		kong.ShortUsageOnError(),
		kong.Vars{"version": Version},
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	for _, f := range before {
		f(parser)
	}
	k, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := k.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		stop()
		os.Exit(exitCode(err)) //nolint:gocritic // stop has run
	}
}

func exitCode(err error) int {
	var coder Coder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return ExitError
}
