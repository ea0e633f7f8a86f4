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
	"github.com/zinniafork/zinniafork/internal/core/overload"
	"github.com/zinniafork/zinniafork/internal/core/quarantine"
	"github.com/zinniafork/zinniafork/internal/core/ratelimit"
	"github.com/zinniafork/zinniafork/internal/core/reach"
	"github.com/zinniafork/zinniafork/internal/core/retry"
	"github.com/zinniafork/zinniafork/internal/core/selfreport"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/core/slotqueue"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/membudget"
	"github.com/zinniafork/zinniafork/internal/service/origins"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/service/rollout"
	"github.com/zinniafork/zinniafork/internal/service/site"
	"github.com/zinniafork/zinniafork/internal/service/slots"
)

func init() {
	kernel.Register(Name, func() kernel.Service {
		return &Service{settings: Settings{RetryRatio: 0.2, RetrySlack: 20, RetryWindowSeconds: 10}}
	})
}

// Settings are the process settings of forwarding. The retry limits are those that
// the platform sets for all routers together.
type Settings struct {
	// RetryRatio and RetrySlack allow RetryRatio x requests + RetrySlack retries per
	// service in each window of RetryWindowSeconds.
	RetryRatio         float64 `toml:"retry_ratio"`
	RetrySlack         float64 `toml:"retry_slack"`
	RetryWindowSeconds int     `toml:"retry_window_seconds"`
	// ColdCaches is true when the engines start together with the routers, so that
	// their caches are empty and need not be listed.
	ColdCaches bool `toml:"cold_caches"`
	// WorkLoad is true to measure the load of targets as their remaining work, in place of
	// requests per slot.
	WorkLoad bool `toml:"work_load"`
}

// Service implements Forwarder.
type Service struct {
	settings Settings
	site     site.View
	// quarantineLog keeps the parts in quarantine, and partLog what is to be written there.
	quarantineLog QuarantineLog
	partLog       partLog
	targets       TargetClient
	features      Features
	// work is nil unless load is measured as remaining work.
	work    *workState
	placer  slots.Placer
	origins origins.Origins
	// rollouts is nil unless the deployment asks for roll-outs.
	rollouts rollout.Rollouts
	peers    peer.Peers
	members  members.Membership
	self     fleet.VM
	memory   membudget.Budget
	clock    kernel.Clock
	logger   *logrus.Entry
	tracer   trace.Tracer
	metrics  requestMetrics

	// tree holds the paths along which routers spread updates and digests.
	tree    atomic.Pointer[hubs.Tree]
	running atomic.Int64
	stopped atomic.Bool
	// ctx ends with the service. probes holds a value for each probe under way.
	ctx    context.Context
	probes chan struct{}
	// digestWake holds a value when the time of the next digest has changed or has
	// come.
	digestWake chan struct{}

	// mu guards the fields up to toHubs.
	mu       sync.Mutex
	rng      *rand.Rand
	balancer *balance.Balancer
	cold     *balance.ColdLimit
	outliers *outlier.Detector
	reports  *selfreport.Tracker
	limits   *ratelimit.Tracker
	granter  *ratelimit.Granter
	asker    *ratelimit.Asker
	// brittle holds which targets fall over when they turn too many requests away, slots
	// grants theirs, and slotAsker keeps whom it is of use to ask.
	brittle   *ratelimit.Tracker
	slots     *ratelimit.SlotGranter
	slotAsker *ratelimit.Asker
	budgets   map[fleet.Service]*retry.WindowBudget
	// picker chooses targets of plain services with what this router knows.
	picker *slotqueue.Picker
	// quarantine keeps the requests and prompt parts that crash targets.
	quarantine *quarantine.Tracker
	// paths tells failures of this router's paths from failures of targets.
	paths *reach.Tracker
	// relays chooses among relayRouters, the other live routers, those that relay requests
	// to targets which this one can't reach.
	relays       *reach.Relays
	relayRouters []reach.Relay
	dataCentre   fleet.DataCentre
	// waiting holds the sends that have no response yet.
	waiting map[*send]struct{}
	// doubted holds the targets that broke or refused a connection since the process of
	// their entry was confirmed.
	doubted map[fleet.Target]bool
	// held are failures of targets that are not reported to other routers yet.
	held []heldFailure
	// limiters bound the load of the engines of each service.
	limiters map[fleet.Service]*overload.Limiter
	routers  int
	// liveRouters are the routers that may send requests, this one included. Of these,
	// grantRouters are not leaving, and heardRouters not suspected either.
	liveRouters  []fleet.VM
	grantRouters []fleet.VM
	heardRouters []fleet.VM
	// born holds the Born value of the last known process of each target, to detect
	// restarts.
	born map[fleet.Target]int64
	// targetNames maps the refs of targets to their names, targetServices to their
	// services.
	targetNames    map[fleet.Ref]fleet.Target
	targetServices map[fleet.Ref]fleet.Service
	// encoders and decoder encode and decode digests. encoderCount is the number of
	// encoders created, and incarnation distinguishes this process from earlier
	// ones.
	encoders     digestEncoders
	decoder      *loadtable.Decoder
	encoderCount int
	incarnation  fleet.Incarnation
	// digestTimer determines when digests are due.
	digestTimer *hubs.DigestTimer
	// listings are the cache listings that this router has requested.
	listings []cacheListing
	// configuredAt is the time at which the first configuration was seen.
	configuredAt time.Time
	// toMembers and toHubs collect the updates that a hub forwards.
	toMembers updates
	toHubs    updates
	// leaving holds the targets that said so to this router since its last digest.
	leaving []leavingTarget
	// down holds the processes that broke off requests and were found to be down since.
	down []leavingTarget

	// handledJoins holds the processes whose join was handled, lastParent the last
	// hub, and alive the live processes of the last view. They are used only by the
	// goroutine that watches the members.
	handledJoins map[fleet.VM]fleet.Incarnation
	lastParent   fleet.VM
	alive        map[fleet.VM]liveProcess
}

