package journal

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/orders"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/owner"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/service/platform"
	"github.com/zinniafork/zinniafork/internal/service/route"
	"github.com/zinniafork/zinniafork/internal/target"
)

func init() {
	kernel.Register(Name, func() kernel.Service { return &Service{settings: DefaultSettings()} })
}

// resourcePrefix starts the names of the partitions as owned resources.
const resourcePrefix = "orders/"

// Service runs orders.
type Service struct {
	settings Settings
	config   configsync.Source
	identity identity.Identity
	members  members.Membership
	owners   owner.Ownership
	peers    peer.Peers
	router   route.Router
	log      logstream.Log
	http     *http.Client
	clock    kernel.Clock
	logger   *logrus.Entry
	meters   meters
	process  uint64

	mu sync.Mutex
	// ctx ends when the process stops; nil before it has started.
	ctx        context.Context
	count      int
	partitions map[int]*partition
	closing    bool
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision reads the settings and looks up what orders depend on.
func (s *Service) Provision(c *kernel.Context) error {
	if err := c.Settings(&s.settings); err != nil {
		return err
	}
	if err := s.lookUp(c); err != nil {
		return err
	}
	s.clock, s.logger = c.Clock, c.Logger()
	s.http = target.NewHTTPClient(c.Net)
	s.meters = newMeters(c.Metrics)
	s.partitions = make(map[int]*partition)
	var err error
	if s.process, err = randomProcess(); err != nil {
		return err
	}
	s.config.Watch(s.configure)
	s.owners.Watch(s.owned)
	s.members.Watch(func(*members.Snapshot) { s.share() })
	s.peers.HandleCall(peer.KindSubmit, s.submitFor)
	s.peers.HandleQuery(peer.KindOrders, s.answerQuery)
	return nil
}

func (s *Service) lookUp(c *kernel.Context) error {
	var err error
	if s.config, err = kernel.Lookup[configsync.Source](c, configsync.Name); err != nil {
		return err
	}
	if s.identity, err = kernel.Lookup[identity.Identity](c, identity.Name); err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[members.Membership](c, members.Name); err != nil {
		return err
	}
	if s.owners, err = kernel.Lookup[owner.Ownership](c, owner.Name); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[peer.Peers](c, peer.Name); err != nil {
		return err
	}
	if s.router, err = kernel.Lookup[route.Router](c, route.Name); err != nil {
		return err
	}
	p, err := kernel.Lookup[platform.Platform](c, platform.Name)
	if err != nil {
		return err
	}
	s.log = p.Log()
	return nil
}

// randomProcess returns the number that tells this process's nonces from those
// of all others.
func randomProcess() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("draw the number of this process: %w", err)
	}
	return binary.LittleEndian.Uint64(b[:]), nil
}

// Start lets the partitions work.
func (s *Service) Start(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	if c := s.config.Current(); c != nil {
		s.configure(c)
	}
	go kernel.Every(ctx, s.clock, tickPeriod, func(now time.Time) {
		for _, p := range s.allPartitions() {
			p.tick(now)
		}
	})
	return nil
}

// configure declares the partitions. Their number is fixed for the life of
// the log, because a key must never change its partition.
func (s *Service) configure(c *config.Effective) {
	s.mu.Lock()
	if s.ctx == nil {
		s.mu.Unlock()
		return // Start comes back to it
	}
	first := s.count == 0
	if first {
		s.count = max(c.Orders.Partitions, 1)
	}
	count := s.count
	s.mu.Unlock()
	if count != c.Orders.Partitions {
		s.logger.WithFields(logrus.Fields{"in_use": count, "configured": c.Orders.Partitions}).Error("The number of partitions can't change.")
	}
	if first {
		for n := range count {
			s.owners.Declare(resourceOf(n), "")
		}
		s.partition(s.home())
	}
	s.share()
}

func resourceOf(n int) owner.Resource {
	return owner.Resource(resourcePrefix + strconv.Itoa(n))
}

// home returns the partition whose stream holds this router's own claim for
// tickets.
func (s *Service) home() int {
	return int(xxhash.Sum64String(string(s.identity.Self().VM)) % uint64(max(s.partitionCount(), 1)))
}

func (s *Service) partitionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// owned follows the ownership of partitions.
func (s *Service) owned(r owner.Resource, held bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(string(r), resourcePrefix))
	if err != nil || !strings.HasPrefix(string(r), resourcePrefix) || n >= s.partitionCount() {
		return
	}
	s.partition(n).setHeld(held)
	s.share()
}

// partition returns the state of a partition, which it makes when needed.
func (s *Service) partition(n int) *partition {
	home := s.home()
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.partitions[n]
	if !ok {
		p = newPartition(s, n, n == home)
		s.partitions[n] = p
	}
	return p
}

