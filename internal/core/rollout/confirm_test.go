package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// TestHeldGrantsCount guards against a ledger that forgets grants that wait for a target: a

// TestConfirmationsExpire guards against a roll-out that ends while a router sends to the old
// versions again: one that has confirmed and then hears nothing does so once its last reply is
// invalid.
func TestConfirmationsExpire(t *testing.T) {
	now, rng := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	order := Order{Service: "s", To: "v2", Duration: 40 * time.Second}
	c := Begin(now, DefaultLimits, Record{Order: order, Base: []string{"v1"}}, order.Duration, rng)
	lost, slow := NewTracker(), NewTracker()
	lost.SetOrder(now, order, rng)
	slow.SetOrder(now, order, rng)
	long := slow.Started(now, slow.Rule(now, ""), "v1") // leaves time between the cutover and the deadline
	slow.Ended(now.Add(10*time.Second), long, &Outcome{})
	var stream *Send
	var lostAt, doneAt time.Time
	view := &View{Live: []fleet.VM{"lost", "slow"}, New: 1, Old: 1, MaxTimeout: 10 * time.Second}
	for doneAt.IsZero() && now.Before(time.Unix(1040, 0)) {
		now = now.Add(minInterval)
		if lostAt.IsZero() {
			r := lost.Report(now, 1)
			reply := c.Report(now, "lost", &r)
			lost.Gate().Take(now, &reply)
			if r.Closed {
				lostAt = now
			} else if reply.Closed {
				// A stream goes on at the old version before its router hears that it is closed.
				send := slow.Started(now, slow.Rule(now, "v1"), "v1")
				stream = &send
			}
		}
		if !lostAt.IsZero() && now.Sub(lostAt) == 1500*time.Millisecond {
			slow.Ended(now, *stream, &Outcome{})
		}
		r := slow.Report(now, 1)
		reply := c.Report(now, "slow", &r)
		slow.Gate().Take(now, &reply)
		c.Tick(now, view)
		if record, needed := c.Next(now); needed {
			c.Written(now, record)
		}
		if phase, _ := c.Phase(); phase == Done {
			doneAt = now
		}
	}
	must.False(t, lostAt.IsZero() || doneAt.IsZero())
	rule := lost.Rule(now, "")
	must.True(t, !rule.Allows("v1") || doneAt.Sub(lostAt) >= DefaultLimits.StableWindow,
		must.Sprintf("done %v after the last report", doneAt.Sub(lostAt)))
}

// TestDoneWaitsForOldRequests guards against a roll-out that is done at its deadline while a
// request is still on its way to an old target, which stops at that moment.
func TestDoneWaitsForOldRequests(t *testing.T) {
	now, rng := time.Unix(1000, 0), rand.New(rand.NewPCG(3, 4))
	order := Order{Service: "s", To: "v2", Duration: 20 * time.Second}
	c := Begin(now, DefaultLimits, Record{Order: order, Base: []string{"v1"}}, order.Duration, rng)
	router := NewTracker()
	router.SetOrder(now, order, rng)
	view := &View{Live: []fleet.VM{"r"}, New: 1, Old: 1, MaxTimeout: time.Second}
	running := router.Started(now, router.Rule(now, ""), "v1")
	ends := now.Add(order.Duration + 3*time.Second)
	for now.Before(ends.Add(10 * time.Second)) {
		now = now.Add(minInterval)
		if now.Equal(ends) {
			router.Ended(now, running, &Outcome{})
		}
		r := router.Report(now, 1)
		reply := c.Report(now, "r", &r)
		router.Gate().Take(now, &reply)
		c.Tick(now, view)
		if record, needed := c.Next(now); needed {
			c.Written(now, record)
		}
		if phase, _ := c.Phase(); phase == Done {
			must.False(t, now.Before(ends), must.Sprint("done while a request runs at an old target"))
			return
		}
	}
	t.Fatal("the roll-out does not end")
}
