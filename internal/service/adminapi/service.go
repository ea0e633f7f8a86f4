// Package adminapi serves the administration API: HTTP with JSON under
// /admin/v1 on every router, with an OpenAPI document.
package adminapi

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/zinniafork/zinniafork/internal/explain"
	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/audit"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/service/figures"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/journal"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/owner"
)

// Name is the service's name in the kernel.
const Name = "admin"

func init() {
	kernel.Register(Name, func() kernel.Service { return &Service{settings: DefaultSettings()} })
}

const (
	// limiters bounds the callers whose rates are remembered.
	limiters = 4096
	// refusalsPerSecond limits the audit entries about unknown keys.
	refusalsPerSecond = 2
)

// Service is the administration interface.
type Service struct {
	settings Settings
	identity identity.Identity
	config   configsync.Config
	members  members.Membership
	audit    audit.Auditor
	figures  figures.Reader
	// targets, orders and explainer are nil while no service offers them.
	targets   owner.Targets
	orders    journal.Orders
	explainer explain.Explainer

	clock  kernel.Clock
	net    kernel.Network
	logger *logrus.Entry
	meters metrics.Registry
	server *httpserve.Server
	pages  *pages

	// refusals limits the unknown keys that the audit stream notes.
	refusals *rate.Limiter
	mu       sync.Mutex
	limits   *lru.Cache[string, *rate.Limiter]
	inFlight chan struct{}
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision reads the settings and looks up what the handlers need.
func (s *Service) Provision(c *kernel.Context) error {
	if err := c.Settings(&s.settings); err != nil {
		return err
	}
	var err error
	if s.identity, err = kernel.Lookup[identity.Identity](c, identity.Name); err != nil {
		return err
	}
	if s.config, err = kernel.Lookup[configsync.Config](c, configsync.Name); err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[members.Membership](c, members.Name); err != nil {
		return err
	}
	if s.audit, err = kernel.Lookup[audit.Auditor](c, audit.Name); err != nil {
		return err
	}
	if s.figures, err = kernel.Lookup[figures.Reader](c, figures.Name); err != nil {
		return err
	}
	if s.targets, err = optional[owner.Targets](c, owner.Name); err != nil {
		return err
	}
	if s.orders, err = optional[journal.Orders](c, journal.Name); err != nil {
		return err
	}
	if s.explainer, err = optional[explain.Explainer](c, explainerName); err != nil {
		return err
	}
	s.clock, s.net, s.logger, s.meters = c.Clock, c.Net, c.Logger(), c.Metrics
	s.inFlight = make(chan struct{}, s.settings.MaxConcurrent)
	s.refusals = rate.NewLimiter(refusalsPerSecond, refusalsPerSecond)
	if s.limits, err = lru.New[string, *rate.Limiter](limiters); err != nil {
		return err
	}
	s.pages, err = newPages(s)
	return err
}

// optional looks up a service that may not be there, or may not offer T.
func optional[T any](c *kernel.Context, name string) (T, error) {
	var none T
	found, err := kernel.Lookup[kernel.Service](c, name)
	if errors.Is(err, kernel.ErrMissing) {
		return none, nil
	}
	if err != nil {
		return none, err
	}
	t, ok := found.(T)
	if !ok {
		return none, nil
	}
	return t, nil
}

// Validate checks the settings.
func (s *Service) Validate() error { return s.settings.validate() }

// Start listens for operators.
func (s *Service) Start(ctx context.Context) error {
	server, err := httpserve.StartWith(ctx, s.net, string(s.settings.Listen), s.handler(), httpserve.Options{
		HeaderTimeout: httpserve.DefaultHeaderTimeout,
		TLS:           s.settings.TLS,
	})
	if err != nil {
		return err
	}
	s.server = server
	s.identity.SetListenAddr(identity.Admin, server.Addr())
	s.logger.WithField("address", server.Addr()).Info("Administration interface listens.")
	return nil
}

// Drain stops listening and lets running requests end.
func (s *Service) Drain(ctx context.Context) error { return s.server.Drain(ctx) }

// Stop ends the server.
func (s *Service) Stop(context.Context) error { return s.server.Close() }

// URL returns the base URL of the interface.
func (s *Service) URL() string { return s.server.URL() }

// handler returns the handler of all paths.
func (s *Service) handler() http.Handler {
	mux := http.NewServeMux()
	for _, e := range s.endpoints() {
		mux.Handle(e.method+" "+e.path, s.serve(e))
	}
	s.pages.register(mux)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, notFound("no such path %s %s", r.Method, r.URL.Path))
	})
	return s.limit(mux)
}

// limit bounds the requests in progress and their bodies.
func (s *Service) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.inFlight <- struct{}{}:
			defer func() { <-s.inFlight }()
		default:
			writeError(w, rateLimited(fmt.Sprintf("more than %d requests in progress", s.settings.MaxConcurrent)))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, s.settings.MaxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// Interface guards.
var (
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Validator   = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
	_ kernel.Drainer     = (*Service)(nil)
	_ kernel.Stopper     = (*Service)(nil)
)
