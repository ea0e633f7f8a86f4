package fencing_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
	"github.com/zinniafork/zinniafork/internal/platform/logstream/logtest"
	"github.com/zinniafork/zinniafork/internal/platform/vmlist"
	"github.com/zinniafork/zinniafork/internal/service/fencing"
	"github.com/zinniafork/zinniafork/internal/service/owner"
	"github.com/zinniafork/zinniafork/internal/service/platform"
	"github.com/zinniafork/zinniafork/internal/service/servicetest"
)

type testPlatform struct {
	vmlist.Source
	link *logtest.Client
}

func (*testPlatform) Name() string            { return platform.Name }
func (p *testPlatform) Log() logstream.Log    { return p.link }
func (p *testPlatform) VMList() vmlist.Source { return p }

// owners is an ownership that tests set. A router that was paused may believe
// anything.
type owners struct {
	owner.Ownership
	term    uint64
	confirm error
}

func (*owners) Name() string                                    { return owner.Name }
func (o *owners) Term(owner.Resource) uint64                    { return o.term }
func (o *owners) Confirm(context.Context, owner.Resource) error { return o.confirm }

// engine keeps the numbers of the orders it applied.
type engine struct {
	mu      sync.Mutex
	checks  bool
	highest uint64
	applied []uint64
}

func (e *engine) order(number uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && number < e.highest {
		return errors.New("old number")
	}
	e.highest = max(e.highest, number)
	e.applied = append(e.applied, number)
	return nil
}

type router struct {
	guard  fencing.Guard
	owners *owners
	link   *logtest.Client
}

func newRouter(t *testing.T, log *logtest.Log, vm fleet.VM) *router {
	t.Helper()
	r := &router{owners: &owners{term: 1}, link: log.Client()}
	cfg := &servicetest.Config{}
	cfg.Set(config.Defaults())
	k := servicetest.NewKernel(t, r.owners, cfg, servicetest.NewIdentity(vm), &testPlatform{link: r.link})
	must.NoError(t, k.Provision(fencing.Name))
	var err error
	r.guard, err = kernel.Find[fencing.Guard](k, fencing.Name)
	must.NoError(t, err)
	return r
}

// order gives an order, which is paused before it leaves.
func (r *router) order(ctx context.Context, e *engine, pause time.Duration) error {
	t := &config.Target{Name: "engine-1", ChecksFencing: e.checks}
	return r.guard.SendOrder(ctx, t, func(ctx context.Context, number uint64) error {
		if err := (kernel.SystemClock{}).Sleep(ctx, pause); err != nil {
			return err
		}
		return e.order(number)
	})
}

func bubble(t *testing.T, test func(t *testing.T, old, next *router)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New(time.Millisecond)
		test(t, newRouter(t, log, "dc1a"), newRouter(t, log, "dc1b"))
	})
}

func refusedAs(t *testing.T, code call.Code, err error) {
	t.Helper()
	must.Error(t, err)
	must.Eq(t, code, call.AsError(err).Code, must.Sprintf("%v", err))
	must.Eq(t, call.RunNot, call.AsError(err).Run)
}

// The old holder is paused just before its order leaves and wakes after the
// next one has given its order.
func TestOldHolderWakesAtACheckingTarget(t *testing.T) {
	bubble(t, func(t *testing.T, old, next *router) {
		e := &engine{checks: true}
		done := make(chan error)
		go func() { done <- old.order(t.Context(), e, time.Minute) }()
		time.Sleep(time.Second)
		begin := time.Now()
		must.NoError(t, next.order(t.Context(), e, 0))
		must.Less(t, time.Second, time.Since(begin))
		must.Error(t, <-done)
		must.Len(t, 1, e.applied)
	})
}

// The old holder is paused before it looks, and wakes with a lease that it
// still takes for its own.
func TestOldHolderWakesAtATargetThatDoesNotCheck(t *testing.T) {
	bubble(t, func(t *testing.T, old, next *router) {
		e := &engine{}
		must.NoError(t, old.order(t.Context(), e, 0))
		begin := time.Now()
		must.NoError(t, next.order(t.Context(), e, 0))
		must.GreaterEq(t, config.Defaults().Control.Lease.Std(), time.Since(begin))
		refusedAs(t, call.CodeNotOwner, old.order(t.Context(), e, 0))
		must.Len(t, 2, e.applied)
		must.NoError(t, next.order(t.Context(), e, 0))
	})
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		checks bool
		fault  func(r *router)
		code   call.Code
	}{
		"not the owner":                    {true, func(r *router) { r.owners.term = 0 }, call.CodeNotOwner},
		"lease not confirmed":              {true, func(r *router) { r.owners.confirm = errors.New("no majority") }, call.CodeNotOwner},
		"log away before the claim":        {true, func(r *router) { r.owners.term = 2; r.link.SetDown(true) }, call.CodeLogUnavailable},
		"log away, target that checks not": {false, func(r *router) { r.link.SetDown(true) }, call.CodeLogUnavailable},
		"claim vanished":                   {true, func(r *router) { r.owners.term = 2; r.link.Fail(logtest.Vanish) }, call.CodeLogUnavailable},
		"log away, target that checks":     {true, func(r *router) { r.link.SetDown(true) }, ""},
		"answer to the claim lost":         {true, func(r *router) { r.owners.term = 2; r.link.Fail(logtest.Lose) }, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, r, _ *router) {
				e := &engine{checks: c.checks}
				must.NoError(t, r.order(t.Context(), e, 0))
				c.fault(r)
				err := r.order(t.Context(), e, 0)
				if c.code == "" {
					must.NoError(t, err)
					must.Len(t, 2, e.applied)
					return
				}
				refusedAs(t, c.code, err)
				must.Len(t, 1, e.applied)
			})
		})
	}
}
