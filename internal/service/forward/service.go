package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/hubs"
	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/core/retry"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/service/site"
)

func init() {
	kernel.Register(Name, func() kernel.Service {
		return &Service{settings: Settings{RetryRatio: 0.2, RetrySlack: 20, RetryWindowSeconds: 10}}
	})
}

// Settings are the process settings of forwarding. The platform's figures for
// all routers together bound the requests that are sent again.
type Settings struct {
	// RetryRatio and RetrySlack allow ratio x requests + slack repeats in each
	// window.
	RetryRatio         float64 `toml:"retry_ratio"`
	RetrySlack         float64 `toml:"retry_slack"`
	RetryWindowSeconds int     `toml:"retry_window_seconds"`
	// ColdCaches is true when the engines start together with the routers, so
	// that there is nothing to learn of their caches.
	ColdCaches bool `toml:"cold_caches"`
}

// Service forwards requests.
type Service struct {
	settings Settings
	site     site.View
	targets  TargetClient
	peers    peer.Peers
	members  members.Membership
	self     fleet.VM
	clock    kernel.Clock
	logger   *logrus.Entry
	tracer   trace.Tracer
	meters   meters

	// tree is the paths by which routers spread news.
	tree    atomic.Pointer[hubs.Tree]
	running atomic.Int64
	closed  atomic.Bool
	// beatMoved holds a value when the time of the next digest has changed or
	// has come.
	beatMoved chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	balancer *balance.Balancer
	cold     *balance.ColdLimit
	outliers *outlier.Detector
	budgets  map[fleet.Service]*retry.WindowBudget
	routers  int
	born     map[fleet.Target]int64
	// names holds the targets that were heard of by their short names.
	names map[fleet.Ref]fleet.Target
	// writers and reader pack and unpack digests, tables counts the writers that
	// were made, and incarnation tells this process from earlier ones.
	writers     writers
	reader      *loadtable.Decoder
	tables      int
	incarnation fleet.Incarnation
	// beat tells when digests of load are due.
	beat *hubs.DigestTimer
	// listings are the caches that this router has asked targets for.
	listings []listing
	// knownAt is the time at which the first configuration was seen.
	knownAt time.Time
	// toMembers and toHubs are news that a hub passes on.
	toMembers outbox
	toHubs    outbox

	// greeted holds the processes that were told of the caches, greetedHub the
	// last hub, and alive the processes of the last view. Only the goroutine
	// that watches the members uses them.
	greeted    map[fleet.VM]fleet.Incarnation
	greetedHub fleet.VM
	alive      map[fleet.VM]fleet.Incarnation
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision reads the settings and looks up what it works with.
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
	if s.targets, err = kernel.Lookup[TargetClient](c, TargetClientName); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[peer.Peers](c, peer.Name); err != nil {
		return err
	}
	s.members, err = kernel.Lookup[members.Membership](c, members.Name)
	if err != nil {
		return err
	}
	s.clock, s.logger, s.tracer = c.Clock, c.Logger(), c.Tracer
	s.meters = newMeters(c.Metrics)
	s.random = rand.New(rand.NewPCG(c.Seed, uint64(id.Incarnation())))
	s.balancer = balance.New(id.Self().DataCentre, s.random)
	s.cold = balance.NewColdLimit(id.Self().VM)
	s.outliers = outlier.New()
	s.budgets = make(map[fleet.Service]*retry.WindowBudget)
	s.born = make(map[fleet.Target]int64)
	s.names = make(map[fleet.Ref]fleet.Target)
	tree := hubs.New(id.Self().VM, nil)
	s.tree.Store(tree)
	s.beat = hubs.NewDigestTimer(s.clock.Now(), tree)
	s.beatMoved = make(chan struct{}, 1)
	s.routers = 1
	s.self, s.incarnation = id.Self().VM, id.Incarnation()
	s.writers, s.reader = s.newWriters(), loadtable.NewDecoder()
	s.greeted = make(map[fleet.VM]fleet.Incarnation)
	s.site.Watch(s.siteChanged)
	s.members.Watch(s.membersChanged)
	s.peers.HandleControl(peer.KindLoad, s.hear)
	return nil
}

// Start sends digests in the background.
func (s *Service) Start(ctx context.Context) error {
	go s.tellLoad(ctx)
	if !s.settings.ColdCaches {
		go s.learnCaches(ctx)
	}
	return nil
}

// Ready reports whether requests can be served.
func (s *Service) Ready() bool { return s.site.Table() != nil && !s.closed.Load() }

// StopAccepting refuses new requests from now on.
func (s *Service) StopAccepting() { s.closed.Store(true) }

// Running returns the number of requests in progress.
func (s *Service) Running() int { return int(s.running.Load()) }

// siteChanged drops what was known of targets that started anew.
func (s *Service) siteChanged(news sitestate.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range news.Targets {
		id := fleet.Target(r.Key)
		if r.Gone {
			continue
		}
		if born, ok := s.born[id]; ok && born != r.Value.Born {
			s.balancer.ForgetCache(id)
			s.outliers.Reset(id.Ref())
		}
		s.names[id.Ref()] = id
		s.born[id] = r.Value.Born
	}
}

// membersChanged shares the limits among the routers that may send requests.
// Routers that were heard lately count, whatever their state.
func (s *Service) membersChanged(view *members.Snapshot) {
	var vms []fleet.VM
	for _, m := range view.Members {
		if m.Status == members.StateAlive || m.Status == members.StateSuspect || m.Status == members.StateLeaving {
			vms = append(vms, m.VM)
		}
	}
	tree := hubs.New(s.self, view.Members)
	s.tree.Store(tree)
	s.tellCaches(view)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beat.SetTree(tree)
	s.balancer.SetRelayed(!tree.IsMesh())
	s.cold.SetRouters(vms)
	s.routers = max(len(vms), 1)
	for _, b := range s.budgets {
		b.SetRouters(s.routers)
	}
}

// budget returns the repeats allowed at a service. The caller holds the lock.
func (s *Service) budget(name fleet.Service) *retry.WindowBudget {
	b, ok := s.budgets[name]
	if !ok {
		length := time.Duration(s.settings.RetryWindowSeconds) * time.Second
		b = retry.NewWindowBudget(length, s.settings.RetryRatio, s.settings.RetrySlack)
		b.SetRouters(s.routers)
		s.budgets[name] = b
	}
	return b
}

// draw returns a uniform number in [0, 1).
func (s *Service) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// Interface guards.
var (
	_ Forwarder          = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
)
