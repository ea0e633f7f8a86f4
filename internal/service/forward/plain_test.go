package forward

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/core/slotqueue"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/slots"
)

// pausedSite is a site whose log is read again for a while.
type pausedSite struct {
	*twoTargets
	reads time.Duration
}

func (p pausedSite) AwaitCurrent(context.Context) { time.Sleep(p.reads) }

// grantingPlacer grants each request the first target, for a while.
type grantingPlacer struct{ returned int }

func (*grantingPlacer) Places(fleet.Service) bool { return true }

func (*grantingPlacer) Place(context.Context, *slots.Query) slots.Placement {
	return slots.Placement{Outcome: slots.Granted, Target: fleet.Target("e1").Ref(), UsableUntil: time.Now().Add(150 * time.Millisecond)}
}

func (p *grantingPlacer) Return(*slots.Placement, slots.Result) { p.returned++ }

func (*grantingPlacer) UseLoads(func(fleet.Ref) float64) {}

// TestGrantThatGrewOldIsReturned guards against a router that was paused with a grant, and uses it
// after the log was read again: another request may have the slot by then.
func TestGrantThatGrewOldIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for reads, returned := range map[time.Duration]int{0: 0, 250 * time.Millisecond: maxPlaceQueries} {
			placer := new(grantingPlacer)
			r := sentRequest(&routing.Route{Kind: routing.Unsafe, Attempts: 1}, new(twoTargets))
			clear(r.tried)
			r.service, r.caller = &routing.Service{Name: "plain"}, t.Context()
			r.s.placer, r.s.picker = placer, slotqueue.NewPicker(rand.New(rand.NewPCG(1, 1)))
			r.s.site = pausedSite{twoTargets: new(twoTargets), reads: reads}
			s, _ := r.choose(t.Context(), time.Now())
			must.NotEq(t, "", s.target())
			must.Eq(t, returned, placer.returned)
			must.Eq(t, returned == 0, s.placed != nil)
		}
	})
}

// waitingPlacer lets each request wait until it is given up.
type waitingPlacer struct{ grantingPlacer }

func (*waitingPlacer) Place(ctx context.Context, _ *slots.Query) slots.Placement {
	<-ctx.Done()
	return slots.Placement{Outcome: slots.Refused, Reason: slotqueue.TooLate}
}

// TestQueuedOrderEndsWithItsCaller guards against an order that waits for a slot, and takes it,
// long after its caller has left: orders go on without their callers once they were sent.
func TestQueuedOrderEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, leave := context.WithCancel(t.Context())
		r := sentRequest(&routing.Route{Kind: routing.Unsafe, Attempts: 1}, new(twoTargets))
		clear(r.tried)
		r.service, r.caller = &routing.Service{Name: "plain"}, caller
		r.s.placer, r.s.picker = new(waitingPlacer), slotqueue.NewPicker(rand.New(rand.NewPCG(1, 1)))
		time.AfterFunc(100*time.Millisecond, leave)
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(caller), 3*time.Second)
		defer cancel()
		s, _ := r.choose(ctx, began)
		must.Eq(t, "", s.target())
		must.Eq(t, 100*time.Millisecond, time.Since(began))
	})
}
