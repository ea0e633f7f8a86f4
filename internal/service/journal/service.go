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

// resourcePrefix is the prefix of the resource names of partitions, as in
// "orders/3".
const resourcePrefix = "orders/"

// Service implements Orders with the partitions of this router's site.
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
	// processID is a random number that distinguishes the nonces of this process.
	processID uint64

	mu sync.Mutex
	// ctx ends when the process stops. It is nil before Start.
	ctx context.Context
	// partitionTotal is the number of partitions; zero before there is a
	// configuration.
	partitionTotal int
	partitions     map[int]*partition
	draining       bool
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision reads the settings, looks up the services that orders need and
// registers the handlers for other routers.
func (s *Service) Provision(c *kernel.Context) error {
	if err := c.Settings(&s.settings); err != nil {
		return err
	}
	if err := s.lookUpServices(c); err != nil {
		return err
	}
	s.clock, s.logger = c.Clock, c.Logger()
	s.http = target.NewHTTPClient(c.Net)
	s.meters = newMeters(c.Metrics)
	s.partitions = make(map[int]*partition)
	var err error
	if s.processID, err = newProcessID(); err != nil {
		return err
	}
	s.config.Watch(s.configure)
	s.owners.Watch(s.ownershipChanged)
	s.members.Watch(func(*members.Snapshot) { s.divideAppendBudget() })
	s.peers.HandleCall(peer.KindSubmit, s.handleSubmit)
	s.peers.HandleQuery(peer.KindOrders, s.handleQuery)
	return nil
}

// lookUpServices looks up the services that orders need.
func (s *Service) lookUpServices(c *kernel.Context) error {
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

// newProcessID returns a random number that distinguishes the nonces of this
// process from those of all others.
func newProcessID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("generate process number: %w", err)
	}
	return binary.LittleEndian.Uint64(b[:]), nil
}

// Start applies the configuration and starts the periodic ticks of the
// machines.
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

// configure applies a configuration. The first one sets the number of
// partitions, which stays the same for the life of the log, because a key must
// never change its partition. A different number in a later configuration is
// logged as an error.
func (s *Service) configure(c *config.Effective) {
	s.mu.Lock()
	if s.ctx == nil {
		s.mu.Unlock()
		return // Start applies the configuration
	}
	first := s.partitionTotal == 0
	if first {
		s.partitionTotal = max(c.Orders.Partitions, 1)
	}
	count := s.partitionTotal
	s.mu.Unlock()
	if count != c.Orders.Partitions {
		s.logger.WithFields(logrus.Fields{"in_use": count, "configured": c.Orders.Partitions}).Error("The number of partitions cannot change.")
	}
	if first {
		for n := range count {
			s.owners.Declare(resourceOf(n), "")
		}
		s.partition(s.homePartition())
	}
	s.divideAppendBudget()
}

// resourceOf returns the owned resource of partition n.
func resourceOf(n int) owner.Resource {
	return owner.Resource(resourcePrefix + strconv.Itoa(n))
}

// homePartition returns the number of the partition whose stream holds this
// router's claim for minting tickets.
func (s *Service) homePartition() int {
	return int(xxhash.Sum64String(string(s.identity.Self().VM)) % uint64(max(s.partitionCount(), 1)))
}

// partitionCount returns the number of partitions, or zero before there is a
// configuration.
func (s *Service) partitionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitionTotal
}

// ownershipChanged applies a change of the ownership of a partition; other
// resources are ignored.
func (s *Service) ownershipChanged(r owner.Resource, held bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(string(r), resourcePrefix))
	if err != nil || !strings.HasPrefix(string(r), resourcePrefix) || n >= s.partitionCount() {
		return
	}
	s.partition(n).setHeld(held)
	s.divideAppendBudget()
}

// partition returns the state of partition n and creates it if there is none.
func (s *Service) partition(n int) *partition {
	home := s.homePartition()
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.partitions[n]
	if !ok {
		p = newPartition(s, n, n == home)
		s.partitions[n] = p
	}
	return p
}

// allPartitions returns the partitions that this router has a state for.
func (s *Service) allPartitions() []*partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*partition, 0, len(s.partitions))
	for n := range s.partitionTotal {
		if p, ok := s.partitions[n]; ok {
			out = append(out, p)
		}
	}
	return out
}

