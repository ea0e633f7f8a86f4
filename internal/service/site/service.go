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
	"golang.org/x/sync/singleflight"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/hubs"
	"github.com/zinniafork/zinniafork/internal/core/refresh"
	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/core/transit"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/settings"
)

const (
	// scheduleCheckPeriod is the interval of checks whether a read is due.
	scheduleCheckPeriod = 100 * time.Millisecond
	// readTimeout limits one read of the log or one write of this router's row.
	// Responses usually take 4 ms; the next router in the schedule takes over
	// before the timeout.
	readTimeout = 1500 * time.Millisecond
	// vmsPeriod is the interval of reads of the VM list. Routers send each other
	// new rows; the reads find rows of routers that had no connection.
	vmsPeriod = 15 * time.Second
	// firstStartWait is how long routers that are not seeds wait before their
	// first read when the whole system starts for the first time. Callers start
	// some ten seconds later.
	firstStartWait = 2 * time.Second
	// vmsPeriodUnlisted replaces vmsPeriod while a live router is missing on the
	// VM list or rows of the list are missing.
	vmsPeriodUnlisted = time.Second
	// controlBytesPerSecond is the budget for control traffic of one router.
	controlBytesPerSecond = 14_000
	// meshHeartbeat is the heartbeat period in a mesh. The directory must omit a
	// dead router within two seconds.
	meshHeartbeat = 300 * time.Millisecond
	// treeHeartbeat is the heartbeat period in a tree of routers, where heartbeats
	// are larger.
	treeHeartbeat = 500 * time.Millisecond
	// senderTTL is how long the clock of a router that is not heard is remembered.
	senderTTL = 5 * time.Minute
	// sampleSize and sampleAlpha weight the histogram of delays towards the last few
	// minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// Settings is the section of the process settings.
type Settings struct {
	// Seeds are peer addresses of routers to contact at the start. They provide
	// the state while the platform's log is unavailable.
	Seeds []settings.Address `toml:"seeds"`
	// FirstStart is true if the whole system starts for the first time: seeds
	// read the log at once, and other routers wait for their updates.
	FirstStart bool `toml:"first_start"`
}

// Service holds the state of the site. It implements View.
type Service struct {
	settings Settings
	identity identity.Identity
	peers    peer.Peers
	members  members.Membership
	graph    members.Graph
	source   Source
	vmList   *VMListSource
	clock    kernel.Clock
	logger   *logrus.Entry
	reads    metrics.Counter
	failures metrics.Counter
	restores metrics.Counter
	delays   metrics.Histogram
	watchers []func(sitestate.Changes)

	// tree determines which routers an update is sent to.
	tree atomic.Pointer[hubs.Tree]
	// announceWake holds a value when this router's row may be missing in the log.
	announceWake chan struct{}
	// publishMu serializes publishVMList.
	publishMu sync.Mutex
	// refreshes shares the reads of Refresh.
	refreshes singleflight.Group

	mu       sync.Mutex
	random   *rand.Rand
	state    *sitestate.State
	schedule *refresh.Schedule
	// catchUpSentAt holds when each peer was last sent a catch-up update.
	catchUpSentAt map[fleet.VM]time.Time
	// requestedAt is when an update was last requested from a peer.
	requestedAt time.Time
	// vmsReadAt is when the VM list was last read.
	vmsReadAt time.Time
	// announced is true once this process has written its row.
	announced bool
	// changedAt is when an update last changed the state.
	changedAt time.Time
	// gapSince is the time since which rows of the VM list are missing, zero if
	// none are.
	gapSince time.Time
	// unlistedRouter is true while a live router is missing on the VM list.
	unlistedRouter bool
	// pause detects that this process did not run for a while. currentRead is then
	// closed by the first read of the log that began after resumedAt, and is nil at
	// other times.
	pause       refresh.PauseDetector
	currentRead chan struct{}
	resumedAt   time.Time
	// processStamp and startedAt make up the stamps of messages to other routers, the last
	// of which is of stampedAt. transit measures how long those of the others took.
	processStamp uint64
	startedAt    time.Time
	stampedAt    time.Time
	transit      *transit.Estimator
	// logUnavailable is true from a failed read until the next successful one.
	logUnavailable bool
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision reads the settings, looks up the services in use and registers the
// handlers of peer messages and heartbeats.
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
	if s.vmList, err = kernel.Lookup[*VMListSource](c, vmListName); err != nil {
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
	s.restores = metrics.GetOrRegisterCounter("site.log_restores", c.Metrics)
	s.delays = metrics.GetOrRegisterHistogram("site.message_delay", c.Metrics, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	s.announceWake = make(chan struct{}, 1)
	s.random = rand.New(rand.NewPCG(c.Seed, uint64(s.identity.Incarnation())))
	s.startedAt = c.Clock.Now()
	s.processStamp, s.stampedAt, s.transit = s.random.Uint64()|1, s.startedAt, transit.New()
	s.state = sitestate.New()
	s.schedule = refresh.New(s.identity.Self().VM)
	s.catchUpSentAt = make(map[fleet.VM]time.Time)
	s.peers.HandleControl(peer.KindConfig, s.handleMessage)
	s.tree.Store(hubs.New(s.identity.Self().VM, nil))
	s.members.SetControl(controlSettings(s.tree.Load()))
	s.members.Watch(s.membersChanged)
	s.members.Attach(members.Extension{Key: positionsKey, Produce: s.producePositions, Consume: s.consumePositions})
	s.publishVMList()
	return nil
}

// Start announces this router and starts to read the log, both in the
// background.
func (s *Service) Start(ctx context.Context) error {
	go s.announce(ctx)
	go s.readLoop(ctx)
	return nil
}

// Table returns the configuration in force, nil if none is known.
func (s *Service) Table() *routing.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Table()
}

// Available returns the targets of a service that may get new requests.
func (s *Service) Available(service fleet.Service) []sitestate.AvailableTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Available(s.clock.Now(), service)
}

// Lookup returns a target that is listed, and false if it is not.
func (s *Service) Lookup(id fleet.Target) (sitestate.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Lookup(id)
}

// IsAvailable reports whether a target may get new requests.
func (s *Service) IsAvailable(id fleet.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.IsAvailable(s.clock.Now(), id)
}

// Routers returns the routers on the VM list, whether or not they are alive.
func (s *Service) Routers() []fleet.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []fleet.VM
	for _, row := range s.state.VMs() {
		out = append(out, row.VM)
	}
	return out
}

