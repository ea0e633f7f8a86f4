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
	parser.FatalIfErrorf(WithUsageCode(err))
	if err := k.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		stop()
		os.Exit(exitCode(err)) //nolint:gocritic // stop has run
	}
}

// UsageCoder is a command whose exit code for wrong arguments is not ExitUsage.
type UsageCoder interface {
	UsageCode() int
}

// usageError is an error about arguments with the exit code of its command.
type usageError struct {
	error
	code int
}

// ExitCode returns the exit code.
func (e *usageError) ExitCode() int { return e.code }

// Unwrap returns the error beneath.
func (e *usageError) Unwrap() error { return e.error }

// WithUsageCode gives an error about arguments the exit code of the command that
// they name, if it has one of its own.
func WithUsageCode(err error) error {
	var wrong *kong.ParseError
	if !errors.As(err, &wrong) || wrong.Context == nil {
		return err
	}
	for _, step := range wrong.Context.Path {
		if step.Command == nil || !step.Command.Target.CanAddr() {
			continue
		}
		if command, ok := step.Command.Target.Addr().Interface().(UsageCoder); ok {
			return &usageError{err, command.UsageCode()}
		}
	}
	return err
}

func exitCode(err error) int {
	var coder Coder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return ExitError
}
