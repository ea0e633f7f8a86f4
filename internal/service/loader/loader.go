// Package loader makes the engines that this router owns load the models,
// versions and adapters that the configuration assigns to them. It compares the
// configuration with the report of each engine and sends one load order at a
// time.
package loader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/loading"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/service/fencing"
	"github.com/zinniafork/zinniafork/internal/service/owner"
	"github.com/zinniafork/zinniafork/internal/target"
	"github.com/zinniafork/zinniafork/internal/target/engine"
)

// Name is the name of the service in the kernel.
const Name = "loader"

const (
	// checkPeriod is the time between two checks of the owned engines.
	checkPeriod = 20 * time.Second
	// reportTimeout limits the request for the report of an engine.
	reportTimeout = 2 * time.Second
	// loadTimeout limits one load, the wait for permission included.
	loadTimeout = 10 * time.Minute
)

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// Service checks the owned engines one after the other, so that a router causes
// at most one load from the store of model weights at a time.
type Service struct {
	config configsync.Source
	owners owner.Ownership
	guard  fencing.Guard
	clock  kernel.Clock
	logger *logrus.Entry
	// open returns a client of an engine.
	open func(t *config.Target) engine.Engine
}

// Name returns the name of the service in the kernel.
func (*Service) Name() string { return Name }

// Provision looks up the configuration, ownership and the fencing guard. It
// fails if one of them is missing.
func (s *Service) Provision(c *kernel.Context) error {
	var err error
	if s.config, err = kernel.Lookup[configsync.Source](c, configsync.Name); err != nil {
		return err
	}
	if s.owners, err = kernel.Lookup[owner.Ownership](c, owner.Name); err != nil {
		return err
	}
	if s.guard, err = kernel.Lookup[fencing.Guard](c, fencing.Name); err != nil {
		return err
	}
	s.clock, s.logger = c.Clock, c.Logger()
	http := target.NewHTTPClient(c.Net)
	s.open = func(t *config.Target) engine.Engine { return engine.New(t.Name, t.URL, http) }
	return nil
}

// Start starts the periodic checks, which end when ctx is done.
func (s *Service) Start(ctx context.Context) error {
	go kernel.Every(ctx, s.clock, checkPeriod, func(time.Time) { s.checkEngines(ctx) })
	return nil
}

// checkEngines checks all engines that this router owns. Without a
// configuration it does nothing.
func (s *Service) checkEngines(ctx context.Context) {
	cfg := s.config.Current()
	if cfg == nil {
		return
	}
	for i := range cfg.Targets {
		t := &cfg.Targets[i]
		if t.IsEngine() && s.owners.Holds(owner.TargetResource(t.Name)) {
			s.updateEngine(ctx, cfg, t)
		}
	}
}

// updateEngine sends the next load order to an engine, if it lacks a model, a
// version or an adapter.
func (s *Service) updateEngine(ctx context.Context, cfg *config.Effective, t *config.Target) {
	e := s.open(t)
	reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	report, err := e.Report(reportCtx)
	cancel()
	if err != nil {
		return // The owner's health probes deal with engines that don't respond.
	}
	next, ok := loading.Plan(wantedModels(cfg, t), loadedModels(report))
	if !ok {
		return
	}
	ctx, cancel = context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	err = s.guard.SendOrder(ctx, t, func(ctx context.Context, token uint64) error {
		_, err := e.Order(ctx, newOrder(next, token))
		return err
	})
	log := s.logger.WithFields(logrus.Fields{"target": t.Name, "model": next.Model, "version": next.Version, "adapter": next.Adapter})
	if err != nil {
		log.WithError(err).Warn("Load order failed.")
		return
	}
	log.Info("Engine load order sent.")
}

// wantedModels returns the models that the configuration assigns to t, with
// their versions and adapters.
func wantedModels(cfg *config.Effective, t *config.Target) []loading.Model {
	var out []loading.Model
	for _, name := range t.Models {
		w := loading.Model{Name: name}
		if m := cfg.Model(name); m != nil {
			w.Version, w.Adapters = m.Version, m.Adapters
		}
		out = append(out, w)
	}
	return out
}

// loadedModels returns the models that an engine reports as loaded.
func loadedModels(r target.Report) []loading.Model {
	var out []loading.Model
	for _, m := range r.Models {
		out = append(out, loading.Model{Name: m.Model, Version: m.Version, Adapters: m.Adapters})
	}
	return out
}

// newOrder returns the engine order of a load action, with the fencing token.
func newOrder(a loading.Action, token uint64) engine.Order {
	o := engine.Order{Kind: engine.OrderLoadModel, Model: a.Model, Version: a.Version, Fencing: token}
	if a.Adapter != "" {
		o.Kind, o.Adapter = engine.OrderLoadAdapter, a.Adapter
	}
	return o
}

// Interface guards.
var (
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
)
