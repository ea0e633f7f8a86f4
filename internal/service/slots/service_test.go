package slots

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/core/slotqueue"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/service/peer/peertest"
	"github.com/zinniafork/zinniafork/internal/service/site"
)

// oneTarget is a site with one target of one slot.
type oneTarget struct{ site.View }

func (oneTarget) Available(fleet.Service) []sitestate.AvailableTarget {
	return []sitestate.AvailableTarget{{ID: "t", Target: sitestate.Target{Slots: 1}}}
}

var target = fleet.Target("t").Ref()

// newService returns the service of a router, which takes only grantor for the one that grants.
func newService(t *testing.T, hub *peertest.Hub, vm, grantor fleet.VM) *Service {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &Service{
		site: oneTarget{}, peers: hub.Join(t.Context(), vm), self: vm, clock: kernel.SystemClock{}, logger: logrus.NewEntry(logger),
		metrics: newSlotMetrics(metrics.NewRegistry()), load: func(fleet.Ref) float64 { return 0 },
		random: rand.New(rand.NewPCG(uint64(vm[0]), 0)), asker: slotqueue.NewAsker(),
		ranked: make(map[fleet.Service][]fleet.VM), queues: make(map[fleet.Service]*queue),
	}
	s.routers.Store(&[]slotqueue.Router{{VM: grantor}})
	s.peers.HandleQuery(peer.KindPlace, s.handlePlace)
	s.peers.HandleControl(peer.KindPlaceRelease, s.handleRelease)
	return s
}

// newTestQuery returns a query of a request under load.
func newTestQuery() *Query {
	now := time.Now()
	return &Query{
		Service: "plain", Account: "a", Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(3 * time.Second),
		Targets: []slotqueue.Target{{Ref: target, Slots: 1, Known: 1}},
	}
}

// outstanding returns the grants and waiting requests of a grantor.
func (s *Service) outstanding() int {
	q := s.queueOf("plain")
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.grantor.Outstanding() + q.grantor.Waiting()
}

// TestRouterOfAnEarlierRelease guards against requests that wait for a router which does not know
// the query.
func TestRouterOfAnEarlierRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := peertest.NewHub(time.Millisecond)
		old := hub.Join(t.Context(), "old")
		asked := 0
		old.HandleQuery(peer.KindPlace, func(context.Context, fleet.VM, []byte) ([]byte, error) {
			asked++
			return nil, &call.Error{Code: call.CodeNotFound, Run: call.RunNot}
		})
		s := newService(t, hub, "new", "old")
		for range 5 {
			begun := time.Now()
			must.Eq(t, ChooseSelf, s.Place(t.Context(), newTestQuery()).Outcome)
			must.LessEq(t, 2*time.Millisecond, time.Since(begun))
		}
		must.Eq(t, 1, asked)
	})
}

// TestSilentGrantor guards against requests that wait longer than a part of their time for a
// router that does not answer, and against its late grants being lost.
func TestSilentGrantor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := peertest.NewHub(time.Millisecond)
		g := newService(t, hub, "g", "g")
		s := newService(t, hub, "s", "g")
		g.peers.HandleQuery(peer.KindPlace, func(ctx context.Context, from fleet.VM, payload []byte) ([]byte, error) {
			go func() {
				time.Sleep(time.Second) // the process is frozen, and takes the query when it wakes
				_, _ = g.handlePlace(context.WithoutCancel(ctx), from, payload)
			}()
			<-ctx.Done()
			return nil, &call.Error{Code: call.CodeCanceled}
		})
		begun := time.Now()
		must.Eq(t, ChooseSelf, s.Place(t.Context(), newTestQuery()).Outcome)
		must.LessEq(t, mostHold+answerMargin+2*time.Millisecond, time.Since(begun))
		for range 3 {
			begun = time.Now()
			must.Eq(t, ChooseSelf, s.Place(t.Context(), newTestQuery()).Outcome)
			must.Zero(t, time.Since(begun), must.Sprint("a router that does not answer is skipped for a while"))
		}
		time.Sleep(5 * time.Second)
		must.Zero(t, g.outstanding(), must.Sprint("the late grant has expired"))
	})
}

