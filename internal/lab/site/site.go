// Package site describes the shapes of sites that experiments run: data
// centres, VMs, targets, client accounts and the delays between them.
package site

import (
	"fmt"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Zones of hosts that are in no data centre.
const (
	ZoneClients  = "clients"
	ZonePlatform = "platform"
)

// VM is one entry VM.
type VM struct {
	Name       fleet.VM
	DataCentre fleet.DataCentre
}

// Target is one engine or one worker.
type Target struct {
	Name       fleet.Target
	DataCentre fleet.DataCentre
	// Model is empty for a worker, Service for an engine.
	Model     fleet.Model
	Service   fleet.Service
	Slots     int
	ColdSlots int
	// ChecksFencing is true for a target that refuses orders with an old
	// fencing number.
	ChecksFencing bool
	// QuietCold is true for an engine that keeps its incarnation when it turns
	// cold.
	QuietCold bool
}

// IsEngine reports whether the target is a model engine.
func (t Target) IsEngine() bool { return t.Model != "" }

// Account is one client account with its share of the load.
type Account struct {
	Name  fleet.Account
	Share float64
	Key   string
}

// Shape is the shape of one site.
type Shape struct {
	Name        fleet.Site
	Member      fleet.Member
	Region      string
	DataCentres []fleet.DataCentre
	VMs         []VM
	Targets     []Target
	Accounts    []Account
	Model       fleet.Model
	// Services are the plain services; callers send orders to the first.
	Services []fleet.Service
	// ClientDelay and DataCentreDelay are one-way delays from callers and
	// between data centres.
	ClientDelay     time.Duration
	DataCentreDelay time.Duration
	// ChatRate and OrderRate are arrivals a second over all accounts.
	ChatRate  float64
	OrderRate float64
}

// plan holds the numbers that a shape is built from.
type plan struct {
	name     fleet.Site
	member   fleet.Member
	region   string
	model    fleet.Model
	services []fleet.Service
	routers  int
	engines  int
	workers  int
	accounts int
	delay    time.Duration
	chats    float64
	orders   float64
}

const (
	dataCentres     = 3
	dataCentreDelay = 500 * time.Microsecond
	engineSlots     = 12
	engineColdSlots = 2
	workerSlots     = 8
	workerColdSlots = 2
	// largeAccounts each send largeShare times the work of another account.
	largeAccounts = 3
	largeShare    = 5
)

var trinidad = plan{
	name:     "trinidad",
	member:   "signage-authority",
	region:   "port-of-spain",
	model:    "copydesk",
	services: []fleet.Service{"print"},
	routers:  9,
	engines:  12,
	workers:  3,
	accounts: 10,
	delay:    time.Millisecond,
	chats:    34,
	orders:   5,
}

var gent = plan{
	name:     "gent",
	member:   "taartdecor",
	region:   "gent",
	model:    "design",
	services: []fleet.Service{"desk"},
	routers:  8,
	engines:  9,
	workers:  3,
	accounts: 10,
	delay:    3 * time.Millisecond,
	chats:    26,
	orders:   6,
}

// Names lists the sites that ByName knows.
func Names() []string { return []string{string(trinidad.name), string(gent.name)} }

// ByName returns a site at today's size. Numbers above zero replace that of
// its routers and that of its targets, workers included; the load grows with
// the engines.
func ByName(name string, routers, targets int) (Shape, error) {
	var p plan
	switch fleet.Site(name) {
	case trinidad.name:
		p = trinidad
	case gent.name:
		p = gent
	default:
		return Shape{}, fmt.Errorf("site %q: want one of %v", name, Names())
	}
	if routers > 0 {
		p.routers = routers
	}
	if targets > 0 {
		p.resize(targets)
	}
	return p.shape(), nil
}

// resize shares targets between engines and workers as before, with at least
// one of each.
func (p *plan) resize(targets int) {
	before := p.engines
	workers := max(1, targets*p.workers/(p.engines+p.workers))
	p.engines, p.workers = max(1, targets-workers), workers
	grown := float64(p.engines) / float64(before)
	p.chats *= grown
	p.orders *= grown
}

func (p *plan) shape() Shape {
	s := Shape{
		Name:            p.name,
		Member:          p.member,
		Region:          p.region,
		Model:           p.model,
		Services:        p.services,
		ClientDelay:     p.delay,
		DataCentreDelay: dataCentreDelay,
		ChatRate:        p.chats,
		OrderRate:       p.orders,
	}
	for i := range dataCentres {
		s.DataCentres = append(s.DataCentres, fleet.DataCentre(fmt.Sprintf("%s-dc%d", p.name, i+1)))
	}
	for i := range p.routers {
		vm := fleet.VM(fmt.Sprintf("%s-vm%d", p.name, i+1))
		s.VMs = append(s.VMs, VM{Name: vm, DataCentre: s.DataCentres[i%dataCentres]})
	}
	for i := range p.engines {
		s.Targets = append(s.Targets, Target{
			Name:       fleet.Target(fmt.Sprintf("%s-%d", p.model, i+1)),
			DataCentre: s.DataCentres[i%dataCentres],
			Model:      p.model,
			Slots:      engineSlots,
			ColdSlots:  engineColdSlots,
			// Every second engine checks, every third one is quiet.
			ChecksFencing: i%2 == 0,
			QuietCold:     i%3 == 0,
		})
	}
	for _, service := range p.services {
		s.Targets = append(s.Targets, p.workersOf(service, s.DataCentres)...)
	}
	for i := range p.accounts {
		a := Account{Name: fleet.Account(fmt.Sprintf("%s-account%d", p.name, i+1)), Share: 1}
		if i < largeAccounts {
			a.Share = largeShare
		}
		a.Key = "key-of-" + string(a.Name)
		s.Accounts = append(s.Accounts, a)
	}
	return s
}

func (p *plan) workersOf(service fleet.Service, dataCentres []fleet.DataCentre) []Target {
	var out []Target
	for i := range p.workers {
		out = append(out, Target{
			Name:       fleet.Target(fmt.Sprintf("%s-%d", service, i+1)),
			DataCentre: dataCentres[i%len(dataCentres)],
			Service:    service,
			Slots:      workerSlots,
			ColdSlots:  workerColdSlots,
		})
	}
	return out
}

// Demo returns the site that the demo runs: 8 routers, engines, a print queue
// and an order desk.
func Demo() Shape {
	p := gent
	p.name = "demo"
	p.services = []fleet.Service{"print", "desk"}
	return p.shape()
}

// Delay returns the one-way delay between two zones.
func (s Shape) Delay(from, to string) time.Duration {
	switch {
	case from == to:
		return 0
	case from == ZoneClients || to == ZoneClients:
		return s.ClientDelay
	default:
		return s.DataCentreDelay
	}
}

// StatusLookup reports whether the workers of a service tell the outcome of an
// order. Every second service's do.
func (s Shape) StatusLookup(service fleet.Service) bool {
	return slices.Index(s.Services, service)%2 == 0
}

// Engines returns the targets that are model engines.
func (s Shape) Engines() []Target {
	var out []Target
	for _, t := range s.Targets {
		if t.IsEngine() {
			out = append(out, t)
		}
	}
	return out
}
