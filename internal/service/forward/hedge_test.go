package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/attempt"
	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/core/overload"
	"github.com/zinniafork/zinniafork/internal/core/quarantine"
	"github.com/zinniafork/zinniafork/internal/core/ratelimit"
	"github.com/zinniafork/zinniafork/internal/core/reach"
	"github.com/zinniafork/zinniafork/internal/core/retry"
	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/core/selfreport"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/membudget"
	"github.com/zinniafork/zinniafork/internal/service/site"
)

// twoTargets is a site with two targets that respond at once. It records who was sent
// a request.
type twoTargets struct {
	site.View

	mu   sync.Mutex
	sent []fleet.Target
}

func (*twoTargets) AwaitCurrent(context.Context) {}

func (*twoTargets) Age() (time.Duration, bool) { return 0, true }

func (*twoTargets) Lookup(fleet.Target) (sitestate.Target, bool) { return sitestate.Target{}, false }

func (*twoTargets) Available(fleet.Service) []sitestate.AvailableTarget {
	var out []sitestate.AvailableTarget
	for _, id := range []fleet.Target{"e1", "e2"} {
		t := sitestate.AvailableTarget{}
		t.ID, t.Slots = id, 8
		out = append(out, t)
	}
	return out
}

func (f *twoTargets) Send(_ context.Context, r *TargetRequest) (*Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, r.Target.ID)
	return &Response{Status: http.StatusOK, Stamped: true, Body: io.NopCloser(strings.NewReader("id: 1\ndata: 1\n\n"))}, nil
}

func (*twoTargets) Connect(context.Context, sitestate.AvailableTarget) error { return nil }

func (*twoTargets) Born(context.Context, sitestate.Target) (int64, error) { return 0, nil }

func (*twoTargets) CachedPrefixes(context.Context, sitestate.Target) ([]uint64, error) {
	return nil, nil
}

// sentRequest returns a request that was sent to one of two targets.
func sentRequest(route *routing.Route, f *twoTargets) *request {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &Service{
		settings: Settings{RetryRatio: 0.2, RetrySlack: 20, RetryWindowSeconds: 10},
		site:     f,
		targets:  f,
		memory:   membudget.New(membudget.DefaultLimits()),
		clock:    kernel.SystemClock{},
		logger:   logrus.NewEntry(logger),
		metrics:  newRequestMetrics(metrics.NewRegistry()),
		balancer: balance.New("dc", rand.New(rand.NewPCG(1, 1))),
		cold:     balance.NewColdLimit("vm"),
		outliers: outlier.New(),
		reports:  selfreport.New(),
		limits:   ratelimit.New(),
		granter:  ratelimit.NewGranter(),
		asker:    ratelimit.NewAsker(),
		brittle:  ratelimit.New(),
		budgets:  make(map[fleet.Service]*retry.WindowBudget),
		limiters: make(map[fleet.Service]*overload.Limiter),
		routers:  1,

		quarantine: quarantine.New(),
		paths:      reach.New(rand.New(rand.NewPCG(1, 1))),
		waiting:    make(map[*send]struct{}),
		doubted:    make(map[fleet.Target]bool),
		relays:     reach.NewRelays(rand.New(rand.NewPCG(1, 1))),
		probes:     make(chan struct{}, maxProbes),
		ctx:        context.Background(),
	}
	r := &request{
		Call: &Call{ID: "r", Received: time.Now()}, s: s, route: route, machine: attempt.New(route),
		service: &routing.Service{Name: "llm", Engine: true}, deadline: time.Now().Add(time.Minute), tried: make(map[fleet.Target]bool),
	}
	r.cur, _ = r.choose(context.Background(), time.Now())
	r.cur.open(context.Background())
	return r
}

// TestLateSilenceDoesNotReplaceAResponse lets the timer fire at the moment at which a
// long response begins to be passed on: nothing may replace it any more.
func TestLateSilenceDoesNotReplaceAResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := new(twoTargets)
		r := sentRequest(&routing.Route{Kind: routing.Safe, Attempts: 2}, f)
		timer := r.startSilenceTimer(t.Context(), r.cur)
		timer.stop()
		must.True(t, r.progress(nil))
		r.silent(t.Context(), r.cur, timer) // had fired before the stop
		must.Nil(t, r.hedge)
		must.NoError(t, r.cur.ctx.Err())
		must.SliceEmpty(t, f.sent)
	})
}

// TestGivenUpSendBringsNothing lets a request be given up while its first event is
// being handled: no part of a response that has been ended is passed on.
func TestGivenUpSendBringsNothing(t *testing.T) {
	r := sentRequest(&routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 2}, new(twoTargets))
	r.giveUp(r.cur, r.cur)
	must.False(t, r.progress([]byte("id: 1\ndata: 1\n\n")))
	must.False(t, r.headSent)
}

// TestDeniedHedgeLeavesItsTarget denies a hedge for lack of budget: the target that
// it did not reach may still get the request.
func TestDeniedHedgeLeavesItsTarget(t *testing.T) {
	f := new(twoTargets)
	r := sentRequest(&routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 2}, f)
	for r.Take(time.Now()) {
		continue
	}
	must.Nil(t, r.chooseHedge(context.Background(), new(hedge)))
	must.MapLen(t, 1, r.tried)
	s, _ := r.choose(context.Background(), time.Now())
	must.NotEq(t, "", s.target())
}
