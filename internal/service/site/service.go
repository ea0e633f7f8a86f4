package site

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/hubs"
	"github.com/zinniafork/zinniafork/internal/core/refresh"
	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/settings"
)

const (
	// tickPeriod is how often the schedule is asked.
	tickPeriod = 100 * time.Millisecond
	// readTimeout limits a read of the log. Answers take 4 ms as a rule; the
	// next router takes over sooner.
	readTimeout = 1500 * time.Millisecond
	// vmsPeriod is the time between reads of the VM list. Routers tell each
	// other of new rows; reading finds those that were out of touch.
	vmsPeriod = 15 * time.Second
	// firstWait is how long routers wait for the seeds when the whole system
	// starts for the first time, some ten seconds before its callers.
	firstWait = 2 * time.Second
	// vmsPeriodMin is that time while a router is heard that has no row here.
	vmsPeriodMin = time.Second
	// controlBytes is the budget of control traffic of one router in bytes per
	// second, and heartbeat the period of heartbeats: a dead router must leave
	// the directory's answers within two seconds.
	controlBytes = 14_000
	heartbeat    = 300 * time.Millisecond
	// treeHeartbeat is the period above the size of a mesh.
	treeHeartbeat = 500 * time.Millisecond
	// announceRetry is the time between tries to write this router's row.
	announceRetry = 2 * time.Second
)

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// Settings are the process settings of the site's state.
type Settings struct {
	// Seeds are peer addresses of routers that may know the site when the
	// platform's log is away.
	Seeds []settings.Address `toml:"seeds"`
	// FirstStart is true when the whole system starts for the first time. Seeds
	// read the log at once then, and others let them.
	FirstStart bool `toml:"first_start"`
}

// Service keeps the state.
type Service struct {
	settings Settings
	identity identity.Identity
	peers    peer.Peers
	members  members.Membership
	graph    members.Graph
	source   Source
	rows     *VMListSource
	clock    kernel.Clock
	logger   *logrus.Entry
	reads    metrics.Counter
	failures metrics.Counter
	watchers []func(sitestate.Changes)

	tree   atomic.Pointer[hubs.Tree]
	rowsMu sync.Mutex

	mu       sync.Mutex
	random   *rand.Rand
	state    *sitestate.State
	schedule *refresh.Schedule
	helped   map[fleet.VM]time.Time
	askedAt  time.Time
	vmsRead  time.Time
	newsAt   time.Time
	// gapSince is the time since which rows of the VM list may be missing.
	gapSince time.Time
	// lacksRow is true while a router is heard that has no row.
	lacksRow bool
	failing  bool
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision looks up the transport, the members and the source.
func (s *Service) Provision(c *kernel.Context) error {
	if err := c.Settings(&s.settings); err != nil {
		return err
	}
	var err error
	if s.identity, err = kernel.Lookup[identity.Identity](c, identity.Name); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[peer.Peers](c, peer.Name); err != nil {
		return err
	}
	if s.rows, err = kernel.Lookup[*VMListSource](c, rowsName); err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[members.Membership](c, members.Name); err != nil {
		return err
	}
	if s.graph, err = kernel.Lookup[members.Graph](c, members.Name); err != nil {
		return err
	}
	if s.source, err = kernel.Lookup[Source](c, SourceName); err != nil {
		return err
	}
	s.clock, s.logger = c.Clock, c.Logger()
	s.reads = metrics.GetOrRegisterCounter("site.reads", c.Metrics)
	s.failures = metrics.GetOrRegisterCounter("site.read_failures", c.Metrics)
	s.random = rand.New(rand.NewPCG(c.Seed, uint64(s.identity.Incarnation())))
	s.state = sitestate.New()
	s.schedule = refresh.New(s.identity.Self().VM)
	s.helped = make(map[fleet.VM]time.Time)
	s.peers.HandleControl(peer.KindConfig, s.hear)
	s.tree.Store(hubs.New(s.identity.Self().VM, nil))
	s.members.Tune(controlOf(s.tree.Load()))
	s.members.Watch(s.membersChanged)
	s.members.Attach(members.Extension{Key: positionsKey, Produce: s.producePositions, Consume: s.consumePositions})
	s.publishRows()
	return nil
}

// Start reads the log in the background.
func (s *Service) Start(ctx context.Context) error {
	go s.announce(ctx)
	go s.follow(ctx)
	return nil
}

// Table returns the configuration in force.
func (s *Service) Table() *routing.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Table()
}