func (s *Service) allPartitions() []*partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*partition, 0, len(s.partitions))
	for n := range s.count {
		if p, ok := s.partitions[n]; ok {
			out = append(out, p)
		}
	}
	return out
}

// share divides the fleet's append budget: most of it among the partitions,
// whose owners use it, and the rest among the live routers.
func (s *Service) share() {
	c := s.config.Current()
	if c == nil || s.partitionCount() == 0 {
		return
	}
	budget := float64(c.Orders.AppendsPerSecond)
	owner := budget * ownerShare / float64(s.partitionCount())
	other := budget * (1 - ownerShare) / float64(max(s.liveRouters(), 1))
	for _, p := range s.allPartitions() {
		p.setAppends(rate.Limit(max(owner, minAppends)), rate.Limit(max(other, minAppends)))
	}
}

func (s *Service) liveRouters() int {
	n := 0
	s.eachAlive(func(fleet.VM) { n++ })
	return n
}

func (s *Service) alive(vm fleet.VM) bool {
	found := false
	s.eachAlive(func(other fleet.VM) { found = found || other == vm })
	return found
}

// eachAlive calls f with every router that this one believes to be alive.
func (s *Service) eachAlive(f func(fleet.VM)) {
	snapshot := s.members.Snapshot()
	if snapshot == nil {
		return
	}
	for i := range snapshot.Members {
		if snapshot.Members[i].Status == members.StateAlive {
			f(snapshot.Members[i].VM)
		}
	}
}

// others returns the other live routers, the owner of partition n first.
func (s *Service) others(n int) []fleet.VM {
	var out []fleet.VM
	if vm, ok := s.owners.Owner(resourceOf(n)); ok && vm != s.self() {
		out = append(out, vm)
	}
	s.eachAlive(func(vm fleet.VM) {
		if vm != s.self() && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	})
	return out
}

// stream returns the name of a partition's stream.
func (s *Service) stream(n int) string {
	return fmt.Sprintf("orders-%s-%d", s.identity.Self().Site, n)
}

func (s *Service) self() fleet.VM { return s.identity.Self().VM }

func (s *Service) machineConfig(n int, mints bool) orders.Config {
	window := s.config.Current().Orders.Window.Std()
	return orders.Config{
		Partition:    n,
		Router:       s.self(),
		Incarnation:  s.identity.Incarnation(),
		Process:      s.process,
		Window:       window,
		MaxKeyAhead:  keyAhead,
		MaxClockSkew: clockSkew,
		Retention:    2 * window,
		MintsTickets: mints,
		MaxQueue:     s.settings.MaxQueue,
		AppendLimit:  minAppends,
	}
}

// Drain takes no more orders and records what is known, or hands it to another
// router when the log is away.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	for _, p := range s.allPartitions() {
		p.step(orders.Drain{})
	}
	for !s.closed() {
		s.handOver(ctx)
		if err := s.clock.Sleep(ctx, drainPoll); err != nil {
			return fmt.Errorf("record orders before the stop: %w", err)
		}
	}
	return nil
}

func (s *Service) closed() bool {
	for _, p := range s.allPartitions() {
		if !p.closed() && !p.wasHandedOver() {
			return false
		}
	}
	return true
}

// sampleSize is the number of times that a histogram keeps.
const sampleSize = 1028

// meters count what the journal does.
type meters struct {
	submitted, forwarded, dispatched       metrics.Counter
	repeated, notRun, unknown              metrics.Counter
	appends, appendRecords, appendBytes    metrics.Counter
	appendsLost, reads, readBytes, lookups metrics.Counter
	// Times in microseconds: from gaining a partition to serving it, and of a
	// submission.
	takeover, wait metrics.Histogram
}

func newMeters(r metrics.Registry) meters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("orders."+name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram("orders."+name, r, metrics.NewUniformSample(sampleSize))
	}
	return meters{
		submitted: counter("submitted"), forwarded: counter("forwarded"), dispatched: counter("dispatched"),
		repeated: counter("repeated"), notRun: counter("not_run"), unknown: counter("unknown"),
		appends: counter("appends"), appendRecords: counter("append_records"), appendBytes: counter("append_bytes"),
		appendsLost: counter("appends_lost"), reads: counter("reads"), readBytes: counter("read_bytes"),
		lookups:  counter("lookups"),
		takeover: histogram("takeover_us"), wait: histogram("wait_us"),
	}
}

// Interface guards.
var (
	_ Orders             = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
	_ kernel.Drainer     = (*Service)(nil)
)
