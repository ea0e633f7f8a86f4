// Package callerapi serves the HTTP interface for callers: entry lookup, the
// chat-completions API, plain services, and the status and tickets of orders.
//
// It authenticates client accounts, bounds request size and concurrency, and maps
// errors to HTTP responses. Events of a streamed response carry IDs. If the
// response is cut, the interface continues it after the last complete event; if the
// connection to the caller is lost, the caller can resume it the same way. An
// incomplete response never looks complete to the caller.
package callerapi

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"

	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/service/figures"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/journal"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/membudget"
	"github.com/zinniafork/zinniafork/internal/service/route"
)

// Name is the name of the service in the kernel and of its section in the settings.
const Name = "caller"

func init() {
	kernel.Register(Name, func() kernel.Service { return &Service{settings: DefaultSettings()} })
}

// Service is the caller interface of a router.
type Service struct {
	settings Settings
	config   configsync.Source
	router   route.Router
	orders   journal.Orders
	members  members.Membership
	identity identity.Identity
	figures  figures.Recorder
	memory   membudget.Budget
	clock    kernel.Clock
	net      kernel.Network
	logger   *logrus.Entry
	tracer   trace.Tracer
	metrics  requestMetrics
	limits   *limits
	server   *httpserve.Server
	draining atomic.Bool

	randMu sync.Mutex
	rand   *rand.Rand
}

// Name returns the name of the service.
func (*Service) Name() string { return Name }

// Provision reads the settings and looks up the services that the handlers use.
func (s *Service) Provision(c *kernel.Context) error {
	if err := c.Settings(&s.settings); err != nil {
		return err
	}
	var err error
	if s.config, err = kernel.Lookup[configsync.Source](c, configsync.Name); err != nil {
		return err
	}
	if s.router, err = kernel.Lookup[route.Router](c, route.Name); err != nil {
		return err
	}
	if s.orders, err = kernel.Lookup[journal.Orders](c, journal.Name); err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[members.Membership](c, members.Name); err != nil {
		return err
	}
	if s.identity, err = kernel.Lookup[identity.Identity](c, identity.Name); err != nil {
		return err
	}
	if s.figures, err = kernel.Lookup[figures.Recorder](c, figures.Name); err != nil {
		return err
	}
	if s.memory, err = kernel.Lookup[membudget.Budget](c, membudget.Name); err != nil {
		return err
	}
	s.clock, s.net, s.logger, s.tracer = c.Clock, c.Net, c.Logger(), c.Tracer
	s.metrics = newRequestMetrics(c.Metrics)
	s.limits = newLimits(s.settings.MaxConcurrent)
	s.rand = rand.New(rand.NewPCG(c.Seed, uint64(s.identity.Incarnation())))
	return nil
}

// Validate checks the settings. It returns an error that names the invalid key.
func (s *Service) Validate() error { return s.settings.validate() }

// Start listens for callers and records the listen address in the identity.
func (s *Service) Start(ctx context.Context) error {
	server, err := httpserve.StartWith(ctx, s.net, string(s.settings.Listen), s.handler(), httpserve.Options{
		HeaderTimeout:  s.settings.HeaderTimeout.Std(),
		IdleTimeout:    s.settings.IdleTimeout.Std(),
		MaxHeaderBytes: s.settings.MaxHeaderBytes,
		Conns:          s.memory.Connections(),
		TLS:            s.settings.TLS,
	})
	if err != nil {
		return err
	}
	s.server = server
	s.identity.SetListenAddr(identity.Caller, server.Addr())
	s.logger.WithField("address", server.Addr()).Info("Caller interface is listening.")
	return nil
}

// Drain removes this VM from entry lookups, keeps serving until cached lookups have
// expired, and then waits for running requests. It returns an error if requests
// still run when ctx ends.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.members.Leave()
	s.logger.Info("Draining.")
	// The error of a wait that ctx cut short is ignored: running requests have
	// precedence over cached lookups, so the server is drained all the same.
	_ = s.clock.Sleep(ctx, s.settings.EntryLifetime.Std())
	return s.server.Drain(ctx)
}

// Stop closes the server and its connections at once.
func (s *Service) Stop(context.Context) error { return s.server.Close() }

// URL returns the base URL of the interface. It is valid after Start.
func (s *Service) URL() string { return s.server.URL() }

// Interfaces that Service must implement.
var (
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Validator   = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
	_ kernel.Drainer     = (*Service)(nil)
	_ kernel.Stopper     = (*Service)(nil)
)
