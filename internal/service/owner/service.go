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
	// tickPeriod is the time between steps of the ownership and admission state
	// machines.
	tickPeriod = 25 * time.Millisecond
	// changeQueueSize is the number of ownership changes that may wait for the
	// watchers. Further ones are dropped.
	changeQueueSize = 4096
	// chatTargetTTL is the time for which the target of a moved chat is kept.
	chatTargetTTL = 6 * time.Hour
	// startupGrace is the time after the start for which routers that have not
	// been heard from count as alive.
	startupGrace = 4 * time.Second
)

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// membership is the part of the members service that this service uses.
type membership interface {
	members.Membership
	members.Relayer
}

// Service implements Ownership, Targets, Readiness and Admitter for one router.
type Service struct {
	config  configsync.Source
	members membership
	peers   peer.Peers
	clock   kernel.Clock
	logger  *logrus.Entry
	self    fleet.VM
	seed    uint64

	clients *clientFactory
	// lifetime is the context of the service. It is set by Start and ends when
	// the process stops.
	lifetime context.Context
	watchers []func(Resource, bool)
	changes  chan ownershipChange

	// mu guards the fields below, except rules, which does not change after
	// services have been provisioned.
	mu            sync.Mutex
	node          *ownership.Node
	declared      map[Resource]fleet.DataCentre
	names         map[ownership.ID]Resource
	confirmations map[ownership.ConfirmationID]chan bool
	pendingStarts map[ownership.ConfirmationID]pendingStart
	current       *config.Effective
	started       time.Time
	rules         placement.Rules
	nextID        uint64
	targets       map[fleet.Target]*ownedTarget
	held          map[*ownedTarget]struct{}
	byID          map[ownership.ID]*ownedTarget
	byShortHash   map[uint32]*ownedTarget
	idByKey       map[digest.Key]ownership.ID
	table         *digest.Table
	ownDigestsAt  time.Time
	groupLoadAt   time.Time
	announcedAt   time.Time
	announcedLoad int
	resourceIndex *resourceIndex
	affinity      *placement.AffinityTable
}

// ownershipChange is a resource that was acquired, lost or asked to be handed
// over, for the watchers.
type ownershipChange struct {
	resource Resource
	id       ownership.ID
	held     bool
	handOver bool
}

// Name returns the service's name in the kernel.
func (*Service) Name() string { return Name }

// Provision looks up the services that this one depends on and registers its
// handlers with them.
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
	s.changes = make(chan ownershipChange, changeQueueSize)
	s.declared = make(map[Resource]fleet.DataCentre)
	s.names = make(map[ownership.ID]Resource)
	s.confirmations = make(map[ownership.ConfirmationID]chan bool)
	s.pendingStarts = make(map[ownership.ConfirmationID]pendingStart)
	s.targets = make(map[fleet.Target]*ownedTarget)
	s.held = make(map[*ownedTarget]struct{})
	s.byID = make(map[ownership.ID]*ownedTarget)
	s.byShortHash = make(map[uint32]*ownedTarget)
	s.idByKey = make(map[digest.Key]ownership.ID)
	s.resourceIndex = newResourceIndex()
	s.table = digest.NewTable(s.self)
	s.affinity = placement.NewAffinityTable(config.Defaults().Load.MemoryEntries, chatTargetTTL, c.Clock.Now())
	s.clients = newClientFactory(c.Env)
	s.lifetime = context.Background()
	params := leaseParams(config.Defaults())
	random := rand.New(rand.NewPCG(c.Seed, uint64(id.Incarnation())))
	s.node = ownership.NewNode(s.self, id.Incarnation(), params, c.Clock.Now(), random)
	s.config.Watch(s.configure)
	s.members.Watch(func(*members.Snapshot) { s.updateView() })
	s.members.Attach(s.heartbeatExtension())
	s.peers.HandleControl(peer.KindLease, s.handleLease)
	return nil
}

// Start starts the ownership protocol and the notification of watchers. Both
// stop when ctx ends.
func (s *Service) Start(ctx context.Context) error {
	s.mu.Lock()
	s.lifetime = ctx
	s.started = s.clock.Now()
	s.mu.Unlock()
	s.clock.AfterFunc(startupGrace, s.updateView)
	go s.notifyWatchers(ctx)
	go kernel.Every(ctx, s.clock, tickPeriod, s.tick)
	return nil
}

// SetRules sets the rules of the placement policy for the owners of targets. It
// must be called while services are provisioned.
func (s *Service) SetRules(r placement.Rules) { s.rules = r }

func (s *Service) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.execute(s.node.Tick(now))
	s.tickTargets(now)
}

// leaseParams returns the limits of the lease protocol for a configuration.
func leaseParams(c *config.Config) ownership.Params {
	p := ownership.DefaultParams(c.Control.Lease.Std())
	p.Voters = c.Control.Voters
	p.MaxRunTime = max(c.Deadlines.Chat.Std(), c.Deadlines.Service.Std())
	return p
}

// Declare adds a resource that is not a target, with its home data centre or an
// empty one for any.
func (s *Service) Declare(r Resource, home fleet.DataCentre) {
	s.mu.Lock()
	s.declared[r] = home
	s.mu.Unlock()
	s.step(s.setResources)
}

