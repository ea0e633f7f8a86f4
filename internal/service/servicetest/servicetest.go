// Package servicetest has in-memory stand-ins for the services that others
// depend on, for tests of single services.
package servicetest

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
	"github.com/zinniafork/zinniafork/internal/platform/vmlist"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/platform"
)

// Row returns the VM list's row of a VM. Its data centre is the name without
// the last letter.
func Row(vm fleet.VM) fleet.VMInfo {
	return fleet.VMInfo{
		VM:         vm,
		DataCentre: fleet.DataCentre(vm[:len(vm)-1]),
		Site:       "gent",
		State:      fleet.VMLive,
		PeerAddr:   "127.0.0.1:1",
	}
}

// Rows returns the rows of several VMs.
func Rows(vms ...fleet.VM) []fleet.VMInfo {
	var out []fleet.VMInfo
	for _, vm := range vms {
		out = append(out, Row(vm))
	}
	return out
}

// Platform is a platform without a log, whose VM list tests set.
type Platform struct {
	mu   sync.Mutex
	rows []fleet.VMInfo
	err  error
}

// Name returns the name of the service that this one stands for.
func (*Platform) Name() string { return platform.Name }

// Log returns nil.
func (*Platform) Log() logstream.Log { return nil }

// VMList returns the list.
func (p *Platform) VMList() vmlist.Source { return p }

// Set changes the answer of the VM list.
func (p *Platform) Set(rows []fleet.VMInfo, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows, p.err = rows, err
}

// Fetch returns the list.
func (p *Platform) Fetch(context.Context) (vmlist.List, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return vmlist.List{VMs: p.rows}, p.err
}

// Identity is a VM's identity.
type Identity struct {
	Row fleet.VMInfo
	Inc fleet.Incarnation
}

// Name returns the name of the service that this one stands for.
func (*Identity) Name() string { return identity.Name }

// Self returns the VM's row.
func (i *Identity) Self() fleet.VMInfo { return i.Row }

// Incarnation returns the number of the process.
func (i *Identity) Incarnation() fleet.Incarnation { return i.Inc }

// SetListenAddr does nothing.
func (*Identity) SetListenAddr(identity.Interface, string) {}

// Config is a configuration that tests set.
type Config struct {
	mu       sync.Mutex
	current  *config.Effective
	watchers []func(*config.Effective)
}

// Name returns the name of the service that this one stands for.
func (*Config) Name() string { return configsync.Name }

// Current returns the configuration in force.
func (c *Config) Current() *config.Effective {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Watch calls f after each change.
func (c *Config) Watch(f func(*config.Effective)) { c.watchers = append(c.watchers, f) }

// Set puts a configuration in force.
func (c *Config) Set(next *config.Config) {
	c.mu.Lock()
	c.current = &config.Effective{Config: next}
	c.mu.Unlock()
	for _, f := range c.watchers {
		f(c.current)
	}
}

// NewKernel returns a kernel that holds the given stand-ins and logs nothing.
func NewKernel(t *testing.T, services ...kernel.Service) *kernel.Kernel {
	t.Helper()
	return NewKernelOn(t, kernel.SystemNetwork{}, services...)
}

// NewKernelOn returns a kernel whose services use the given network.
func NewKernelOn(t *testing.T, network kernel.Network, services ...kernel.Service) *kernel.Kernel {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	k := kernel.New(kernel.Env{Log: logger, Seed: 1, Net: network}, nil, nil)
	for _, s := range services {
		must.NoError(t, k.Use(s))
	}
	return k
}

// NewIdentity returns the identity of a process that starts now.
func NewIdentity(vm fleet.VM) *Identity {
	return &Identity{Row: Row(vm), Inc: fleet.Incarnation(time.Now().UnixNano())}
}

// Interface guards.
var (
	_ platform.Platform = (*Platform)(nil)
	_ identity.Identity = (*Identity)(nil)
	_ configsync.Source = (*Config)(nil)
)
