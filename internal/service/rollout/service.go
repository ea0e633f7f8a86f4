package rollout

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/ratelimit"
	"github.com/zinniafork/zinniafork/internal/core/rollout"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/service/site"
)

func init() {
	kernel.Register(Name, func() kernel.Service { return &Service{settings: defaultSettings()} })
}

// Settings are the bounds that the platform sets.
type Settings struct {
	// ExposeShare and ExposeSlack bound the requests to a bad version: that share of all
	// requests of the service, and that number more.
	ExposeShare float64 `toml:"expose_share"`
	ExposeSlack float64 `toml:"expose_slack"`
	// RollbackMs is the time after the 50th bad response from which a bad version gets no
	// request, StableWindowMs that after which a router that is not heard no longer counts.
	RollbackMs     int64 `toml:"rollback_ms"`
	StableWindowMs int64 `toml:"stable_window_ms"`
}

func defaultSettings() Settings {
	d := rollout.DefaultLimits
	return Settings{
		ExposeShare: d.ExposeShare, ExposeSlack: d.ExposeSlack,
		RollbackMs: d.Rollback.Milliseconds(), StableWindowMs: d.StableWindow.Milliseconds(),
	}
}

// limits returns the bounds for the decisions.
func (s *Settings) limits() rollout.Limits {
	return rollout.Limits{
		ExposeShare: s.ExposeShare, ExposeSlack: s.ExposeSlack,
		Rollback:     time.Duration(s.RollbackMs) * time.Millisecond,
		StableWindow: time.Duration(s.StableWindowMs) * time.Millisecond,
	}
}

// tickPeriod is the time between looks at what is due while there are orders.
const tickPeriod = 50 * time.Millisecond

// features tells whether orders are followed.
type features interface{ Rollouts() bool }

// Service implements Rollouts.
type Service struct {
	settings Settings
	enabled  bool
	site     site.View
	log      Log
	peers    peer.Peers
	self     fleet.VM
	process  fleet.Incarnation
	clock    kernel.Clock
	logger   *logrus.Entry
	registry metrics.Registry
	// wake holds a value when there may be a first order.
	wake chan struct{}

	mu       sync.Mutex
	rng      *rand.Rand
	services map[fleet.Service]*state
	// alive are the routers that answer, this one included, live those that may send
	// requests.
	alive, live []fleet.VM
	// asker knows the routers that know nothing of roll-outs.
	asker *ratelimit.Asker
}

// state is what a router knows of one service.
type state struct {
	service fleet.Service
	tracker *rollout.Tracker
	// forgotten is the last order that was forgotten after it was withdrawn. Routers that do not
	// know of that may still report on it.
	forgotten rollout.Order
	// reportAt is the time of the next report, reporting is true while one is under way.
	reportAt  time.Time
	reporting bool
	// holder is the router that has answered the last report, empty to ask the first one.
	holder fleet.VM
	// replied is closed with the next reply.
	replied chan struct{}
	control control
}

// Name returns the name of the service.
func (*Service) Name() string { return Name }

// Provision reads the settings and looks up the services in use.
func (s *Service) Provision(c *kernel.Context) error {
	if err := c.Settings(&s.settings); err != nil {
		return err
	}
	f, err := kernel.Lookup[features](c, featuresName)
	if err != nil {
		return err
	}
	if s.enabled = f.Rollouts(); !s.enabled {
		return nil
	}
	id, err := kernel.Lookup[identity.Identity](c, identity.Name)
	if err != nil {
		return err
	}
	if s.site, err = kernel.Lookup[site.View](c, site.Name); err != nil {
		return err
	}
	if s.log, err = kernel.Lookup[Log](c, site.SourceName); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[peer.Peers](c, peer.Name); err != nil {
		return err
	}
	membership, err := kernel.Lookup[members.Membership](c, members.Name)
	if err != nil {
		return err
	}
	s.self, s.process, s.clock, s.logger, s.registry = id.Self().VM, id.Incarnation(), c.Clock, c.Logger(), c.Metrics
	s.rng = rand.New(rand.NewPCG(c.Seed, uint64(id.Incarnation())))
	s.services, s.asker = make(map[fleet.Service]*state), ratelimit.NewAsker()
	s.wake = make(chan struct{}, 1)
	s.alive, s.live = []fleet.VM{s.self}, []fleet.VM{s.self}
	s.site.Watch(s.siteChanged)
	membership.Watch(s.membersChanged)
	s.peers.HandleQuery(peer.KindRollout, s.handleReport)
	s.peers.HandleControl(peer.KindRollout, s.handleOrder)
	return nil
}

