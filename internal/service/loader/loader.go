// Package loader orders the engines that this router owns to load the models,
// versions and adapters that the configuration names.
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

// Name is the service's name in the kernel.
const Name = "loader"

const (
	// period is the time between two looks at the engines that are owned.
	period = 20 * time.Second
	// reportLimit limits the reading of an engine's report, loadLimit one load.
	reportLimit = 2 * time.Second
	loadLimit   = 10 * time.Minute
)

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// Service looks at one engine after the other, so that a router puts no more
// than one load on the store of weights at a time.
type Service struct {
	config configsync.Source
	owners owner.Ownership
	guard  fencing.Guard
	clock  kernel.Clock
	logger *logrus.Entry
	open   func(t *config.Target) engine.Engine
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision looks up ownership and the guard of orders.
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

// Start looks at the engines from time to time.
func (s *Service) Start(ctx context.Context) error {
	go kernel.Every(ctx, s.clock, period, func(time.Time) { s.look(ctx) })
	return nil
}

func (s *Service) look(ctx context.Context) {
	cfg := s.config.Current()
	if cfg == nil {
		return
	}
	for i := range cfg.Targets {
		t := &cfg.Targets[i]
		if t.IsEngine() && s.owners.Holds(owner.TargetResource(t.Name)) {
			s.tend(ctx, cfg, t)
		}
	}
}

// tend orders the next change of an engine, if one is wanted.
func (s *Service) tend(ctx context.Context, cfg *config.Effective, t *config.Target) {
	e := s.open(t)
	reading, cancel := context.WithTimeout(ctx, reportLimit)
	report, err := e.Report(reading)
	cancel()
	if err != nil {
		return // the owner's own probes see to it
	}
	next, some := loading.Plan(wanted(cfg, t), held(report))
	if !some {
		return
	}
	ctx, cancel = context.WithTimeout(ctx, loadLimit)
	defer cancel()
	err = s.guard.SendOrder(ctx, t, func(ctx context.Context, number uint64) error {
		_, err := e.Order(ctx, orderOf(next, number))
		return err
	})
	log := s.logger.WithFields(logrus.Fields{"target": t.Name, "model": next.Model, "version": next.Version, "adapter": next.Adapter})
	if err != nil {
		log.WithError(err).Warn("Order to load failed.")
		return
	}
	log.Info("Engine was ordered to load.")
}

func wanted(cfg *config.Effective, t *config.Target) []loading.Model {
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

func held(r target.Report) []loading.Model {
	var out []loading.Model
	for _, m := range r.Models {
		out = append(out, loading.Model{Name: m.Model, Version: m.Version, Adapters: m.Adapters})
	}
	return out
}

func orderOf(a loading.Action, number uint64) engine.Order {
	o := engine.Order{Kind: engine.OrderLoadModel, Model: a.Model, Version: a.Version, Fencing: number}
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
