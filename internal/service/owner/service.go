package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/digest"
	"github.com/zinniafork/zinniafork/internal/core/ownership"
	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/peer"
)

const (
	// tickPeriod is the time between steps of the lease state machines.
	tickPeriod = 25 * time.Millisecond
	// eventQueue is the number of changes that may wait for the watchers.
	eventQueue = 4096
	// memoryTime is the time for which a moved chat is remembered.
	memoryTime = 6 * time.Hour
	// startTime is the time after a start in which routers that were not heard
	// yet count as alive.
	startTime = 4 * time.Second
)

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// membership is what ownership needs of the members service.
type membership interface {
	members.Membership
	members.Relayer
}

// Service takes part in the ownership of all resources of the site.
type Service struct {
	config  configsync.Source
	members membership
	peers   peer.Peers
	clock   kernel.Clock
	logger  *logrus.Entry
	self    fleet.VM
	seed    uint64

	clients *clients
	// life ends when the process stops.
	life     context.Context
	watchers []func(Resource, bool)
	changes  chan change

	mu       sync.Mutex
	node     *ownership.Node
	declared map[Resource]fleet.DataCentre
	names    map[ownership.ID]Resource
	tickets  map[ownership.ConfirmationID]chan bool
	starts   map[ownership.ConfirmationID]start
	current  *config.Effective
	started  time.Time
	rules    placement.Rules
	nextID   uint64
	targets  map[fleet.Target]*ownedTarget
	held     map[*ownedTarget]struct{}
	byID     map[ownership.ID]*ownedTarget
	byShort  map[uint32]*ownedTarget
	idByKey  map[digest.Key]ownership.ID
	table    *digest.Table
	ownAt    time.Time
	sharedAt time.Time
	toldAt   time.Time
	toldLoad int
	nameList *nameList
	memory   *placement.AffinityTable
}

// change is a resource that was gained or lost.
type change struct {
	resource Resource
	id       ownership.ID
	held     bool
	handOver bool
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision looks up what ownership depends on.
func (s *Service) Provision(c *kernel.Context) error {
	var err error
	if s.config, err = kernel.Lookup[configsync.Source](c, configsync.Name); err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[membership](c, members.Name); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[peer.Peers](c, peer.Name); err != nil {
		return err
	}
	id, err := kernel.Lookup[identity.Identity](c, identity.Name)
	if err != nil {
		return err
	}
	s.self = id.Self().VM
	s.clock, s.logger, s.seed = c.Clock, c.Logger(), c.Seed
	s.changes = make(chan change, eventQueue)
	s.declared = make(map[Resource]fleet.DataCentre)
	s.names = make(map[ownership.ID]Resource)
	s.tickets = make(map[ownership.ConfirmationID]chan bool)
	s.starts = make(map[ownership.ConfirmationID]start)
	s.targets = make(map[fleet.Target]*ownedTarget)
	s.held = make(map[*ownedTarget]struct{})
	s.byID = make(map[ownership.ID]*ownedTarget)
	s.byShort = make(map[uint32]*ownedTarget)
	s.idByKey = make(map[digest.Key]ownership.ID)
	s.nameList = newNameList()
	s.table = digest.NewTable(s.self)
	s.memory = placement.NewAffinityTable(config.Defaults().Load.MemoryEntries, memoryTime, c.Clock.Now())
	s.clients = newClients(c.Env)
	s.life = context.Background()
	params := leaseParams(config.Defaults())
	random := rand.New(rand.NewPCG(c.Seed, uint64(id.Incarnation())))
	s.node = ownership.NewNode(s.self, id.Incarnation(), params, c.Clock.Now(), random)
	s.config.Watch(s.configure)
	s.members.Watch(func(*members.Snapshot) { s.look() })
	s.members.Attach(s.extension())
	s.peers.HandleControl(peer.KindLease, s.receive)
	return nil
}

// Start begins to claim and to vote.
func (s *Service) Start(ctx context.Context) error {
	s.mu.Lock()
	s.life = ctx
	s.started = s.clock.Now()
	s.mu.Unlock()
	s.clock.AfterFunc(startTime, s.look)
	go s.notify(ctx)
	go kernel.Every(ctx, s.clock, tickPeriod, s.tick)
	return nil
}

// SetRules tells how the policy in force wants requests to be treated. It must
// be called while services are provisioned.
func (s *Service) SetRules(r placement.Rules) { s.rules = r }

func (s *Service) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.act(s.node.Tick(now))
	s.tickTargets(now)
}

// leaseParams returns the lease rules of a configuration.
func leaseParams(c *config.Config) ownership.Params {
	p := ownership.DefaultParams(c.Control.Lease.Std())
	p.Voters = c.Control.Voters
	p.MaxRunTime = max(c.Deadlines.Chat.Std(), c.Deadlines.Service.Std())
	return p
}

// Declare adds a resource that is not a target.
func (s *Service) Declare(r Resource, home fleet.DataCentre) {
	s.mu.Lock()
	s.declared[r] = home
	s.mu.Unlock()
	s.step(s.setResources)
}

// Owner returns the router that this one believes to own the resource.
func (s *Service) Owner(r Resource) (fleet.VM, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Owner(s.clock.Now(), ownership.IDOf(string(r)))
}

// Holds reports whether this router holds an unlapsed lease.
func (s *Service) Holds(r Resource) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Holds(s.clock.Now(), ownership.IDOf(string(r)))
}

// Term returns the number of this router's present tenure of the resource.
func (s *Service) Term(r Resource) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Term(ownership.IDOf(string(r)))
}