// Age returns the time since the log was last known to match the state, and
// false if the state never matched a read of the log.
func (s *Service) Age() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Age(s.clock.Now())
}

// Watch registers f to be called after each change. It must be called while
// services are provisioned; f must not block.
func (s *Service) Watch(f func(sitestate.Changes)) { s.watchers = append(s.watchers, f) }

// membersChanged takes a new membership: it rebuilds the tree, adjusts the
// heartbeats and ranks the routers that are alive in the read schedule.
func (s *Service) membersChanged(view *members.Snapshot) {
	tree := hubs.New(s.identity.Self().VM, view.Members)
	s.tree.Store(tree)
	s.members.SetControl(controlSettings(tree))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transit.Expire(s.clock.Now().Add(-senderTTL))
	s.schedule.SetRouters(hubs.RankAlive(view.Members))
	s.unlistedRouter = slices.ContainsFunc(view.Members, s.isUnlisted)
}

// isUnlisted reports whether a member other than this router has been heard, is
// not dead, and has no row on the VM list: only rows carry a caller address.
func (s *Service) isUnlisted(m members.Member) bool {
	heard := !m.LastHeard.IsZero() && m.Status != members.StateDead
	return heard && m.CallerAddr == "" && m.VM != s.identity.Self().VM
}

// controlSettings returns the settings of control traffic. Heartbeats are small
// in a mesh; in a tree they carry the ages of all routers and are sent less often.
func controlSettings(tree *hubs.Tree) config.Control {
	c := config.Control{BytesPerSecond: controlBytesPerSecond, Heartbeat: config.Duration(meshHeartbeat)}
	if !tree.IsMesh() {
		c.Heartbeat = config.Duration(treeHeartbeat)
	}
	return c
}

// readLoop reads the log whenever a read is due, until ctx ends.
func (s *Service) readLoop(ctx context.Context) {
	if s.settings.FirstStart && !s.isSeed() && s.clock.Sleep(ctx, firstStartWait) != nil {
		return
	}
	for {
		s.readWhenDue(ctx)
		if s.clock.Sleep(ctx, scheduleCheckPeriod) != nil {
			return
		}
	}
}

// isSeed reports whether this router is one of the seeds in the settings.
func (s *Service) isSeed() bool {
	return slices.Contains(s.settings.Seeds, settings.Address(s.identity.Self().PeerAddr))
}

// readWhenDue reads the log if a read is due, within readTimeout.
func (s *Service) readWhenDue(ctx context.Context) {
	s.mu.Lock()
	now := s.clock.Now()
	s.detectPause(now)
	age, known := s.state.Age(now)
	vms := s.vmsDue(now)
	due := s.schedule.Due(now, age, known) || s.gapDue(now) || s.eraDue(now) || s.currentRead != nil
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
	s.readEnded(now)
}

// read reads the changes since the known positions, applies them and sends them
// to the other routers. The VM list is read only if vms is true.
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

