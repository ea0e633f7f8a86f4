// Package identity tells which VM this process is: its name, data centre, site
// and advertised addresses, from settings.
package identity

import (
	"errors"
	"sync"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/settings"
)

// Name is the service's name in the kernel and of its settings section.
const Name = "vm"

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// Settings say which VM this process is. An advertised address that is left
// empty is the one that the process listens on.
type Settings struct {
	Name       fleet.VM         `toml:"name"`
	DataCentre fleet.DataCentre `toml:"data_centre"`
	Site       fleet.Site       `toml:"site"`
	PeerAddr   settings.Address `toml:"peer_addr"`
	CallerAddr settings.Address `toml:"caller_addr"`
	AdminAddr  settings.Address `toml:"admin_addr"`
	// Weight is the strength of the VM, in cores.
	Weight float64 `toml:"weight"`
}

// Interface names one of the interfaces that a VM advertises.
type Interface string

// Interfaces of a VM.
const (
	Peer   Interface = "peer"
	Caller Interface = "caller"
	Admin  Interface = "admin"
)

// Identity tells which VM this process is.
type Identity interface {
	// Self returns this VM's row. Addresses are complete once the services
	// that listen have started.
	Self() fleet.VMInfo
	// Incarnation returns the number of this process.
	Incarnation() fleet.Incarnation
	// SetListenAddr notes the address of an interface for which settings name no
	// advertised address.
	SetListenAddr(i Interface, address string)
}

// Service holds the identity.
type Service struct {
	settings    Settings
	incarnation fleet.Incarnation

	mu   sync.Mutex
	self fleet.VMInfo
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision reads the settings. The incarnation is the time of the start in
// nanoseconds, which rises with every start of the VM.
func (s *Service) Provision(c *kernel.Context) error {
	if err := c.Settings(&s.settings); err != nil {
		return err
	}
	s.incarnation = fleet.Incarnation(c.Clock.Now().UnixNano())
	s.self = fleet.VMInfo{
		VM:         s.settings.Name,
		DataCentre: s.settings.DataCentre,
		Site:       s.settings.Site,
		State:      fleet.VMLive,
		PeerAddr:   string(s.settings.PeerAddr),
		CallerAddr: string(s.settings.CallerAddr),
		AdminAddr:  string(s.settings.AdminAddr),
		Weight:     s.settings.Weight,
	}
	return nil
}

// Validate checks that the VM has a name.
func (s *Service) Validate() error {
	switch {
	case s.settings.Name == "":
		return errors.New("name: want the name of this VM in the VM list, have none")
	case s.settings.DataCentre == "":
		return errors.New("data_centre: want the data centre of this VM, have none")
	case s.settings.Site == "":
		return errors.New("site: want the site of this VM, have none")
	}
	return nil
}

// Self returns this VM's row.
func (s *Service) Self() fleet.VMInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self
}

// Incarnation returns the number of this process.
func (s *Service) Incarnation() fleet.Incarnation { return s.incarnation }

// SetListenAddr notes the address of an interface.
func (s *Service) SetListenAddr(i Interface, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	field := map[Interface]*string{
		Peer:   &s.self.PeerAddr,
		Caller: &s.self.CallerAddr,
		Admin:  &s.self.AdminAddr,
	}[i]
	if field != nil && *field == "" {
		*field = address
	}
}

// Interface guards.
var (
	_ Identity           = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Validator   = (*Service)(nil)
)
