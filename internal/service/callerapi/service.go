// Package callerapi serves the interface that callers use: entry lookup, the
// chat-completions API and plain services.
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
	"github.com/zinniafork/zinniafork/internal/service/route"
)

// Name is the service's name in the kernel.
const Name = "caller"

func init() {
	kernel.Register(Name, func() kernel.Service { return &Service{settings: DefaultSettings()} })
}

// Service is the caller interface.
type Service struct {
	settings Settings
	config   configsync.Source
	router   route.Router
	orders   journal.Orders
	members  members.Membership
	identity identity.Identity
	figures  figures.Recorder
	clock    kernel.Clock
	net      kernel.Network
	logger   *logrus.Entry
	tracer   trace.Tracer
	meters   meters
	limits   *limits
	server   *httpserve.Server
	draining atomic.Bool

	randMu sync.Mutex
	rand   *rand.Rand
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision reads the settings and looks up what the handlers need.
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
	s.clock, s.net, s.logger, s.tracer = c.Clock, c.Net, c.Logger(), c.Tracer
	s.meters = newMeters(c.Metrics)
	s.limits = newLimits(s.settings.MaxConcurrent)
	s.rand = rand.New(rand.NewPCG(c.Seed, uint64(s.identity.Incarnation())))
	return nil
}

// Validate checks the settings.
func (s *Service) Validate() error { return s.settings.validate() }

// Start listens for callers.
func (s *Service) Start(ctx context.Context) error {
	server, err := httpserve.StartWith(ctx, s.net, string(s.settings.Listen), s.handler(), httpserve.Options{
		HeaderTimeout:  s.settings.HeaderTimeout.Std(),
		IdleTimeout:    s.settings.IdleTimeout.Std(),
		MaxHeaderBytes: s.settings.MaxHeaderBytes,
		TLS:            s.settings.TLS,
	})
	if err != nil {
		return err
	}
	s.server = server
	s.identity.SetListenAddr(identity.Caller, server.Addr())
	s.logger.WithField("address", server.Addr()).Info("Caller interface listens.")
	return nil
}

// Drain stops lookups from naming this VM, goes on serving while callers may
// still use earlier lookups, and lets running requests end.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.members.Leave()
	s.logger.Info("Draining.")
	// When the time for draining is shorter, running requests come first.
	_ = s.clock.Sleep(ctx, s.settings.EntryLifetime.Std())
	return s.server.Drain(ctx)
}

// Stop ends the server.
func (s *Service) Stop(context.Context) error { return s.server.Close() }

// URL returns the base URL that callers use.
func (s *Service) URL() string { return s.server.URL() }

// Interface guards.
var (
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Validator   = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
	_ kernel.Drainer     = (*Service)(nil)
	_ kernel.Stopper     = (*Service)(nil)
)
