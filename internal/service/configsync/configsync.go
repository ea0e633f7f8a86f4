// Package configsync reads configuration versions from the platform's log,
// publishes new ones, and gives the other services the configuration in force.
//
// The log decides which version is the newest. Routers also send digests of
// their newest version in heartbeats, so that a router that cannot read the log
// fetches the version from a peer. Emergency drains take effect without a
// version, also while the log is unavailable.
package configsync

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/service/platform"
)

// Name is the service's name in the kernel.
const Name = "config"

// Stream is the log stream that carries the configuration.
const Stream = "config"

func init() {
	kernel.Register(Name, func() kernel.Service { return &Service{settings: DefaultSettings()} })
}

// Source provides the configuration in force.
type Source interface {
	// Current returns the configuration in force, or nil when none is known.
	Current() *config.Effective
	// Watch registers f, which is called after each change, in order and on one
	// goroutine. It may only be called while services are provisioned.
	Watch(f func(*config.Effective))
}

// Service reads the configuration stream and applies its versions.
type Service struct {
	settings Settings
	log      logstream.Log
	peers    peer.Peers
	members  members.Membership
	clock    kernel.Clock
	logger   *logrus.Entry
	metrics  serviceMetrics
	site     fleet.Site

	current  atomic.Pointer[config.Effective]
	watchers []func(*config.Effective)

	mu    sync.Mutex
	state *configstate.State
	// changed is closed and replaced after each change of state or of
	// emergencies.
	changed chan struct{}
	// cancelRead cancels the current read of the log, which began at
	// readStarted.
	cancelRead   context.CancelFunc
	readStarted  time.Time
	peerVersions *configstate.PeerVersions
	sentDigests  map[fleet.VM]sentDigest
	problem      Problem
	// emergencies are the emergency marks, which belong to no version;
	// emergencyRevision increases with each change of them.
	emergencies       configstate.EmergencyMarks
	emergencyRevision int
	sentMarks         map[fleet.VM]sentMarks

	// lastRead is the time of the last successful read of the log.
	lastRead time.Time
	// lastSnapshot is the time of the last attempt to append a snapshot.
	lastSnapshot time.Time
}

// Problem describes why a version is not in force on this router. The zero value
// means that there is no problem.
type Problem struct {
	Version configstate.Version `json:"version"`
	Message string              `json:"message"`
}

// Name returns [Name].
func (*Service) Name() string { return Name }

// Provision reads the settings, looks up the log, the members and the peers,
// and registers the handlers for heartbeats and queries.
func (s *Service) Provision(c *kernel.Context) error {
	if err := c.Settings(&s.settings); err != nil {
		return err
	}
	p, err := kernel.Lookup[platform.Platform](c, platform.Name)
	if err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[members.Membership](c, members.Name); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[peer.Peers](c, peer.Name); err != nil {
		return err
	}
	s.log, s.clock, s.logger = p.Log(), c.Clock, c.Logger()
	s.metrics = newServiceMetrics(c.Metrics)
	s.state = configstate.New()
	s.changed = make(chan struct{})
	s.peerVersions = configstate.NewPeerVersions()
	s.sentDigests = make(map[fleet.VM]sentDigest)
	s.sentMarks = make(map[fleet.VM]sentMarks)
	s.attachDigests()
	s.attachEmergencies()
	return nil
}

// Validate checks the settings.
func (s *Service) Validate() error { return s.settings.validate() }

// Start starts the goroutines that read the stream, apply changes, fetch versions
// from peers and append snapshots. They run until ctx ends.
func (s *Service) Start(ctx context.Context) error {
	s.site = s.members.Self().Site
	go s.follow(ctx)
	go s.applyChanges(ctx)
	go kernel.Every(ctx, s.clock, fetchPeriod, func(now time.Time) { s.fetch(ctx, now) })
	go kernel.Every(ctx, s.clock, snapshotPeriod, func(now time.Time) { s.appendSnapshot(ctx, now) })
	return nil
}

// Current implements [Source].
func (s *Service) Current() *config.Effective { return s.current.Load() }

// Watch implements [Source].
func (s *Service) Watch(f func(*config.Effective)) { s.watchers = append(s.watchers, f) }

// update changes the state, signals the change and reports the events.
func (s *Service) update(change func(*configstate.State) []configstate.Event) {
	s.mu.Lock()
	events := change(s.state)
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.report(events)
	// After a version from a peer, the log may be late for other routers too, so
	// the digest is sent at once. Otherwise the next heartbeat is soon enough.
	if slices.ContainsFunc(events, func(e configstate.Event) bool { return e.Kind == configstate.EventUnconfirmed }) {
		s.members.SendHeartbeats()
	}
}

// report logs and counts events of the state.
func (s *Service) report(events []configstate.Event) {
	for _, e := range events {
		entry := s.logger.WithField("offset", e.Offset)
		if e.Entry.Nonce != "" {
			entry = entry.WithFields(logrus.Fields{"scope": e.Entry.Scope, "author": e.Entry.Author, "nonce": e.Entry.Nonce})
		}
		switch e.Kind {
		case configstate.EventAccepted:
			s.metrics.accepted.Inc(1)
			entry.Info("Configuration version accepted.")
		case configstate.EventRejected:
			s.metrics.rejected.Inc(1)
			entry.WithError(e.Err).Warn("Configuration record rejected.")
		case configstate.EventGap:
			entry.Warn("The log dropped records that this router had not read.")
		case configstate.EventAnchored:
			entry.Debug("Configuration snapshot read.")
		case configstate.EventUnconfirmed:
			s.metrics.unconfirmed.Inc(1)
			entry.Info("Configuration version fetched from a peer.")
		case configstate.EventCorrected:
			s.metrics.corrected.Inc(1)
			entry.WithError(e.Err).Error("A configuration version fetched from a peer is not in the log.")
		case configstate.EventDiverged:
			s.metrics.diverged.Inc(1)
			entry.WithError(e.Err).Error("Another router derived a different configuration from the log.")
		}
	}
}

// changeSignal returns a channel that is closed at the next change of state or of
// emergency drains.
func (s *Service) changeSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Interface guards.
var (
	_ Config             = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Validator   = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
)
