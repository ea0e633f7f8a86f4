package rollout

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/ratelimit"
	"github.com/zinniafork/zinniafork/internal/core/rollout"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/site"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// fixedClock is a clock that stands.
type fixedClock struct {
	kernel.Clock
	now time.Time
}

func (c *fixedClock) Now() time.Time { return c.now }

// oneTarget is a site with one target of version v1.
type oneTarget struct{ site.View }

func (oneTarget) Available(fleet.Service) []sitestate.AvailableTarget {
	return []sitestate.AvailableTarget{{Target: sitestate.Target{Version: "v1"}}}
}

var testOrder = rollout.Order{Service: "s", To: "v2", Duration: time.Minute, Offset: 7, Era: 1}

func newTestService() (*Service, *fixedClock) {
	clock := &fixedClock{now: time.Unix(1000, 0)}
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	s := &Service{
		settings: defaultSettings(), enabled: true, site: oneTarget{}, self: "a", process: 1, clock: clock, logger: logrus.NewEntry(logger),
		registry: metrics.NewRegistry(), wake: make(chan struct{}, 1), rng: rand.New(rand.NewPCG(1, 2)),
		services: make(map[fleet.Service]*state), asker: ratelimit.NewAsker(),
	}
	s.takeOrder(s.state("s"), testOrder)
	return s, clock
}

// TestRulesOfACutoverEndWithIt guards against requests that wait for a slot in the cutover and go to
// the new version after it was rolled back, or after the router has lost its controller.
func TestRulesOfACutoverEndWithIt(t *testing.T) {
	for _, rolledBack := range []bool{true, false} {
		s, clock := newTestService()
		gate := s.state("s").tracker.Gate()
		must.True(t, gate.Take(clock.now, &rollout.Reply{Order: testOrder, Term: 1, Seq: 1, Phase: rollout.Cutover, Base: []string{"v1"}, ValidMs: 1000}))
		rule := s.Rule(context.Background(), "s", "")
		must.True(t, rule.Allows("t", "v2") && !rule.Allows("t", "v1") && !rule.Widen())
		if rolledBack {
			must.True(t, gate.Take(clock.now, &rollout.Reply{Order: testOrder, Term: 1, Seq: 2, Phase: rollout.RolledBack, ValidMs: 1000}))
		} else {
			clock.now = clock.now.Add(time.Second)
		}
		must.False(t, rule.Allows("t", "v2"))
		must.True(t, rule.Widen())
		must.True(t, rule.Allows("t", "v1") && !rule.Allows("t", "v2") && !rule.Widen())
		s.Started(rule, "s", "v1")
	}
}

// TestWithdrawnOrderStaysForgotten guards against a withdrawn order that comes back: routers that
// have not heard of the withdrawal yet still report on it or announce it.
func TestWithdrawnOrderStaysForgotten(t *testing.T) {
	s, clock := newTestService()
	st := s.state("s")
	must.True(t, st.tracker.Gate().Take(clock.now, &rollout.Reply{Order: testOrder, Term: 1, Seq: 1, Phase: rollout.RolledBack, ValidMs: 1000}))
	gone := sitestate.Record[sitestate.Rollout]{Key: "s", Offset: 8, Gone: true}
	s.siteChanged(sitestate.Changes{Rollouts: []sitestate.Record[sitestate.Rollout]{gone}})
	s.expireOrder(st)
	must.Nil(t, st.tracker.Gate())
	payload, err := wire.Marshal(testOrder)
	must.NoError(t, err)
	s.handleOrder("b", payload)
	must.Nil(t, st.tracker.Gate())
	_, err = s.answer("b", &rollout.Report{Order: testOrder, Incarnation: 1})
	must.ErrorIs(t, err, errNotController)
	must.True(t, st.tracker.Gate().Withdrawn()) // it may have to tell the end to others
	later := testOrder
	later.Offset = 9
	s.handleOrder("b", payload)
	s.siteChanged(sitestate.Changes{Rollouts: []sitestate.Record[sitestate.Rollout]{{
		Key: "s", Offset: 9, Value: sitestate.Rollout{Service: "s", To: "v2", Duration: time.Minute, Offset: 9, Era: 1},
	}}})
	must.True(t, st.tracker.Gate().Order().Same(later) && !st.tracker.Gate().Withdrawn())
}

// TestWithdrawalAfterARestoreCounts guards against a withdrawal that is taken for an old one: after
// the log was restored from a copy, its offset is below that of the order.
func TestWithdrawalAfterARestoreCounts(t *testing.T) {
	s, clock := newTestService()
	s.services = make(map[fleet.Service]*state)
	known := sitestate.New()
	order := func(offset, era int64) sitestate.Record[sitestate.Rollout] {
		return sitestate.Record[sitestate.Rollout]{Key: "s", Offset: offset, Value: sitestate.Rollout{
			Service: "s", To: "v2", Duration: time.Minute, Offset: offset, Era: era,
		}}
	}
	apply := func(era, from, end int64, whole bool, records ...sitestate.Record[sitestate.Rollout]) {
		s.siteChanged(known.Apply(clock.now, &sitestate.Update{
			Rollouts: records, From: sitestate.Positions{Operator: from, Era: era},
			End:           sitestate.Positions{Operator: end, Targets: 1, VMs: 1, Era: era},
			WholeOperator: whole, WholeTargets: whole, WholeVMs: whole,
		}))
	}
	apply(1, 0, 101, true, order(100, 1))
	apply(2, 0, 51, true, order(50, 2))
	gate := s.state("s").tracker.Gate()
	must.False(t, gate.Withdrawn())
	apply(2, 51, 52, false, sitestate.Record[sitestate.Rollout]{Key: "s", Offset: 51, Gone: true})
	must.True(t, gate.Withdrawn())
}
