package slots

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/slotqueue"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/service/site"
)

func init() { kernel.Register(Name, func() kernel.Service { return new(Service) }) }

// Settings are the process settings of placing. All routers need the same.
type Settings struct {
	// MaxSlotsPerRouter is the number of slots for each live router below which the slots of a
	// service are granted by one router, zero for no services. Routers that have few requests
	// in flight know too little of targets with few slots.
	MaxSlotsPerRouter float64 `toml:"max_slots_per_router"`
}

// Service implements Placer.
type Service struct {
	settings Settings

	site    site.View
	peers   peer.Peers
	self    fleet.VM
	clock   kernel.Clock
	logger  *logrus.Entry
	metrics slotMetrics
	load    func(fleet.Ref) float64

	// routers are the live routers that may grant slots, and alive is the number of routers
	// that may send requests.
	routers atomic.Pointer[[]slotqueue.Router]
	alive   atomic.Int64

	// mu guards the fields below. It is never held while a queue is locked.
	mu     sync.Mutex
	random *rand.Rand
	asker  *slotqueue.Asker
	// ranked holds the routers that grant the slots of a service, the grantor first, by the
	// routers of rankedFor.
	ranked    map[fleet.Service][]fleet.VM
	rankedFor *[]slotqueue.Router
	queues    map[fleet.Service]*queue
	// scopes holds which services are placed.
	scopes map[fleet.Service]*slotqueue.Scope
}

// Name returns the name of the service.
func (*Service) Name() string { return Name }

// Provision looks up the services that placing depends on.
func (s *Service) Provision(c *kernel.Context) error {
	if err := c.Settings(&s.settings); err != nil {
		return err
	}
	id, err := kernel.Lookup[identity.Identity](c, identity.Name)
	if err != nil {
		return err
	}
	if s.site, err = kernel.Lookup[site.View](c, site.Name); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[peer.Peers](c, peer.Name); err != nil {
		return err
	}
	membership, err := kernel.Lookup[members.Membership](c, members.Name)
	if err != nil {
		return err
	}
	s.self, s.clock, s.logger = id.Self().VM, c.Clock, c.Logger()
	s.metrics = newSlotMetrics(c.Metrics)
	s.load = func(fleet.Ref) float64 { return 0 }
	// The numbers of requests must differ between routers that start at once.
	s.random = rand.New(rand.NewPCG(c.Seed^xxhash.Sum64String(string(s.self)), uint64(id.Incarnation())))
	s.asker = slotqueue.NewAsker()
	s.ranked, s.queues = make(map[fleet.Service][]fleet.VM), make(map[fleet.Service]*queue)
	s.scopes = make(map[fleet.Service]*slotqueue.Scope)
	s.routers.Store(&[]slotqueue.Router{{VM: s.self, Weight: id.Self().Weight}})
	s.alive.Store(1)
	membership.Watch(s.membersChanged)
	s.peers.HandleQuery(peer.KindPlace, s.handlePlace)
	s.peers.HandleControl(peer.KindPlaceRelease, s.handleRelease)
	return nil
}

// UseLoads sets the source of known loads.
func (s *Service) UseLoads(load func(fleet.Ref) float64) { s.load = load }

// membersChanged takes the live routers of a view. Suspected routers may not answer, and those
// that leave have no time for a queue.
func (s *Service) membersChanged(view *members.Snapshot) {
	var routers []slotqueue.Router
	alive := 0
	for _, m := range view.Members {
		if m.Status == members.StateAlive || m.Status == members.StateSuspect {
			alive++
		}
		if m.Status == members.StateAlive {
			routers = append(routers, slotqueue.Router{VM: m.VM, Weight: m.Weight})
		}
	}
	s.routers.Store(&routers)
	s.alive.Store(int64(max(alive, 1)))
}

// scopePeriod is how often it is looked at whether a service is placed.
const scopePeriod = time.Second

// Places reports whether requests of a service ask for a slot.
func (s *Service) Places(service fleet.Service) bool {
	if s.settings.MaxSlotsPerRouter <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	scope, ok := s.scopes[service]
	if !ok {
		scope = new(slotqueue.Scope)
		s.scopes[service] = scope
	}
	if now := s.clock.Now(); scope.Due(now, scopePeriod) {
		slots := 0
		for _, t := range s.site.Available(service) {
			slots += t.Slots
		}
		scope.Update(now, float64(slots), s.settings.MaxSlotsPerRouter*float64(s.alive.Load()))
	}
	return scope.Placed()
}

// grantorOf returns the router that grants the slots of a service, empty if none answers. The
// caller holds the lock.
func (s *Service) grantorOf(service fleet.Service) fleet.VM {
	routers := s.routers.Load()
	if s.rankedFor != routers {
		clear(s.ranked)
		s.rankedFor = routers
	}
	ranked, ok := s.ranked[service]
	if !ok {
		ranked = slotqueue.RankGrantors(service, *routers)
		s.ranked[service] = ranked
	}
	return s.asker.Grantor(s.clock.Now(), ranked)
}

// Interface guards.
var (
	_ Placer             = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
)