// Name returns the name of the service.
func (*Service) Name() string { return Name }

// Provision reads the settings and looks up the services that forwarding depends on.
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
	if s.memory, err = kernel.Lookup[membudget.Budget](c, membudget.Name); err != nil {
		return err
	}
	if s.quarantineLog, err = kernel.Lookup[QuarantineLog](c, site.SourceName); err != nil {
		return err
	}
	if s.targets, err = kernel.Lookup[TargetClient](c, TargetClientName); err != nil {
		return err
	}
	if s.features, err = kernel.Lookup[Features](c, FeaturesName); err != nil {
		return err
	}
	if s.placer, err = kernel.Lookup[slots.Placer](c, slots.Name); err != nil {
		return err
	}
	if s.origins, err = kernel.Lookup[origins.Origins](c, origins.Name); err != nil {
		return err
	}
	rollouts, err := kernel.Lookup[rollout.Rollouts](c, rollout.Name) // also if off: it has settings
	if err != nil {
		return err
	}
	if s.features.Rollouts() {
		s.rollouts = rollouts
	}
	if s.peers, err = kernel.Lookup[peer.Peers](c, peer.Name); err != nil {
		return err
	}
	s.members, err = kernel.Lookup[members.Membership](c, members.Name)
	if err != nil {
		return err
	}
	s.clock, s.logger, s.tracer = c.Clock, c.Logger(), c.Tracer
	s.metrics = newRequestMetrics(c.Metrics)
	s.provisionDecisions(c, id)
	s.provisionDigests(id)
	s.partLog = newPartLog()
	s.routers = 1
	s.placer.UseLoads(s.loadOf)
	s.site.Watch(s.siteChanged)
	s.members.Watch(s.membersChanged)
	s.peers.HandleControl(peer.KindLoad, s.handleDigest)
	s.peers.HandleQuery(peer.KindGrant, s.handleGrant)
	s.peers.HandleQuery(peer.KindSlot, s.handleSlot)
	s.peers.HandleQuery(peer.KindSnapshot, s.handleSnapshot)
	s.peers.HandleControl(peer.KindSlotRelease, s.handleSlotRelease)
	s.peers.HandleCall(peer.KindRelay, s.handleRelay)
	return nil
}

// provisionDecisions sets up the state machines.
func (s *Service) provisionDecisions(c *kernel.Context, id identity.Identity) {
	s.rng = rand.New(rand.NewPCG(c.Seed, uint64(id.Incarnation())))
	s.handledJoins = make(map[fleet.VM]fleet.Incarnation)
	s.balancer = balance.New(id.Self().DataCentre, s.rng)
	if s.work = newWorkState(s.settings.WorkLoad, c.Metrics); s.work != nil {
		s.balancer.SetSpeeds(s.work.model)
	}
	s.cold = balance.NewColdLimit(id.Self().VM)
	s.outliers = outlier.New()
	s.reports = selfreport.New()
	s.limits, s.granter, s.asker = ratelimit.New(), ratelimit.NewGranter(), ratelimit.NewAsker()
	s.brittle, s.slots, s.slotAsker = ratelimit.New(), ratelimit.NewSlotGranter(), ratelimit.NewAsker()
	s.picker = slotqueue.NewPicker(s.rng)
	s.quarantine = quarantine.New()
	s.paths, s.probes, s.ctx = reach.New(s.rng), make(chan struct{}, maxProbes), context.Background()
	s.budgets = make(map[fleet.Service]*retry.WindowBudget)
	s.limiters = make(map[fleet.Service]*overload.Limiter)
	s.waiting, s.doubted = make(map[*send]struct{}), make(map[fleet.Target]bool)
	s.relays, s.dataCentre = reach.NewRelays(s.rng), id.Self().DataCentre
	s.born = make(map[fleet.Target]int64)
	s.targetNames = make(map[fleet.Ref]fleet.Target)
	s.targetServices = make(map[fleet.Ref]fleet.Service)
}

