// Package platform provides the clients of the platform's log service and VM list
// to the other services. Both clients use one HTTP client.
package platform

import (
	"errors"

	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
	"github.com/zinniafork/zinniafork/internal/platform/vmlist"
	"github.com/zinniafork/zinniafork/internal/settings"
	"github.com/zinniafork/zinniafork/internal/target"
)

// Name is the service's name in the kernel.
const Name = "platform"

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// Settings are the addresses of the platform's services. Both are required.
type Settings struct {
	// LogURL is the base URL of the log service.
	LogURL settings.URL `toml:"log_url"`
	// VMListURL is the base URL of the VM list service.
	VMListURL settings.URL `toml:"vm_list_url"`
}

// VMLister provides the client of the VM list.
type VMLister interface {
	// VMList returns the client of the VM list.
	VMList() vmlist.Source
}

// Platform provides the clients of the platform's services.
type Platform interface {
	VMLister
	// Log returns the client of the log service.
	Log() logstream.Log
}

// Service is the Platform of a router process, with clients over HTTP.
type Service struct {
	settings Settings
	log      logstream.Log
	vms      vmlist.Source
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision reads the settings and creates the clients.
func (s *Service) Provision(c *kernel.Context) error {
	if err := c.Settings(&s.settings); err != nil {
		return err
	}
	client := target.NewHTTPClient(c.Net)
	s.log = logstream.New(string(s.settings.LogURL), client)
	s.vms = vmlist.New(string(s.settings.VMListURL), client)
	return nil
}

// Validate returns an error if the address of a service is missing.
func (s *Service) Validate() error {
	switch {
	case s.settings.LogURL == "":
		return errors.New("log_url: want the URL of the log service, have none")
	case s.settings.VMListURL == "":
		return errors.New("vm_list_url: want the URL of the VM list, have none")
	}
	return nil
}

// Log returns the client of the log service.
func (s *Service) Log() logstream.Log { return s.log }

// VMList returns the client of the VM list.
func (s *Service) VMList() vmlist.Source { return s.vms }

// Interface guards.
var (
	_ Platform           = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Validator   = (*Service)(nil)
)
