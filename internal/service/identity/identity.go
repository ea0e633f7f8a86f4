// Package identity provides the identity of this process: its VM name, data
// centre, site and weight from settings, the addresses that it advertises, and
// the incarnation that tells its restarts apart.
package identity

import (
	"errors"
	"sync"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/settings"
)

// Name is the name of the service in the kernel and of its settings section.
const Name = "vm"

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// Settings describe the VM of this process. For an advertised address that is
// left empty, the address that the process listens on is used.
type Settings struct {
	// Name is the name of this VM in the VM list.
	Name       fleet.VM         `toml:"name"`
	DataCentre fleet.DataCentre `toml:"data_centre"`
	Site       fleet.Site       `toml:"site"`
	// PeerAddr is the advertised address for other routers, CallerAddr for
	// callers and AdminAddr for operators.
	PeerAddr   settings.Address `toml:"peer_addr"`
	CallerAddr settings.Address `toml:"caller_addr"`
	AdminAddr  settings.Address `toml:"admin_addr"`
	// Weight is the computing capacity of the VM, in cores.
	Weight float64 `toml:"weight"`
}

// Interface identifies one of the network interfaces that a VM advertises.
type Interface string

// Interfaces of a VM.
const (
	// Peer is the interface for other routers.
	Peer Interface = "peer"
	// Caller is the interface for callers.
	Caller Interface = "caller"
	// Admin is the interface for operators.
	Admin Interface = "admin"
)

// Identity provides the identity of this process.
type Identity interface {
	// Self returns the VM of this process. Its addresses are complete once the
	// services that listen have started.
	Self() fleet.VMInfo
	// Incarnation returns the number of this process. It increases with each
	// start of the VM's router.
	Incarnation() fleet.Incarnation
	// SetListenAddr records the listen address of an interface. It has no effect
	// if settings give an advertised address of the interface.
	SetListenAddr(i Interface, address string)
}

// Service implements Identity from settings.
type Service struct {
	settings    Settings
	incarnation fleet.Incarnation

	mu   sync.Mutex
	self fleet.VMInfo
}

// Name returns the name of the service in the kernel.
func (*Service) Name() string { return Name }

// Provision reads the settings. The incarnation is the start time in nanoseconds
// since the Unix epoch, so that it increases with each start.
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

// Validate returns an error if the name, the data centre or the site is not set.
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

// Self returns the VM of this process.
func (s *Service) Self() fleet.VMInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self
}

// Incarnation returns the number of this process.
func (s *Service) Incarnation() fleet.Incarnation { return s.incarnation }

// SetListenAddr records the listen address of an interface, unless its address
// is set already.
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
