package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/membudget"
)

// tickPeriod is how often connections are checked for silence.
const tickPeriod = 100 * time.Millisecond

// stopLimit is the time that handlers get to end when the service stops.
const stopLimit = 5 * time.Second

// callTries is how often a call that was not run is tried when its connection
// was just replaced.
const callTries = 3

func init() {
	kernel.Register(Name, func() kernel.Service { return New(DefaultSettings()) })
}

// Service is the transport between routers over TCP.
type Service struct {
	settings Settings
	identity identity.Identity
	memory   membudget.Budget
	clock    kernel.Clock
	net      kernel.Network
	logger   *logrus.Entry
	tracer   trace.Tracer
	metrics  meters
	traffic  trafficCounter
	links    *links

	controls map[Kind]ControlHandler
	queries  map[Kind]QueryHandler
	calls    map[Kind]CallHandler

	randMu sync.Mutex
	rand   *rand.Rand

	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
	running  sync.WaitGroup
	// ticked is the time of the last tick in nanoseconds.
	ticked atomic.Int64
}

// New returns the service with settings that the process settings may change.
func New(settings Settings) *Service {
	return &Service{
		settings: settings,
		controls: make(map[Kind]ControlHandler),
		queries:  make(map[Kind]QueryHandler),
		calls:    make(map[Kind]CallHandler),
	}
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision reads the settings and looks up the identity.
func (s *Service) Provision(c *kernel.Context) error {
	if err := c.Settings(&s.settings); err != nil {
		return err
	}
	var err error
	if s.memory, err = kernel.Lookup[membudget.Budget](c, membudget.Name); err != nil {
		return err
	}
	if s.identity, err = kernel.Lookup[identity.Identity](c, identity.Name); err != nil {
		return err
	}
	s.clock, s.net, s.logger, s.tracer = c.Clock, c.Net, c.Logger(), c.Tracer
	s.metrics = newMeters(c.Metrics)
	s.rand = rand.New(rand.NewPCG(c.Seed, uint64(s.identity.Incarnation())))
	s.links = newLinks(s)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return nil
}

// Validate checks the settings and reads the certificates.
func (s *Service) Validate() error {
	if err := s.settings.validate(); err != nil {
		return err
	}
	return s.settings.TLS.validate()
}

// Start listens for other routers.
func (s *Service) Start(ctx context.Context) error {
	ln, err := s.net.Listen(ctx, "tcp", string(s.settings.Listen))
	if err != nil {
		return errorf("listen on %s: %w", s.settings.Listen, err)
	}
	s.listener = ln
	s.identity.SetListenAddr(identity.Peer, ln.Addr().String())
	s.logger.WithField("address", ln.Addr()).Info("Peer interface listens.")
	s.background(s.accept)
	s.background(func() { kernel.Every(s.ctx, s.clock, tickPeriod, s.tick) })
	return nil
}

// Drain takes no new streams and waits until those that run have ended.
func (s *Service) Drain(ctx context.Context) error {
	s.links.end()
	_ = s.listener.Close()
	for _, c := range s.links.all() {
		c.retire(errStopping)
	}
	for s.busy() {
		if err := s.clock.Sleep(ctx, tickPeriod/10); err != nil {
			return errorf("streams still run: %w", err)
		}
	}
	return nil
}

func (s *Service) busy() bool {
	for _, c := range s.links.all() {
		if opened, served := c.streams(); opened+served > 0 {
			return true
		}
	}
	return false
}

// Stop closes all connections.
func (s *Service) Stop(context.Context) error {
	s.links.end()
	err := s.listener.Close()
	// Connections end before the calls on them are canceled: the other routers must not take that
	// for a cancel of their own.
	for _, c := range s.links.all() {
		c.close(errStopping)
	}
	s.cancel()
	s.waitRunning()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// waitRunning waits for the goroutines of the service, but not for handlers
// that don't end.
func (s *Service) waitRunning() {
	ended := make(chan struct{})
	go func() {
		s.running.Wait()
		close(ended)
	}()
	limit := make(chan struct{})
	stop := s.clock.AfterFunc(stopLimit, func() { close(limit) })
	defer stop()
	select {
	case <-ended:
	case <-limit:
		s.logger.Warn("Handlers still run.")
	}
}

// Addr returns the address that the service listens on.
func (s *Service) Addr() string { return s.listener.Addr().String() }

func (s *Service) background(f func()) {
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		f()
	}()
}

func (s *Service) self() fleet.VM { return s.identity.Self().VM }

// known returns the kind if this router handles it, and KindTransport
// otherwise, so that other routers can't make up kinds to count.
func (s *Service) known(kind string) Kind {
	k := Kind(kind)
	if s.calls[k] != nil || s.queries[k] != nil || s.controls[k] != nil {
		return k
	}
	return KindTransport
}

// jitter returns a random time between half of d and d.
func (s *Service) jitter(d time.Duration) time.Duration {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return d/2 + time.Duration(s.rand.Int64N(int64(d/2)+1))
}

func (s *Service) randomNumber() uint64 {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return s.rand.Uint64() | 1
}

// pausedAfter is the time between ticks that shows that the process was
// paused.
const pausedAfter = 5 * tickPeriod

func (s *Service) tick(now time.Time) {
	last := s.ticked.Swap(now.UnixNano())
	paused := last != 0 && now.UnixNano()-last > int64(pausedAfter)
	queued := int64(0)
	for _, c := range s.links.all() {
		queued += c.queued.Load()
		if paused {
			c.excuse(now)
			continue
		}
		c.tick(now)
	}
	s.metrics.queuedBytes.Inc(queued - s.metrics.queuedBytes.Count())
	for _, c := range s.links.unlisted(now, s.settings.UnlistedGrace.Std()) {
		c.retire(errReplaced)
	}
}

// HandleControl sets the handler of a kind of control message.
func (s *Service) HandleControl(kind Kind, h ControlHandler) { s.controls[kind] = h }

// HandleQuery sets the handler of a kind of query.
func (s *Service) HandleQuery(kind Kind, h QueryHandler) { s.queries[kind] = h }

// HandleCall sets the handler of a kind of call.
func (s *Service) HandleCall(kind Kind, h CallHandler) { s.calls[kind] = h }

// SetPeers replaces the routers that may be connected to.
func (s *Service) SetPeers(vms []fleet.VMInfo) { s.links.set(vms) }

// Traffic returns the bytes counted at the sockets.
func (s *Service) Traffic() map[Kind]Traffic { return s.traffic.snapshot() }

// Send queues a control message.
func (s *Service) Send(to fleet.VM, kind Kind, payload []byte) error {
	c, err := s.links.ready(to)
	if err != nil {
		return errorf("send %s to %s: %w", kind, to, err)
	}
	i, err := c.encode(controlFrame(kind, payload), kind)
	if err != nil {
		return errorf("send %s to %s: %w", kind, to, err)
	}
	if err := c.offerControl(kind, i); err != nil {
		return errorf("send %s to %s: %w", kind, to, err)
	}
	return nil
}

// Query sends a small request and waits for its answer.
func (s *Service) Query(ctx context.Context, to fleet.VM, kind Kind, payload []byte) ([]byte, error) {
	id := call.ID(uuid.NewString())
	var reply []byte
	err := s.retry(ctx, to, func(c *conn) error {
		var err error
		reply, err = c.query(ctx, kind, id, payload)
		return err
	})
	return reply, err
}

// Call runs a request on another router.
func (s *Service) Call(ctx context.Context, to fleet.VM, kind Kind, req *call.Request, sink call.Sink) error {
	return s.retry(ctx, to, func(c *conn) error { return c.call(ctx, kind, req, sink) })
}

// retry runs f on the connection to a router, and again when the connection
// was replaced before the other router took the stream.
func (s *Service) retry(ctx context.Context, to fleet.VM, f func(*conn) error) error {
	for try := 1; ; try++ {
		c, err := s.links.connect(ctx, to)
		if err != nil {
			if ctx.Err() != nil {
				return given(ctx, to, call.RunNot)
			}
			return unsent(to, err)
		}
		err = f(c)
		if err == nil || try == callTries || ctx.Err() != nil || !c.gone(err) {
			return err
		}
	}
}

// gone reports whether err tells that the connection was not usable any more
// and the stream never began.
func (c *conn) gone(err error) bool {
	var e *call.Error
	return errors.As(err, &e) && e.Run == call.RunNot && e.Step == step && !c.usable() &&
		(e.Code == call.CodeDraining || e.Code == call.CodeUnavailable)
}

// Interface guards.
var (
	_ Peers              = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Validator   = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
	_ kernel.Drainer     = (*Service)(nil)
	_ kernel.Stopper     = (*Service)(nil)
)
