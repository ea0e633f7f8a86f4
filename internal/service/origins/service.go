package origins

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"github.com/zinniafork/zinniafork/internal/core/origin"
	"github.com/zinniafork/zinniafork/internal/core/ratelimit"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/service/site"
)

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// routersPerRecorder is the number of routers from which streams are divided among one
// more recorder.
const routersPerRecorder = 64

// expirePeriod is the interval of checks for what has expired.
const expirePeriod = time.Second

// Service implements Origins.
type Service struct {
	site    site.View
	log     Log
	peers   peer.Peers
	members members.Membership
	self    fleet.VM
	clock   kernel.Clock
	logger  *logrus.Entry
	metrics serviceMetrics

	// sendWake and writeWake hold a value when there is something to send to recorders,
	// or to write to the log.
	sendWake  chan struct{}
	writeWake chan struct{}
	reads     singleflight.Group
	// sending holds a value for each message to a recorder that is under way.
	sending chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	tracker *origin.Tracker
	queue   origin.Queue
	// waiting are closed once a recorder has taken the origin of a stream.
	waiting map[origin.Stream]chan struct{}
	// wrote is closed after the next write to the log, and writeFailed is true if the last
	// one failed.
	wrote       chan struct{}
	writeFailed bool
	// asker knows the routers that do not answer.
	asker *ratelimit.Asker
	// routers are the routers that are alive, this one included.
	routers []fleet.VM
	// dataCentres are those of routers.
	dataCentres map[fleet.VM]fleet.DataCentre
	// position is the position up to which the log was read, and readFailedAt the time of
	// the last read if that failed.
	position     Position
	readFailedAt time.Time
	random       *rand.Rand
	// versions and bases are those that this router has written to the log, nil before.
	versions []origin.Origin
	bases    []origin.Base
	// startedAt is the start of the process.
	startedAt time.Time
}

// serviceMetrics counts lookups by verdict, the batches that were written and the origins
// that a holder took.
type serviceMetrics struct {
	registry metrics.Registry
	batches  metrics.Counter
	told     metrics.Counter
}

// found counts a lookup.
func (m *serviceMetrics) found(v origin.Verdict) {
	metrics.GetOrRegisterCounter("origins.lookups."+v.String(), m.registry).Inc(1)
}

// Name returns the name of the service.
func (*Service) Name() string { return Name }

// Provision looks up the services in use.
func (s *Service) Provision(c *kernel.Context) error {
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
	if s.members, err = kernel.Lookup[members.Membership](c, members.Name); err != nil {
		return err
	}
	s.self, s.clock, s.logger = id.Self().VM, c.Clock, c.Logger()
	s.metrics = serviceMetrics{registry: c.Metrics, batches: metrics.GetOrRegisterCounter("origins.batches", c.Metrics),
		told: metrics.GetOrRegisterCounter("origins.told", c.Metrics)}
	s.startedAt = s.clock.Now()
	s.random = rand.New(rand.NewPCG(c.Seed, uint64(id.Incarnation())))
	s.waiting, s.wrote = make(map[origin.Stream]chan struct{}), make(chan struct{})
	s.sending = make(chan struct{}, maxSending)
	s.tracker, s.asker = origin.New(s.startedAt), ratelimit.NewAsker()
	s.sendWake, s.writeWake = make(chan struct{}, 1), make(chan struct{}, 1)
	s.site.Watch(s.siteChanged)
	s.members.Watch(s.membersChanged)
	s.peers.HandleQuery(peer.KindOrigin, s.handleQuery)
	return nil
}

// Start sends and writes origins in the background.
func (s *Service) Start(ctx context.Context) error {
	go s.sendLoop(ctx)
	go s.writeLoop(ctx)
	go s.readHistory(ctx)
	go kernel.Every(ctx, s.clock, tellPeriod, func(time.Time) { s.tellHolder(ctx) })
	go kernel.Every(ctx, s.clock, expirePeriod, func(now time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.tracker.Expire(now)
		s.asker.Expire(now)
		if s.versionsDue(now) {
			wake(s.writeWake)
		}
	})
	return nil
}

// streamOf returns the stream that an attempt began.
func streamOf(attempt string) origin.Stream { return origin.Stream(xxhash.Sum64String(attempt)) }

// siteChanged follows the versions of targets. A log that was restored from a copy has
// lost origins, which are recorded again.
func (s *Service) siteChanged(changes sitestate.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, r := range changes.Targets {
		switch id := fleet.Target(r.Key); {
		case r.Gone:
			s.tracker.TargetGone(now, id)
		case r.Value.Usable:
			s.tracker.TargetChanged(now, id, origin.Origin{Service: r.Value.Service, Version: r.Value.Version})
		}
	}
	if changes.Restored {
		s.queue.Add(s.tracker.Recorded())
		s.tracker.ForgetBases()
		s.versions = nil
	}
	// A service may have become mixed, or have other versions.
	wake(s.sendWake)
	wake(s.writeWake)
}

// membersChanged takes the routers that may be recorders. If another one is, it may lack
// what the one before has taken.
func (s *Service) membersChanged(view *members.Snapshot) {
	var alive []fleet.VM
	dataCentres := make(map[fleet.VM]fleet.DataCentre)
	for _, m := range view.Members {
		if m.Status == members.StateAlive {
			alive = append(alive, m.VM)
			dataCentres[m.VM] = m.DataCentre
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.recorders()
	s.routers, s.dataCentres = alive, dataCentres
	after := s.recorders()
	for i := range max(len(before), len(after)) {
		if i >= len(before) || i >= len(after) || before[i] != after[i] {
			s.tracker.Requeue()
			wake(s.sendWake)
			return
		}
	}
}

// recorders returns the recorder of each group of streams. The caller holds the lock.
func (s *Service) recorders() []fleet.VM {
	usable := s.asker.Usable(s.clock.Now())
	out := make([]fleet.VM, 1+len(s.routers)/routersPerRecorder)
	for i := range out {
		if out[i] = ratelimit.First(fleet.Ref(i), s.routers, usable); out[i] == "" {
			out[i] = s.self
		}
	}
	return out
}

// recorderOf returns the recorder of a stream.
func (s *Service) recorderOf(id origin.Stream) fleet.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.recorders()
	return all[uint64(id)%uint64(len(all))]
}

// wake makes a loop check what there is to do.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // a check is pending already
	}
}

// Interface guards.
var (
	_ Origins            = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
)