// provisionDigests sets up the exchange of digests.
func (s *Service) provisionDigests(id identity.Identity) {
	tree := hubs.New(id.Self().VM, nil)
	s.tree.Store(tree)
	s.digestTimer = hubs.NewDigestTimer(s.clock.Now(), tree)
	s.digestWake = make(chan struct{}, 1)
	s.self, s.incarnation = id.Self().VM, id.Incarnation()
	s.encoders, s.decoder = s.newEncoders(), loadtable.NewDecoder()
}

// Start sends digests, lists caches and keeps the log of quarantined parts in the
// background.
func (s *Service) Start(ctx context.Context) error {
	s.ctx = ctx
	go kernel.Every(ctx, s.clock, pathCheckPeriod, s.probePaths)
	go s.sendDigests(ctx)
	go s.writeParts(ctx)
	if !s.settings.ColdCaches {
		go s.learnCaches(ctx)
		go s.learnQuarantine(ctx)
		go s.learnFromPeers(ctx)
	}
	return nil
}

// Ready reports whether requests can be served.
func (s *Service) Ready() bool { return s.site.Table() != nil && !s.stopped.Load() }

// StopAccepting refuses all requests from now on. Those in progress go on.
func (s *Service) StopAccepting() { s.stopped.Store(true) }

// Running returns the number of requests in progress.
func (s *Service) Running() int { return int(s.running.Load()) }

// siteChanged records the targets that have changed. It drops the cache and the
// failures of those that have restarted.
func (s *Service) siteChanged(changes sitestate.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports.Expire(s.clock.Now())
	s.limits.Expire(s.clock.Now())
	s.granter.Expire(s.clock.Now())
	s.asker.Expire(s.clock.Now())
	s.brittle.Expire(s.clock.Now())
	s.slots.Expire(s.clock.Now())
	s.slotAsker.Expire(s.clock.Now())
	if changes.Restored {
		s.rewriteParts()
	}
	for _, r := range changes.Targets {
		id := fleet.Target(r.Key)
		if r.Gone {
			delete(s.doubted, id)
			continue
		}
		if born, ok := s.born[id]; ok && born != r.Value.Born {
			s.engineDown(s.clock.Now(), engineOf(id, born, s.targetServices[id.Ref()]))
			s.balancer.ForgetCache(id)
			if s.work != nil {
				s.work.model.Forget(id.Ref())
			}
			s.outliers.Reset(id.Ref())
			delete(s.doubted, id)
			s.limits.Forget(id.Ref())
			s.brittle.Forget(id.Ref())
		}
		s.targetNames[id.Ref()] = id
		s.targetServices[id.Ref()] = r.Value.Service
		s.born[id] = r.Value.Born
	}
}

// membersChanged updates the paths of digests and divides the limits among the
// routers that may send requests. Suspected and leaving routers count too, as they
// may still send.
func (s *Service) membersChanged(view *members.Snapshot) {
	var vms, grant, heard []fleet.VM
	var relays []reach.Relay
	for _, m := range view.Members {
		if m.Status == members.StateAlive {
			heard = append(heard, m.VM)
			if m.VM != s.self {
				relays = append(relays, reach.Relay{VM: m.VM, DataCentre: m.DataCentre})
			}
		}
		if m.Status == members.StateAlive || m.Status == members.StateSuspect {
			grant = append(grant, m.VM)
		}
		if m.Status == members.StateAlive || m.Status == members.StateSuspect || m.Status == members.StateLeaving {
			vms = append(vms, m.VM)
		}
	}
	tree := hubs.New(s.self, view.Members)
	s.tree.Store(tree)
	s.shareCaches(view)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.digestTimer.SetTree(tree)
	s.balancer.SetRelayed(!tree.IsMesh())
	s.cold.SetRouters(vms)
	s.routers = max(len(vms), 1)
	s.liveRouters, s.grantRouters, s.heardRouters = vms, grant, heard
	s.relayRouters = relays
	s.relays.Expire(s.clock.Now())
	for _, b := range s.budgets {
		b.SetRouters(s.routers)
	}
	s.writeMissingParts()
}

// retryBudget returns the retry budget of a service. The caller holds the lock.
func (s *Service) retryBudget(name fleet.Service) *retry.WindowBudget {
	b, ok := s.budgets[name]
	if !ok {
		length := time.Duration(s.settings.RetryWindowSeconds) * time.Second
		b = retry.NewWindowBudget(length, s.settings.RetryRatio, s.settings.RetrySlack)
		b.SetRouters(s.routers)
		s.budgets[name] = b
	}
	return b
}

// randomFloat returns a uniformly distributed number in [0, 1).
func (s *Service) randomFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// Interface guards.
var (
	_ Forwarder          = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
)
