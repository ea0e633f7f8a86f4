package slots

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

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

// Service implements Placer.
type Service struct {
	site    site.View
	peers   peer.Peers
	self    fleet.VM
	clock   kernel.Clock
	logger  *logrus.Entry
	metrics slotMetrics
	load    func(fleet.Ref) float64

	// routers are the live routers that may grant slots.
	routers atomic.Pointer[[]slotqueue.Router]

	// mu guards the fields below. It is never held while a queue is locked.
	mu     sync.Mutex
	random *rand.Rand
	asker  *slotqueue.Asker
	// ranked holds the routers that grant the slots of a service, the grantor first, by the
	// routers of rankedFor.
	ranked    map[fleet.Service][]fleet.VM
	rankedFor *[]slotqueue.Router
	queues    map[fleet.Service]*queue
}

// Name returns the name of the service.
func (*Service) Name() string { return Name }

// Provision looks up the services that placing depends on.
func (s *Service) Provision(c *kernel.Context) error {
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
	s.routers.Store(&[]slotqueue.Router{{VM: s.self, Weight: id.Self().Weight}})
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
	for _, m := range view.Members {
		if m.Status == members.StateAlive {
			routers = append(routers, slotqueue.Router{VM: m.VM, Weight: m.Weight})
		}
	}
	s.routers.Store(&routers)
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
