// Command zfctl is the operators' command line.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"

	"github.com/zinniafork/zinniafork/internal/cli"
	"github.com/zinniafork/zinniafork/internal/config"
)

type command struct {
	Validate validateCommand  `cmd:"" help:"Check a configuration file."`
	Version  kong.VersionFlag `help:"Print the version."`
}

type validateCommand struct {
	File string `arg:"" help:"Configuration file." type:"existingfile"`
}

// Run checks the file.
func (c *validateCommand) Run(context.Context) error {
	data, err := os.ReadFile(filepath.Clean(c.File))
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	if _, err := config.Decode(c.File, data); err != nil {
		return err
	}
	fmt.Println("configuration is valid")
	return nil
}

func main() {
	cli.Main("zfctl", "Publishes configuration and shows the state of a zinniafork fleet.", &command{})
}