// gapDue reports whether rows of the VM list are missing between the known ones
// and this router is due to read them. The caller holds the lock.
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

// eraDue reports whether a response of the log has named a later era than that of
// the state. The caller holds the lock.
func (s *Service) eraDue(now time.Time) bool {
	return s.state.IsLaterEra(s.source.Era()) && s.schedule.MayRead(now)
}

// vmsDue reports whether the next read of the log includes the VM list. The
// caller holds the lock.
func (s *Service) vmsDue(now time.Time) bool {
	period := vmsPeriod
	if s.unlistedRouter || s.state.VMsIncomplete() {
		period = vmsPeriodUnlisted
	}
	return s.vmsReadAt.IsZero() || now.Sub(s.vmsReadAt) >= period
}

// readFailed schedules the next read after a failure and logs the first failure
// in a row. Age and known are those of the state.
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
	first := !s.logUnavailable
	s.logUnavailable = true
	s.mu.Unlock()
	if first {
		s.logger.WithError(err).WithFields(logrus.Fields{"age_ms": age.Milliseconds(), "known": known}).
			Warn("Cannot read the log.")
	}
}

// readSucceeded applies an update that was read from the log since began, and
// sends it to the other routers.
func (s *Service) readSucceeded(update *sitestate.Update, began time.Time, vms bool) {
	s.mu.Lock()
	now := s.clock.Now()
	s.schedule.ReadSucceeded()
	if vms {
		s.vmsReadAt = now
	}
	recovered := s.logUnavailable
	s.logUnavailable = false
	s.mu.Unlock()
	update.Age = now.Sub(began)
	if recovered {
		s.logger.Info("The log can be read again.")
	}
	s.apply(update, "log")
	s.broadcast(update, "")
}

// apply applies an update to the state, logs the changes and passes them to the
// watchers. From is the sending router, log or self.
func (s *Service) apply(update *sitestate.Update, from string) sitestate.Changes {
	s.mu.Lock()
	before := s.state.Positions()
	changes := s.state.Apply(s.clock.Now(), update)
	table := s.state.Table()
	if changes.Any() {
		s.changedAt = s.clock.Now()
	}
	s.mu.Unlock()
	if changes.Restored {
		s.logRestored(before, update.End, from)
		s.wakeAnnounce()
	}
	if len(changes.VMs) > 0 {
		s.publishVMList()
	}
	s.logChanges(&changes, from, update.Age, table)
	if changes.Any() {
		for _, f := range s.watchers {
			f(changes)
		}
	}
	return changes
}

// logRestored logs and counts that the log was restored from a copy.
func (s *Service) logRestored(before, after sitestate.Positions, from string) {
	s.restores.Inc(1)
	s.logger.WithFields(logrus.Fields{
		"from": from, "era": after.Era, "era_before": before.Era,
		"operator_end": after.Operator, "operator_end_before": before.Operator,
		"targets_end": after.Targets, "targets_end_before": before.Targets,
	}).Warn("The log was restored from a copy. What it lost is kept until it is written again.")
}

// logChanges logs each change of configuration, drain marks and targets.
func (s *Service) logChanges(changes *sitestate.Changes, from string, age time.Duration, table *routing.Table) {
	log := s.logger.WithFields(logrus.Fields{"from": from, "age_ms": age.Milliseconds()})
	if changes.Config {
		log.WithField("version", table.Config.Version).Info("Configuration is in force.")
	}
	for _, r := range changes.Drains {
		log.WithFields(logrus.Fields{"data_centre": r.Key, "drained": !r.Gone, "offset": r.Offset}).Info("Drain mark changed.")
	}
	for _, r := range changes.Rollouts {
		log.WithFields(logrus.Fields{
			"service": r.Key, "to": r.Value.To, "duration_ms": r.Value.Duration.Milliseconds(), "gone": r.Gone,
			"malformed": r.Value.Malformed, "offset": r.Offset,
		}).Info("Order of a roll-out changed.")
	}
	for _, r := range changes.Targets {
		log.WithFields(logrus.Fields{
			"target": r.Key, "service": r.Value.Service, "gone": r.Gone, "leaving": r.Value.Leaving,
			"cold_ms": r.Value.Cold.Milliseconds(), "offset": r.Offset,
		}).Info("Target changed.")
	}
}

// publishVMList passes the VM list to the members service: the known rows, this
// router's own row, and a row for each seed that has none.
func (s *Service) publishVMList() {
	// Updates are applied on several goroutines. The lock spans reading and
	// publishing the rows, so that older rows never replace newer ones.
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
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
	s.vmList.Set(rows)
	s.graph.RefreshList()
}

// Validate checks that a source was found.
func (s *Service) Validate() error {
	if s.source == nil {
		return errors.New("source: no source of the platform's log is configured")
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
