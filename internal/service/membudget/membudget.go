// Package membudget bounds the memory that the process holds for others: heads and bodies of
// requests, and responses that wait for their readers. What it can't hold it makes give way, by
// the order of the ledger in core/membudget.
package membudget

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/zinniafork/zinniafork/internal/core/membudget"
	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/kernel"
)

// Name is the name of the service in the kernel.
const Name = "memory"

// Kinds of holds that other services use.
const (
	KindHead     = membudget.Head
	KindBody     = membudget.Body
	KindResponse = membudget.Response
	KindRelayed  = membudget.Relayed
)

// Owner is a client account or an address that memory is held for.
type Owner = membudget.Owner

const (
	// smallBytes is the largest body that the reserve is kept for. Requests of up to 72 KB are
	// usual.
	smallBytes = 128 << 10
	// stallTime is the time without progress after which an incomplete body gives way first
	// when memory is short. It exceeds the time in which a lost packet is sent again.
	stallTime = time.Second
	// giveWayTimeout is the time that a request waits for the memory of those that give way.
	giveWayTimeout = time.Second
	// gaugePeriod is the interval at which the gauges are set.
	gaugePeriod = time.Second
	// logInterval and logBurst bound the log lines of each way of giving way.
	logInterval = 5 * time.Second
	logBurst    = 3
)

// ErrExhausted means that there is no room for more bytes.
var ErrExhausted = errors.New("memory for requests is exhausted")

func init() {
	kernel.Register(Name, func() kernel.Service { return New(DefaultLimits()) })
}

// Budget reserves memory.
type Budget interface {
	// Open begins a hold. evict is called, once and on another goroutine, when the hold has
	// to give way; its owner then closes it.
	Open(kind membudget.Kind, owner Owner, evict func()) *Hold
	// Limits returns the limits of the process.
	Limits() Limits
	// Connections returns the limits of the connections of one server for clients.
	Connections() httpserve.ConnLimits
	// Note counts and logs that something gave way.
	Note(way Way, owner Owner)
}

// Way is a way of giving way.
type Way string

// Ways of giving way.
const (
	// Refused is a request that was refused since there was no room.
	Refused Way = "refused"
	// Evicted is a hold that was ended for others.
	Evicted Way = "evicted"
	// TooSlow is a body that came too slowly.
	TooSlow Way = "slow_body"
	// RunningLimit is a request that was refused since as many are sent to targets as there
	// are descriptors for.
	RunningLimit Way = "running_limit"
	// ConnLimit is a connection that was closed or refused at the limit of connections.
	ConnLimit Way = "connection_limit"
	// HeadMemory is a connection that was closed since there was no room for its head, or
	// since that was too long.
	HeadMemory Way = "head"
	// SocketMemory is a connection that was closed since sockets held too much.
	SocketMemory Way = "socket_bytes"
)

// Service implements Budget.
type Service struct {
	limits  Limits
	buffers pools
	clock   kernel.Clock
	logger  *logrus.Entry
	metrics metrics.Registry

	mu     sync.Mutex
	ledger *membudget.Ledger
	// freed is closed and replaced when bytes are released while someone waits for them.
	freed   chan struct{}
	waiting int
	logs    map[Way]*rate.Limiter
}

// New returns a budget with limits.
func New(limits Limits) *Service {
	budget := limits.Budget()
	return &Service{
		limits: limits,
		clock:  kernel.SystemClock{},
		ledger: membudget.New(membudget.Limits{
			Total: budget, Reserve: budget / reserveRatio, SmallBytes: smallBytes,
			Responses: budget / responseRatio, StallTime: stallTime,
		}),
		freed: make(chan struct{}),
		logs:  make(map[Way]*rate.Limiter),
	}
}

// Name returns the name of the service.
func (*Service) Name() string { return Name }

// Provision sets up the metrics.
func (s *Service) Provision(c *kernel.Context) error {
	s.clock, s.logger, s.metrics = c.Clock, c.Logger(), c.Metrics
	return nil
}

// Validate checks the limits.
func (s *Service) Validate() error { return s.limits.Validate() }

// Start sets the gauges in the background.
func (s *Service) Start(ctx context.Context) error {
	go kernel.Every(ctx, s.clock, gaugePeriod, func(time.Time) { s.setGauges() })
	return nil
}