// divideAppendBudget divides the budget of appends per second:
// ownerBudgetShare goes in equal parts to the owners of the partitions, and
// the rest in equal parts to the live routers.
func (s *Service) divideAppendBudget() {
	c := s.config.Current()
	if c == nil || s.partitionCount() == 0 {
		return
	}
	budget := float64(c.Orders.AppendsPerSecond)
	owner := budget * ownerBudgetShare / float64(s.partitionCount())
	other := budget * (1 - ownerBudgetShare) / float64(max(s.aliveRouters(), 1))
	for _, p := range s.allPartitions() {
		p.setAppendLimits(rate.Limit(max(owner, minAppendLimit)), rate.Limit(max(other, minAppendLimit)))
	}
}

// aliveRouters returns the number of routers that this one believes to be
// alive.
func (s *Service) aliveRouters() int {
	n := 0
	s.forEachAlive(func(fleet.VM) { n++ })
	return n
}

// isAlive reports whether this router believes vm to be alive.
func (s *Service) isAlive(vm fleet.VM) bool {
	found := false
	s.forEachAlive(func(other fleet.VM) { found = found || other == vm })
	return found
}

// forEachAlive calls f with every router that this one believes to be alive.
func (s *Service) forEachAlive(f func(fleet.VM)) {
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

// otherRouters returns the other live routers, the owner of partition n first.
func (s *Service) otherRouters(n int) []fleet.VM {
	var out []fleet.VM
	if vm, ok := s.owners.Owner(resourceOf(n)); ok && vm != s.self() {
		out = append(out, vm)
	}
	s.forEachAlive(func(vm fleet.VM) {
		if vm != s.self() && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	})
	return out
}

// streamName returns the name of the log stream of partition n.
func (s *Service) streamName(n int) string {
	return fmt.Sprintf("orders-%s-%d", s.identity.Self().Site, n)
}

func (s *Service) self() fleet.VM { return s.identity.Self().VM }

// machineConfig returns the parameters of the machine of partition n. Records
// are kept for two windows.
func (s *Service) machineConfig(n int, mints bool) orders.Config {
	window := s.config.Current().Orders.Window.Std()
	return orders.Config{
		Partition:    n,
		Router:       s.self(),
		Incarnation:  s.identity.Incarnation(),
		Process:      s.processID,
		Window:       window,
		MaxKeyAhead:  maxKeyAhead,
		MaxClockSkew: maxClockSkew,
		Retention:    2 * window,
		MintsTickets: mints,
		MaxQueue:     s.settings.MaxQueue,
		AppendLimit:  minAppendLimit,
	}
}

// Drain makes the machines accept no more orders and returns once each has
// recorded its outcomes, or has handed its records over while the log is
// unavailable. It fails when ctx ends first.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, p := range s.allPartitions() {
		p.step(orders.Drain{})
	}
	for !s.drained() {
		s.handOver(ctx)
		if err := s.clock.Sleep(ctx, drainPollPeriod); err != nil {
			return fmt.Errorf("record orders before shutdown: %w", err)
		}
	}
	return nil
}

// drained reports whether every partition has recorded or handed over its
// records.
func (s *Service) drained() bool {
	for _, p := range s.allPartitions() {
		if !p.drained() && !p.wasHandedOver() {
			return false
		}
	}
	return true
}

// sampleSize is the number of values that a histogram samples.
const sampleSize = 1028

// meters holds the metrics of this package.
type meters struct {
	submitted, forwarded, dispatched       metrics.Counter
	replayed, notRun, unknown              metrics.Counter
	appends, appendRecords, appendBytes    metrics.Counter
	appendsLost, reads, readBytes, lookups metrics.Counter
	// takeover and wait are in microseconds: the time from acquiring a
	// partition to serving it, and the duration of a submission.
	takeover, wait metrics.Histogram
}

func newMeters(r metrics.Registry) meters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("orders."+name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram("orders."+name, r, metrics.NewUniformSample(sampleSize))
	}
	return meters{
		submitted: counter("submitted"), forwarded: counter("forwarded"), dispatched: counter("dispatched"),
		replayed: counter("repeated"), notRun: counter("not_run"), unknown: counter("unknown"),
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
