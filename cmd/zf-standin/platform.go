package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/zinniafork/zinniafork/internal/platform/vmlist"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/standin/logd"
	"github.com/zinniafork/zinniafork/internal/standin/vmlistd"
)

type logFlags struct {
	Config           string        `help:"Configuration file to append first." type:"existingfile"`
	Retention        time.Duration `help:"Age at which records expire; 0s keeps them." default:"0s"`
	AppendsPerSecond float64       `help:"Limit of appends; 0 means none." default:"0"`
	LateAppends      time.Duration `help:"Time after which an append whose answer was lost takes effect." default:"0s"`
}

func (f *logFlags) build() (standin, error) {
	s := logd.NewWith(logd.Options{
		Retention:        f.Retention,
		AppendsPerSecond: f.AppendsPerSecond,
		LateAppends:      f.LateAppends,
	})
	if f.Config != "" {
		data, err := os.ReadFile(filepath.Clean(f.Config))
		if err != nil {
			return standin{}, fmt.Errorf("read configuration: %w", err)
		}
		s.Append(configsync.Stream, configsync.Genesis(data))
	}
	return standin{service: s.Handler(), records: func() any { return s.Counts() }}, nil
}

type logCommand struct {
	commonFlags
	logFlags
}

// Run serves the log.
func (c *logCommand) Run(ctx context.Context) error {
	s, err := c.build()
	if err != nil {
		return err
	}
	return c.run(ctx, s)
}

type listFlags struct {
	VMs string        `name:"vms" help:"JSON file with the first list, as the list is served." type:"existingfile"`
	Lag time.Duration `help:"Age of what the list shows." default:"0s"`
}

func (f *listFlags) build() (standin, error) {
	s := vmlistd.NewWith(vmlistd.Options{Lag: f.Lag})
	if f.VMs != "" {
		data, err := os.ReadFile(filepath.Clean(f.VMs))
		if err != nil {
			return standin{}, fmt.Errorf("read VM list: %w", err)
		}
		var list vmlist.List
		if err := json.Unmarshal(data, &list); err != nil {
			return standin{}, fmt.Errorf("%s: %w", f.VMs, err)
		}
		for _, vm := range list.VMs {
			s.Put(vm)
		}
	}
	return standin{
		service: s.Handler(),
		admin:   s.AdminHandler(),
		records: func() any { return s.List() },
	}, nil
}

type listCommand struct {
	commonFlags
	listFlags
}

// Run serves the VM list.
func (c *listCommand) Run(ctx context.Context) error {
	s, err := c.build()
	if err != nil {
		return err
	}
	return c.run(ctx, s)
}