func (s *Service) setGauges() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range membudget.Kinds {
		metrics.GetOrRegisterGauge("memory.held_bytes."+k.String(), s.metrics).Update(s.ledger.UsedBy(k))
	}
	metrics.GetOrRegisterGauge("memory.budget_bytes", s.metrics).Update(s.limits.Budget())
}

// Limits returns the limits of the process.
func (s *Service) Limits() Limits { return s.limits }

// Note counts and logs that something gave way.
func (s *Service) Note(way Way, owner Owner) {
	if s.metrics == nil {
		return // a budget outside of a kernel
	}
	metrics.GetOrRegisterCounter("memory.gave_way."+string(way), s.metrics).Inc(1)
	s.mu.Lock()
	limiter, ok := s.logs[way]
	if !ok {
		limiter = rate.NewLimiter(rate.Every(logInterval), logBurst)
		s.logs[way] = limiter
	}
	used := s.ledger.Used()
	s.mu.Unlock()
	if limiter.AllowN(s.clock.Now(), 1) {
		s.logger.WithFields(logrus.Fields{"way": way, "owner": owner, "held_bytes": used, "budget_bytes": s.limits.Budget()}).
			Warn("A client gave way to bound memory or connections.")
	}
}

// Hold is the memory held for one head, body or response.
type Hold struct {
	s     *Service
	hold  *membudget.Hold
	owner Owner
	evict func()
}

// Open begins a hold.
func (s *Service) Open(kind membudget.Kind, owner Owner, evict func()) *Hold {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &Hold{s: s, owner: owner, evict: evict}
	h.hold = s.ledger.Open(s.clock.Now(), kind, owner)
	h.hold.Data = h
	return h
}

// Grow reserves n more bytes. It waits for holds that give way; the error is ErrExhausted if there
// is no room, or the hold itself has to give way.
func (h *Hold) Grow(n int) error {
	var expired bool
	var stop func() bool
	timeout := make(chan struct{})
	for {
		h.s.mu.Lock()
		ok, victim := h.s.ledger.Grow(h.s.clock.Now(), h.hold, int64(n))
		if ok || victim == h.hold || expired || h.s.ledger.Leaving(h.hold) {
			h.s.mu.Unlock()
			if stop != nil {
				stop()
			}
			if ok {
				return nil
			}
			return ErrExhausted
		}
		freed := h.s.freed
		h.s.waiting++
		h.s.mu.Unlock()
		if victim != nil {
			other, _ := victim.Data.(*Hold)
			h.s.Note(Evicted, other.owner)
			go other.evict()
		}
		if stop == nil {
			stop = h.s.clock.AfterFunc(giveWayTimeout, func() { close(timeout) })
		}
		select {
		case <-freed:
		case <-timeout:
			expired = true
		}
		h.s.mu.Lock()
		h.s.waiting--
		h.s.mu.Unlock()
	}
}

// TryGrow reserves n more bytes if there is room now.
func (h *Hold) TryGrow(n int) bool {
	h.s.mu.Lock()
	ok, victim := h.s.ledger.Grow(h.s.clock.Now(), h.hold, int64(n))
	h.s.mu.Unlock()
	if !ok && victim != nil && victim != h.hold {
		other, _ := victim.Data.(*Hold)
		h.s.Note(Evicted, other.owner)
		go other.evict()
	}
	return ok
}

// Shrink gives n bytes back.
func (h *Hold) Shrink(n int) {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	h.s.ledger.Shrink(h.hold, int64(n))
	h.s.wake()
}

// Progress records that the hold makes progress.
func (h *Hold) Progress() {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	h.s.ledger.Progress(h.s.clock.Now(), h.hold)
}

// SetComplete sets whether the hold is that of a complete request, which does not give way.
func (h *Hold) SetComplete(complete bool) {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	h.s.ledger.SetComplete(h.hold, complete)
}

// Leaving reports whether the hold has to give way.
func (h *Hold) Leaving() bool {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	return h.s.ledger.Leaving(h.hold)
}

// Close gives all bytes back. It may be called again.
func (h *Hold) Close() {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	h.s.ledger.Close(h.hold)
	h.s.wake()
}

// wake wakes those that wait for bytes. The caller holds the lock.
func (s *Service) wake() {
	if s.waiting > 0 {
		close(s.freed)
		s.freed = make(chan struct{})
	}
}

// Interface guards.
var (
	_ Budget             = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Validator   = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
)