// Available returns the targets of a service that may get new work.
func (s *Service) Available(service fleet.Service) []sitestate.AvailableTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Available(s.clock.Now(), service)
}

// Lookup returns a target that has not gone.
func (s *Service) Lookup(id fleet.Target) (sitestate.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Lookup(id)
}

// IsAvailable reports whether a target may still get new work.
func (s *Service) IsAvailable(id fleet.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.IsAvailable(s.clock.Now(), id)
}

// Routers returns the routers on the VM list.
func (s *Service) Routers() []fleet.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []fleet.VM
	for _, row := range s.state.VMs() {
		out = append(out, row.VM)
	}
	return out
}

// Age returns the age of the state.
func (s *Service) Age() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Age(s.clock.Now())
}

// Watch calls f after each change.
func (s *Service) Watch(f func(sitestate.Changes)) { s.watchers = append(s.watchers, f) }

// membersChanged takes the routers that are alive.
func (s *Service) membersChanged(view *members.Snapshot) {
	tree := hubs.New(s.identity.Self().VM, view.Members)
	s.tree.Store(tree)
	s.members.Tune(controlOf(tree))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedule.SetRouters(hubs.RankAlive(view.Members))
	s.lacksRow = slices.ContainsFunc(view.Members, s.unlisted)
}

// unlisted reports whether a router is heard of which the VM list says nothing.
func (s *Service) unlisted(m members.Member) bool {
	heard := !m.LastHeard.IsZero() && m.Status != members.StateDead
	return heard && m.CallerAddr == "" && m.VM != s.identity.Self().VM
}

// controlOf returns the rules of control traffic: in a mesh heartbeats cost
// little, in a tree they carry the ages of all routers.
func controlOf(tree *hubs.Tree) config.Control {
	c := config.Control{BytesPerSecond: controlBytes, Heartbeat: config.Duration(heartbeat)}
	if !tree.IsMesh() {
		c.Heartbeat = config.Duration(treeHeartbeat)
	}
	return c
}

// follow reads the log when the schedule says so.
func (s *Service) follow(ctx context.Context) {
	if s.settings.FirstStart && !s.isSeed() && s.clock.Sleep(ctx, firstWait) != nil {
		return
	}
	for {
		s.readWhenDue(ctx)
		if s.clock.Sleep(ctx, tickPeriod) != nil {
			return
		}
	}
}

// isSeed reports whether other routers know this one from their settings.
func (s *Service) isSeed() bool {
	return slices.Contains(s.settings.Seeds, settings.Address(s.identity.Self().PeerAddr))
}

func (s *Service) readWhenDue(ctx context.Context) {
	s.mu.Lock()
	now := s.clock.Now()
	age, known := s.state.Age(now)
	vms := s.vmsDue(now)
	due := s.schedule.Due(now, age, known) || s.gapDue(now)
	s.mu.Unlock()
	if !due {
		return
	}

	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(readTimeout, cancel)
	defer stop()
	if err := s.read(readCtx, vms); err != nil {
		s.readFailed(ctx, err, age, known)
	}
}

// read reads the log and tells the other routers what it says.
func (s *Service) read(ctx context.Context, vms bool) error {
	s.mu.Lock()
	began, from := s.clock.Now(), s.state.Positions()
	s.mu.Unlock()
	s.reads.Inc(1)
	update, err := s.source.Read(ctx, from, vms)
	if err != nil {
		return err
	}
	s.readSucceeded(update, began, vms)
	return nil
}

// gapDue reports whether it falls to this router to read the rows of the VM list
// that are missing between those that are known. The caller holds the lock.
func (s *Service) gapDue(now time.Time) bool {
	if !s.state.VMsIncomplete() {
		s.gapSince = time.Time{}
		return false
	}
	if s.gapSince.IsZero() {
		s.gapSince = now
	}
	return s.schedule.GapDue(now, s.gapSince)
}

// vmsDue reports whether to read the VM list too. The caller holds the lock.
func (s *Service) vmsDue(now time.Time) bool {
	period := vmsPeriod
	if s.lacksRow || s.state.VMsIncomplete() {
		period = vmsPeriodMin
	}
	return s.vmsRead.IsZero() || now.Sub(s.vmsRead) >= period
}