// Confirm waits for fresh acknowledgements of a majority.
func (s *Service) Confirm(ctx context.Context, r Resource) error {
	answer := make(chan bool, 1)
	s.step(func() ownership.Actions {
		ticket, actions := s.node.Confirm(s.clock.Now(), ownership.IDOf(string(r)))
		s.tickets[ticket] = answer
		return actions
	})
	select {
	case ok := <-answer:
		if ok {
			return nil
		}
		return &call.Error{Code: call.CodeNotOwner, Step: "owner", Peer: string(s.self), Run: call.RunNot, Message: "lease of " + string(r) + " is lost"}
	case <-ctx.Done():
		return &call.Error{Code: call.CodeDeadline, Step: "owner", Peer: string(s.self), Run: call.RunNot, Message: "no majority confirmed the lease of " + string(r), Cause: ctx.Err()}
	}
}

// Watch calls f when this router gains or loses a resource.
func (s *Service) Watch(f func(Resource, bool)) { s.watchers = append(s.watchers, f) }

// step runs one step of the node and carries out its actions.
func (s *Service) step(f func() ownership.Actions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.act(f())
}

// act carries out actions. The caller holds the lock.
func (s *Service) act(a ownership.Actions) {
	for _, e := range a.Events {
		s.event(e)
	}
	for _, m := range a.Messages {
		data, err := encodeLease(m)
		if err != nil {
			s.logger.WithError(err).Error("Cannot encode a lease message.")
			continue
		}
		if err := s.peers.Send(m.To, peer.KindLease, data); err != nil {
			s.logger.WithError(err).WithField("peer", m.To).Debug("Lease message not sent.")
		}
	}
}

func (s *Service) event(e ownership.Event) {
	if t, ok := s.byID[e.ID]; ok {
		switch e.Kind {
		case ownership.Acquired:
			s.gainTarget(t, e.Residual)
		case ownership.Lost, ownership.HandOver:
			s.loseTarget(t)
		}
	}
	switch e.Kind {
	case ownership.Acquired, ownership.Lost, ownership.HandOver:
		s.queue(change{
			resource: s.names[e.ID],
			id:       e.ID,
			held:     e.Kind == ownership.Acquired,
			handOver: e.Kind == ownership.HandOver,
		})
	case ownership.Confirmed, ownership.Refused:
		for _, t := range e.Confirmations {
			if st, ok := s.starts[t]; ok {
				delete(s.starts, t)
				s.confirmed(st, e.Kind == ownership.Confirmed)
			}
			if answer, ok := s.tickets[t]; ok {
				delete(s.tickets, t)
				answer <- e.Kind == ownership.Confirmed
			}
		}
	}
}

func (s *Service) queue(c change) {
	select {
	case s.changes <- c:
	default:
		s.logger.WithField("resource", c.resource).Error("Change of ownership dropped, watchers are too slow.")
	}
}

// notify tells watchers of changes and gives back what is handed over once
// they know.
func (s *Service) notify(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-s.changes:
			s.logger.WithFields(logrus.Fields{"resource": c.resource, "held": c.held}).Info("Ownership changed.")
			for _, f := range s.watchers {
				f(c.resource, c.held)
			}
			if c.handOver {
				s.step(func() ownership.Actions { return s.release(c.id) })
			}
		}
	}
}

// release gives a resource back with the amount of work that still runs.
func (s *Service) release(id ownership.ID) ownership.Actions {
	now := s.clock.Now()
	if t, ok := s.byID[id]; ok {
		ceiling, pending := t.admission.MaxInFlight(now)
		return s.node.Release(now, id, ceiling, pending)
	}
	return s.node.Release(now, id, 0, 0)
}

// receive takes a lease message from another router.
func (s *Service) receive(from fleet.VM, payload []byte) {
	m, err := decodeLease(payload)
	if err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Lease message dropped.")
		return
	}
	s.step(func() ownership.Actions {
		now := s.clock.Now()
		switch {
		case m.Request != nil:
			return s.node.HandleRequest(now, from, m.Request)
		case m.Reply != nil:
			return s.node.HandleReply(now, from, m.Reply)
		}
		return ownership.Actions{}
	})
}

// configure takes a new configuration.
func (s *Service) configure(c *config.Effective) {
	s.members.Tune(c.Control)
	s.mu.Lock()
	s.current = c
	s.node.SetParams(leaseParams(c.Config))
	s.configureTargets(s.clock.Now(), c)
	s.mu.Unlock()
	s.step(s.setResources)
	s.look()
}

// setResources tells the node what exists. The caller holds the lock.
func (s *Service) setResources() ownership.Actions {
	var resources []ownership.Resource
	add := func(r Resource, home fleet.DataCentre) {
		resources = append(resources, ownership.Resource{Name: string(r), Home: home})
		s.names[ownership.IDOf(string(r))] = r
	}
	for r, home := range s.declared {
		add(r, home)
	}
	if s.current != nil {
		for i := range s.current.Targets {
			t := &s.current.Targets[i]
			add(TargetResource(t.Name), t.DataCentre)
		}
	}
	sortResources(resources)
	s.indexKeys(resources)
	return s.node.SetResources(s.clock.Now(), resources)
}

// look gives the node a new view of the site.
func (s *Service) look() {
	snapshot := s.members.Snapshot()
	s.step(func() ownership.Actions {
		s.table.SetRouters(namesOf(snapshot))
		now := s.clock.Now()
		starting := now.Sub(s.started) < startTime
		return s.node.SetView(now, viewOf(snapshot, s.current, starting))
	})
}

// Interface guards.
var (
	_ Ownership          = (*Service)(nil)
	_ Targets            = (*Service)(nil)
	_ Readiness          = (*Service)(nil)
	_ Admitter           = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
)