// Owner returns the router that is believed to own the resource. It is false if
// none is known.
func (s *Service) Owner(r Resource) (fleet.VM, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Owner(s.clock.Now(), ownership.IDOf(string(r)))
}

// Holds reports whether this router holds the resource with a valid lease.
func (s *Service) Holds(r Resource) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Holds(s.clock.Now(), ownership.IDOf(string(r)))
}

// Term returns the number of this router's current term as the owner of the
// resource, zero if it does not hold it.
func (s *Service) Term(r Resource) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Term(ownership.IDOf(string(r)))
}

// Confirm waits until a majority of the voters has acknowledged, after the call
// started, that this router holds the resource. The error is a *call.Error:
// call.CodeNotOwner if the lease is lost, call.CodeDeadline if ctx ends first.
func (s *Service) Confirm(ctx context.Context, r Resource) error {
	result := make(chan bool, 1)
	s.step(func() ownership.Actions {
		confirmation, actions := s.node.Confirm(s.clock.Now(), ownership.IDOf(string(r)))
		s.confirmations[confirmation] = result
		return actions
	})
	select {
	case ok := <-result:
		if ok {
			return nil
		}
		return &call.Error{Code: call.CodeNotOwner, Step: "owner", Peer: string(s.self), Run: call.RunNot, Message: "lease of " + string(r) + " is lost"}
	case <-ctx.Done():
		return &call.Error{Code: call.CodeDeadline, Step: "owner", Peer: string(s.self), Run: call.RunNot, Message: "no majority confirmed the lease of " + string(r), Cause: ctx.Err()}
	}
}

// Watch calls f when this router acquires or loses a resource. It must be
// called while services are provisioned.
func (s *Service) Watch(f func(Resource, bool)) { s.watchers = append(s.watchers, f) }

// step calls a method of the node under the lock and executes the actions that
// it returns.
func (s *Service) step(f func() ownership.Actions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.execute(f())
}

// execute handles the events and sends the messages of a. The caller holds the
// lock.
func (s *Service) execute(a ownership.Actions) {
	for _, e := range a.Events {
		s.handleEvent(e)
	}
	for _, m := range a.Messages {
		data, err := encodeLease(m)
		if err != nil {
			s.logger.WithError(err).Error("Cannot encode a lease message.")
			continue
		}
		if err := s.peers.Send(m.To, peer.KindLease, data); err != nil {
			s.logger.WithError(err).WithField("peer", m.To).Debug("Cannot send a lease message.")
		}
	}
}

func (s *Service) handleEvent(e ownership.Event) {
	if t, ok := s.byID[e.ID]; ok {
		switch e.Kind {
		case ownership.Acquired:
			s.acquireTarget(t, e.Residual)
		case ownership.Lost, ownership.HandOver:
			s.releaseTarget(t)
		}
	}
	switch e.Kind {
	case ownership.Acquired, ownership.Lost, ownership.HandOver:
		s.queueChange(ownershipChange{
			resource: s.names[e.ID],
			id:       e.ID,
			held:     e.Kind == ownership.Acquired,
			handOver: e.Kind == ownership.HandOver,
		})
	case ownership.Confirmed, ownership.Refused:
		for _, id := range e.Confirmations {
			if st, ok := s.pendingStarts[id]; ok {
				delete(s.pendingStarts, id)
				s.handleConfirmation(st, e.Kind == ownership.Confirmed)
			}
			if result, ok := s.confirmations[id]; ok {
				delete(s.confirmations, id)
				result <- e.Kind == ownership.Confirmed
			}
		}
	}
}

func (s *Service) queueChange(c ownershipChange) {
	select {
	case s.changes <- c:
	default:
		s.logger.WithField("resource", c.resource).Error("Ownership change dropped: watchers are too slow.")
	}
}

// notifyWatchers passes ownership changes to the watchers. A resource that is
// to be handed over is released only after all watchers have returned.
func (s *Service) notifyWatchers(ctx context.Context) {
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

// release releases a resource for a hand-over, with the number of requests that
// still run at a target. The caller holds the lock.
func (s *Service) release(id ownership.ID) ownership.Actions {
	now := s.clock.Now()
	if t, ok := s.byID[id]; ok {
		maxInFlight, pending := t.admission.MaxInFlight(now)
		return s.node.Release(now, id, maxInFlight, pending)
	}
	return s.node.Release(now, id, 0, 0)
}

// handleLease handles a lease message of another router.
func (s *Service) handleLease(from fleet.VM, payload []byte) {
	m, err := decodeLease(payload)
	if err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Cannot decode a lease message.")
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

// configure applies a new configuration.
func (s *Service) configure(c *config.Effective) {
	s.members.SetControl(c.Control)
	s.mu.Lock()
	s.current = c
	s.node.SetParams(leaseParams(c.Config))
	s.configureTargets(s.clock.Now(), c)
	s.mu.Unlock()
	s.step(s.setResources)
	s.updateView()
}

// setResources passes the declared resources and the configured targets to the
// node. The caller holds the lock.
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

// updateView passes the current view of the site to the node and the table of
// digests.
func (s *Service) updateView() {
	snapshot := s.members.Snapshot()
	s.step(func() ownership.Actions {
		s.table.SetRouters(vmNames(snapshot))
		now := s.clock.Now()
		starting := now.Sub(s.started) < startupGrace
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