func (s *Service) readFailed(ctx context.Context, err error, age time.Duration, known bool) {
	if ctx.Err() != nil {
		return
	}
	s.failures.Inc(1)
	s.mu.Lock()
	if errors.Is(err, ErrBusy) {
		s.schedule.ReadRejected(s.clock.Now(), s.random.Float64())
	} else {
		s.schedule.ReadFailed(s.clock.Now(), known)
	}
	first := !s.failing
	s.failing = true
	s.mu.Unlock()
	if first {
		s.logger.WithError(err).WithFields(logrus.Fields{"age_ms": age.Milliseconds(), "known": known}).
			Warn("Lost the log.")
	}
}

func (s *Service) readSucceeded(update *sitestate.Update, began time.Time, vms bool) {
	s.mu.Lock()
	now := s.clock.Now()
	s.schedule.ReadSucceeded()
	if vms {
		s.vmsRead = now
	}
	regained := s.failing
	s.failing = false
	s.mu.Unlock()
	update.Age = now.Sub(began)
	if regained {
		s.logger.Info("Regained the log.")
	}
	s.apply(update, "log")
	s.broadcast(update, "")
}

// apply takes an update from the log or from another router.
func (s *Service) apply(update *sitestate.Update, from string) sitestate.Changes {
	s.mu.Lock()
	news := s.state.Apply(s.clock.Now(), update)
	table := s.state.Table()
	if news.Any() {
		s.newsAt = s.clock.Now()
	}
	s.mu.Unlock()
	if len(news.VMs) > 0 {
		s.publishRows()
	}
	s.logNews(&news, from, update.Age, table)
	if news.Any() {
		for _, f := range s.watchers {
			f(news)
		}
	}
	return news
}

// logNews writes a line for each change of what the process believes.
func (s *Service) logNews(news *sitestate.Changes, from string, age time.Duration, table *routing.Table) {
	log := s.logger.WithFields(logrus.Fields{"from": from, "age_ms": age.Milliseconds()})
	if news.Config {
		log.WithField("version", table.Config.Version).Info("Configuration is in force.")
	}
	for _, r := range news.Drains {
		log.WithFields(logrus.Fields{"data_centre": r.Key, "drained": !r.Gone, "offset": r.Offset}).Info("Drain mark changed.")
	}
	for _, r := range news.Targets {
		log.WithFields(logrus.Fields{
			"target": r.Key, "service": r.Value.Service, "gone": r.Gone, "leaving": r.Value.Leaving,
			"cold_ms": r.Value.Cold.Milliseconds(), "offset": r.Offset,
		}).Info("Target changed.")
	}
}

// publishRows gives the VM list to the members: known rows, this router's own,
// and seeds of which nothing else is known.
func (s *Service) publishRows() {
	// Updates are applied on several goroutines; the newest rows go last.
	s.rowsMu.Lock()
	defer s.rowsMu.Unlock()
	s.mu.Lock()
	rows := s.state.VMs()
	s.mu.Unlock()
	self := s.identity.Self()
	rows = slices.DeleteFunc(rows, func(r fleet.VMInfo) bool { return r.VM == self.VM })
	rows = append(rows, self)
	for _, seed := range s.settings.Seeds {
		name := fleet.VM(seed)
		if !slices.ContainsFunc(rows, func(r fleet.VMInfo) bool { return r.VM == name }) {
			rows = append(rows, fleet.VMInfo{VM: name, Site: self.Site, State: fleet.VMLive, PeerAddr: string(seed)})
		}
	}
	s.rows.Set(rows)
	s.graph.RefreshList()
}

// announce writes this router's row and tells the other routers.
func (s *Service) announce(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.announceOnce(ctx)
		if err == nil {
			return
		}
		s.logger.WithError(err).Warn("Cannot announce this VM.")
		if s.clock.Sleep(ctx, announceRetry) != nil {
			return
		}
	}
}

func (s *Service) announceOnce(ctx context.Context) error {
	tryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(readTimeout, cancel)
	defer stop()
	record, err := s.source.Announce(tryCtx, s.identity.Self())
	if err != nil {
		return err
	}
	s.mu.Lock()
	from := s.state.Positions()
	s.mu.Unlock()
	end := from
	from.VMs, end.VMs = record.Offset, record.Offset+1
	own := &sitestate.Update{VMs: []sitestate.Record[sitestate.VM]{record}, From: from, End: end, Age: -1}
	s.apply(own, "self")
	s.broadcast(own, "")
	return nil
}

// Validate checks that a source is there.
func (s *Service) Validate() error {
	if s.source == nil {
		return errors.New("source: want a source of the platform's log, have none")
	}
	return nil
}

// Interface guards.
var (
	_ View               = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
	_ kernel.Validator   = (*Service)(nil)
)