// TestLongQueueIsNoSilence guards against requests that take a long queue for a router that is
// gone, and against grants that are not returned.
func TestLongQueueIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := peertest.NewHub(time.Millisecond)
		g := newService(t, hub, "g", "g")
		s := newService(t, hub, "s", "g")
		ended := make(chan Placement, 20)
		for range 20 {
			go func() {
				p := s.Place(t.Context(), newTestQuery())
				if p.Outcome == Granted {
					time.Sleep(50 * time.Millisecond)
				}
				s.Return(&p, Result{Took: 50 * time.Millisecond})
				ended <- p
			}()
		}
		granted := 0
		for range 20 {
			p := <-ended
			must.NotEq(t, ChooseSelf, p.Outcome)
			if p.Outcome == Granted {
				granted++
			} else {
				must.Positive(t, p.RetryAfter)
			}
		}
		must.GreaterEq(t, 6, granted, must.Sprint("one slot of 50 ms and an objective of 300 ms"))
		time.Sleep(10 * time.Millisecond)
		must.Zero(t, g.outstanding())
	})
}

// TestCallerThatLeavesFreesItsPlace guards against slots that are kept for requests which have
// ended.
func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := peertest.NewHub(time.Millisecond)
		g := newService(t, hub, "g", "g")
		s := newService(t, hub, "s", "g")
		var held []Placement
		for range 1 + 2 { // the slot and what is granted beyond it
			held = append(held, s.Place(t.Context(), newTestQuery()))
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(20 * time.Millisecond)
			cancel()
		}()
		must.Eq(t, Refused, s.Place(ctx, newTestQuery()).Outcome)
		for i := range held {
			must.Eq(t, Granted, held[i].Outcome)
			s.Return(&held[i], Result{})
		}
		time.Sleep(10 * time.Millisecond)
		must.Zero(t, g.outstanding())
	})
}

// TestPausedRouterUsesNoOldGrant guards against a grant that arrives before a pause of the process
// and is used after it, when the slot may have been taken by another request.
func TestPausedRouterUsesNoOldGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := peertest.NewHub(time.Millisecond)
		g := newService(t, hub, "g", "g")
		s := newService(t, hub, "s", "g")
		p := Placement{service: "plain", id: 7, Grantor: "g"}
		reply := g.ask(t.Context(), "s", newQuery(time.Now(), newTestQuery(), 7))
		must.Eq(t, slotqueue.Granted, reply.State)
		s.decided(time.Now().Add(maxGrantAge+time.Millisecond), time.Now(), newTestQuery(), &p, reply)
		must.Eq(t, ChooseSelf, p.Outcome)
		time.Sleep(10 * time.Millisecond)
		must.Zero(t, g.outstanding(), must.Sprint("it is returned"))
	})
}

// TestCanceledQueryTakesNoSlot guards against a grantor that was frozen: when it wakes it reads the
// query, its cancel and the release, and may handle the query last. The slot would be held until
// the deadline of the request.
func TestCanceledQueryTakesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newService(t, peertest.NewHub(time.Millisecond), "g", "g")
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		g.release(&placeRelease{ID: 7, Service: "plain"})
		reply := g.ask(ctx, "s", newQuery(time.Now(), newTestQuery(), 7))
		must.NotEq(t, slotqueue.Granted, reply.State)
		must.Zero(t, g.outstanding())
	})
}

// TestGrantsOfFarDeadlinesExpire guards against a router that asks with a deadline of weeks and
// never returns its grants, which would shut out the targets for everybody.
func TestGrantsOfFarDeadlinesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newService(t, peertest.NewHub(time.Millisecond), "g", "g")
		q := newQuery(time.Now(), newTestQuery(), 7)
		q.Deadline, q.Objective = math.MaxInt32, math.MaxInt32
		must.Eq(t, slotqueue.Granted, g.ask(t.Context(), "s", q).State)
		time.Sleep(10 * time.Minute)
		must.Zero(t, g.outstanding())
	})
}

// TestLostAnswerReturnsItsGrant guards against slots that stay taken until the deadline, since the
// connection ended after the grantor had decided and before the answer arrived.
func TestLostAnswerReturnsItsGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := peertest.NewHub(time.Millisecond)
		g := newService(t, hub, "g", "g")
		s := newService(t, hub, "s", "g")
		g.peers.HandleQuery(peer.KindPlace, func(ctx context.Context, from fleet.VM, payload []byte) ([]byte, error) {
			_, err := g.handlePlace(ctx, from, payload)
			must.NoError(t, err)
			return nil, &call.Error{Code: call.CodeUnavailable, Run: call.RunUnknown}
		})
		must.Eq(t, ChooseSelf, s.Place(t.Context(), newTestQuery()).Outcome)
		time.Sleep(10 * time.Millisecond)
		must.Zero(t, g.outstanding())
	})
}
