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

// testPlatform is a platform whose log is a client of a log in memory.
type testPlatform struct {
	vmlist.Source
	link *logtest.Client
}

func (*testPlatform) Name() string            { return platform.Name }
func (p *testPlatform) Log() logstream.Log    { return p.link }
func (p *testPlatform) VMList() vmlist.Source { return p }

// owners is an ownership whose term and confirmation tests set, since a router
// that was paused may believe that it still owns a target.
type owners struct {
	owner.Ownership
	term    uint64
	confirm error
}

func (*owners) Name() string                                    { return owner.Name }
func (o *owners) Term(owner.Resource) uint64                    { return o.term }
func (o *owners) Confirm(context.Context, owner.Resource) error { return o.confirm }

// engine records the tokens of the orders that it applied.
type engine struct {
	mu           sync.Mutex
	checksTokens bool
	highest      uint64
	applied      []uint64
}

func (e *engine) order(token uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksTokens && token < e.highest {
		return errors.New("old token")
	}
	e.highest = max(e.highest, token)
	e.applied = append(e.applied, token)
	return nil
}

// router is the fencing service of one router with its ownership and log client.
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

// order sends an order to the engine, with a pause after the guard allowed it.
func (r *router) order(ctx context.Context, e *engine, pause time.Duration) error {
	t := &config.Target{Name: "engine-1", ChecksFencing: e.checksTokens}
	return r.guard.SendOrder(ctx, t, func(ctx context.Context, token uint64) error {
		if err := (kernel.SystemClock{}).Sleep(ctx, pause); err != nil {
			return err
		}
		return e.order(token)
	})
}

// withTwoRouters runs a test with two routers that share a log, in fake time.
func withTwoRouters(t *testing.T, test func(t *testing.T, old, next *router)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New(time.Millisecond)
		test(t, newRouter(t, log, "dc1a"), newRouter(t, log, "dc1b"))
	})
}

// requireNotSent checks that the error has the code and says that the order was
// not sent.
func requireNotSent(t *testing.T, code call.Code, err error) {
	t.Helper()
	must.Error(t, err)
	must.Eq(t, code, call.AsError(err).Code, must.Sprintf("%v", err))
	must.Eq(t, call.RunNot, call.AsError(err).Run)
}

// The previous owner is paused right before it sends its order and continues
// after the next owner has sent one. The engine must reject the older token, and
// the next owner need not wait.
func TestPausedOwnerAtTargetThatChecksTokens(t *testing.T) {
	withTwoRouters(t, func(t *testing.T, old, next *router) {
		e := &engine{checksTokens: true}
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

// The previous owner is paused before it requests an order and still believes
// that it holds the lease. It must find the claim of the next owner, which in
// turn waits before its first order, since the target does not check tokens.
func TestPausedOwnerAtTargetThatDoesNotCheckTokens(t *testing.T) {
	withTwoRouters(t, func(t *testing.T, old, next *router) {
		e := &engine{}
		must.NoError(t, old.order(t.Context(), e, 0))
		begin := time.Now()
		must.NoError(t, next.order(t.Context(), e, 0))
		must.GreaterEq(t, config.Defaults().Control.Lease.Std(), time.Since(begin))
		requireNotSent(t, call.CodeNotOwner, old.order(t.Context(), e, 0))
		must.Len(t, 2, e.applied)
		must.NoError(t, next.order(t.Context(), e, 0))
	})
}

// TestOrderNotSent makes one step fail after a first order and checks the error
// of the second one, or that it is sent if the failure does not matter.
func TestOrderNotSent(t *testing.T) {
	cases := map[string]struct {
		checksTokens bool
		fault        func(r *router)
		code         call.Code
	}{
		"not the owner":                       {true, func(r *router) { r.owners.term = 0 }, call.CodeNotOwner},
		"lease not confirmed":                 {true, func(r *router) { r.owners.confirm = errors.New("no majority") }, call.CodeNotOwner},
		"log unavailable before the claim":    {true, func(r *router) { r.owners.term = 2; r.link.SetDown(true) }, call.CodeLogUnavailable},
		"log unavailable, tokens not checked": {false, func(r *router) { r.link.SetDown(true) }, call.CodeLogUnavailable},
		"appended claim not in the log":       {true, func(r *router) { r.owners.term = 2; r.link.Fail(logtest.Vanish) }, call.CodeLogUnavailable},
		"log unavailable, tokens checked":     {true, func(r *router) { r.link.SetDown(true) }, ""},
		"response to the append lost":         {true, func(r *router) { r.owners.term = 2; r.link.Fail(logtest.Lose) }, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withTwoRouters(t, func(t *testing.T, r, _ *router) {
				e := &engine{checksTokens: c.checksTokens}
				must.NoError(t, r.order(t.Context(), e, 0))
				c.fault(r)
				err := r.order(t.Context(), e, 0)
				if c.code == "" {
					must.NoError(t, err)
					must.Len(t, 2, e.applied)
					return
				}
				requireNotSent(t, c.code, err)
				must.Len(t, 1, e.applied)
			})
		})
	}
}
