package loader

import (
	"context"
	"io"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/owner"
	"github.com/zinniafork/zinniafork/internal/service/servicetest"
	"github.com/zinniafork/zinniafork/internal/target"
	"github.com/zinniafork/zinniafork/internal/target/engine"
)

// fakeEngine records orders and applies them to the models it reports.
type fakeEngine struct {
	engine.Engine
	loaded []target.LoadedModel
	orders []engine.Order
}

func (e *fakeEngine) Report(context.Context) (target.Report, error) {
	return target.Report{Models: e.loaded}, nil
}

func (e *fakeEngine) Order(_ context.Context, o engine.Order) (engine.OrderResult, error) {
	e.orders = append(e.orders, o)
	e.loaded[0].Version = o.Version
	if o.Adapter != "" {
		e.loaded[0].Adapters = append(e.loaded[0].Adapters, o.Adapter)
	}
	return engine.OrderResult{Applied: true}, nil
}

// fixedOwner is an ownership that holds all targets or none.
type fixedOwner struct {
	owner.Ownership
	holds bool
}

func (f fixedOwner) Holds(owner.Resource) bool { return f.holds }

// fixedGuard sends every order with the same fencing token.
type fixedGuard uint64

func (g fixedGuard) SendOrder(ctx context.Context, _ *config.Target, send func(context.Context, uint64) error) error {
	return send(ctx, uint64(g))
}

// TestEnginesLoadConfiguredModels checks that the owner of an engine loads
// the configured version first and then the adapter, each once, and that other
// routers send no orders.
func TestEnginesLoadConfiguredModels(t *testing.T) {
	for name, holds := range map[string]bool{"owner": true, "not the owner": false} {
		t.Run(name, func(t *testing.T) {
			e := &fakeEngine{loaded: []target.LoadedModel{{Model: "copydesk", Version: "1"}}}
			cfg := &servicetest.Config{}
			c := config.Defaults()
			c.Models = []config.Model{{Name: "copydesk", Version: "2", Adapters: []string{"shelf"}}}
			c.Targets = []config.Target{{Name: "engine-1", Models: []fleet.Model{"copydesk"}}, {Name: "print-1", Service: "print"}}
			cfg.Set(c)
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			s := &Service{
				config: cfg, owners: fixedOwner{holds: holds}, guard: fixedGuard(7), logger: logrus.NewEntry(logger),
				open: func(*config.Target) engine.Engine { return e },
			}
			for range 4 {
				s.checkEngines(t.Context())
			}
			if !holds {
				must.Len(t, 0, e.orders)
				return
			}
			must.Eq(t, []engine.Order{
				{Kind: engine.OrderLoadModel, Model: "copydesk", Version: "2", Fencing: 7},
				{Kind: engine.OrderLoadAdapter, Model: "copydesk", Version: "2", Adapter: "shelf", Fencing: 7},
			}, e.orders)
		})
	}
}