// Validate checks the bounds.
func (s *Service) Validate() error {
	if v := s.settings; v.ExposeShare <= 0 || v.ExposeShare > 1 || v.ExposeSlack < 0 || v.RollbackMs <= 0 || v.StableWindowMs <= 0 {
		return errors.New("expose_share must be above 0 and at most 1, expose_slack not negative, rollback_ms and stable_window_ms positive")
	}
	return nil
}

// Start follows orders in the background.
func (s *Service) Start(ctx context.Context) error {
	if s.enabled {
		go s.run(ctx)
	}
	return nil
}

// run looks at what is due while there are orders.
func (s *Service) run(ctx context.Context) {
	for {
		if !s.tick(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-s.wake:
			}
		}
		if s.clock.Sleep(ctx, tickPeriod) != nil {
			return
		}
	}
}

// tick starts what is due, and reports whether there are orders.
func (s *Service) tick(ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	ordered := false
	for _, st := range s.services {
		if st.tracker.Gate() == nil {
			continue
		}
		ordered = true
		s.expireOrder(st)
		if !st.reporting && !now.Before(st.reportAt) {
			st.reporting = true
			go s.report(ctx, st)
		}
		s.tickControl(ctx, now, st)
	}
	return ordered
}

// state returns what is known of a service. The caller holds the lock.
func (s *Service) state(service fleet.Service) *state {
	st, ok := s.services[service]
	if !ok {
		st = &state{service: service, tracker: rollout.NewTracker(), replied: make(chan struct{})}
		s.services[service] = st
	}
	return st
}

// siteChanged takes orders.
func (s *Service) siteChanged(changes sitestate.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range changes.Rollouts {
		st := s.state(fleet.Service(r.Key))
		g := st.tracker.Gate()
		switch {
		case g != nil && r.Value.Era == g.Order().Era && r.Offset < g.Order().Offset:
			// Updates may be passed on out of order.
		case r.Gone && g != nil:
			g.Withdraw()
		case r.Gone:
		case !r.Value.Malformed:
			s.takeOrder(st, rollout.Order{
				Service: r.Value.Service, To: r.Value.To, Duration: r.Value.Duration, Offset: r.Value.Offset, Era: r.Value.Era,
			})
		}
	}
	if changes.Restored {
		for _, st := range s.services {
			st.control.restored = true
		}
	}
}

// takeOrder takes an order. The caller holds the lock.
func (s *Service) takeOrder(st *state, o rollout.Order) {
	now := s.clock.Now()
	if !st.tracker.SetOrder(now, o, s.rng) {
		return
	}
	st.reportAt = now
	s.logger.WithFields(logrus.Fields{"service": o.Service, "to": o.To, "duration_ms": o.Duration.Milliseconds()}).
		Info("Roll-out was ordered.")
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// expireOrder forgets a withdrawn order whose roll-out has ended, once the versions that may get
// nothing have no targets. The caller holds the lock.
func (s *Service) expireOrder(st *state) {
	g := st.tracker.Gate()
	reply, heard := g.Reply()
	if !g.Withdrawn() || !heard || !reply.Phase.Final() {
		return
	}
	rule := g.Rule(s.clock.Now(), "")
	for _, t := range s.site.Available(st.service) {
		if !rule.Allows(t.Version) {
			return
		}
	}
	st.forgotten = g.Order()
	st.tracker.ClearOrder()
	st.control = control{}
}

// membersChanged takes the live routers.
func (s *Service) membersChanged(view *members.Snapshot) {
	var alive, live []fleet.VM
	for _, m := range view.Members {
		switch m.Status {
		case members.StateAlive:
			alive = append(alive, m.VM)
			live = append(live, m.VM)
		case members.StateSuspect, members.StateLeaving:
			live = append(live, m.VM)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alive, s.live = alive, live
}

// first returns the router that drives the roll-out of a service, empty if none can. The caller
// holds the lock.
func (s *Service) first(now time.Time, service fleet.Service) fleet.VM {
	return ratelimit.First(fleet.Target(Name+"/"+service).Ref(), s.alive, s.asker.Usable(now))
}

// count counts an event.
func (s *Service) count(name string) { metrics.GetOrRegisterCounter(name, s.registry).Inc(1) }

// Interface guards.
var (
	_ Rollouts           = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Validator   = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
)
