// Package configsync follows the configuration on the platform's log and
// gives the other services the configuration in force.
//
// The log decides which version is the newest. Peers tell each other their
// versions in heartbeats, so that a router that cannot read the log gets the
// newest one from a peer.
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

// Source gives the configuration in force.
type Source interface {
	// Current returns the configuration in force, or nil when none is known.
	Current() *config.Effective
	// Watch calls f after each change, in order, on one goroutine. A watcher
	// must be added while its service is provisioned.
	Watch(f func(*config.Effective))
}

// Service follows the configuration stream.
type Service struct {
	settings Settings
	log      logstream.Log
	peers    peer.Peers
	members  members.Membership
	clock    kernel.Clock
	logger   *logrus.Entry
	meters   meters
	site     fleet.Site

	current  atomic.Pointer[config.Effective]
	watchers []func(*config.Effective)

	mu    sync.Mutex
	state *configstate.State
	// changed is closed and replaced after each change of state.
	changed chan struct{}
	// interrupt ends the read of the log that is under way.
	interrupt context.CancelFunc
	readBegan time.Time
	spread    *configstate.PeerVersions
	sent      map[fleet.VM]sentDigest
	problem   Problem
	// emergencies are the drains set beside versions; emergencyRound rises
	// with each change of them.
	emergencies    configstate.EmergencyMarks
	emergencyRound int
	sentMarks      map[fleet.VM]sentMarks

	lastRead  time.Time
	snapshots time.Time
}

// Problem tells why the newest version is not in force on this router.
type Problem struct {
	Version configstate.Version `json:"version"`
	Message string              `json:"message"`
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision looks up the log and the peers.
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
	s.meters = newMeters(c.Metrics)
	s.state = configstate.New()
	s.changed = make(chan struct{})
	s.spread = configstate.NewPeerVersions()
	s.sent = make(map[fleet.VM]sentDigest)
	s.sentMarks = make(map[fleet.VM]sentMarks)
	s.attach()
	s.attachEmergencies()
	return nil
}

// Validate checks the settings.
func (s *Service) Validate() error { return s.settings.validate() }

// Start follows the stream in the background.
func (s *Service) Start(ctx context.Context) error {
	s.site = s.members.Self().Site
	go s.follow(ctx)
	go s.deliver(ctx)
	go kernel.Every(ctx, s.clock, fetchPeriod, func(now time.Time) { s.fetch(ctx, now) })
	go kernel.Every(ctx, s.clock, snapshotPeriod, func(now time.Time) { s.refresh(ctx, now) })
	return nil
}

// Current returns the configuration in force.
func (s *Service) Current() *config.Effective { return s.current.Load() }

// Watch calls f after each change.
func (s *Service) Watch(f func(*config.Effective)) { s.watchers = append(s.watchers, f) }

// update changes the state, reports its events and wakes those who wait.
func (s *Service) update(change func(*configstate.State) []configstate.Event) {
	s.mu.Lock()
	events := change(s.state)
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.report(events)
	// A version that came from a peer hints that the log is late for others
	// too. Otherwise the next heartbeat is soon enough.
	if slices.ContainsFunc(events, func(e configstate.Event) bool { return e.Kind == configstate.EventUnconfirmed }) {
		s.members.SendHeartbeats()
	}
}

func (s *Service) report(events []configstate.Event) {
	for _, e := range events {
		entry := s.logger.WithField("offset", e.Offset)
		if e.Entry.Nonce != "" {
			entry = entry.WithFields(logrus.Fields{"scope": e.Entry.Scope, "author": e.Entry.Author, "nonce": e.Entry.Nonce})
		}
		switch e.Kind {
		case configstate.EventAccepted:
			s.meters.accepted.Inc(1)
			entry.Info("Configuration version accepted.")
		case configstate.EventRejected:
			s.meters.rejected.Inc(1)
			entry.WithError(e.Err).Warn("Configuration record rejected.")
		case configstate.EventGap:
			entry.Warn("The log dropped records that were not read.")
		case configstate.EventAnchored:
			entry.Debug("Configuration snapshot read.")
		case configstate.EventUnconfirmed:
			s.meters.ahead.Inc(1)
			entry.Info("Configuration version taken from a peer.")
		case configstate.EventCorrected:
			s.meters.corrected.Inc(1)
			entry.WithError(e.Err).Error("The log does not show a version that a peer gave.")
		case configstate.EventDiverged:
			s.meters.diverged.Inc(1)
			entry.WithError(e.Err).Error("Another router derived another configuration from the log.")
		}
	}
}

// waitChange returns a channel that is closed at the next change of state.
func (s *Service) waitChange() <-chan struct{} {
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
