package ratelimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/ratelimit"
)

// TestSlotsAreGrantedOnce lets many requests ask for the slots of one target, each of which
// runs for a while: there are never more than the target has, and nearly all are in use.
func TestSlotsAreGrantedOnce(t *testing.T) {
	for _, slots := range []int{1, 6, 12, 128} {
		g := ratelimit.NewSlotGranter()
		b := ratelimit.Brittle{Process: process, Slots: slots, MaxRejected: 4}
		random := rand.New(rand.NewPCG(1, uint64(slots)))
		ends := make(map[uint64]time.Time)
		used, steps := 0, 0
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(5 * time.Millisecond) {
			for slot, end := range ends {
				if !now.Before(end) {
					g.Release(now, b, slot, false)
					delete(ends, slot)
				}
			}
			for range slots {
				if slot, ok, _ := g.Grant(now, b, false); ok {
					ends[slot] = now.Add(time.Duration(20+random.IntN(200)) * time.Millisecond)
				}
			}
			must.LessEq(t, slots, len(ends))
			used, steps = used+len(ends), steps+1
		}
		must.GreaterEq(t, 0.8*float64(slots), float64(used)/float64(steps))
	}
}

func TestSlotsOfABrittleTarget(t *testing.T) {
	b := ratelimit.Brittle{Process: process, Slots: 10, MaxRejected: 4}
	grants := func(g *ratelimit.SlotGranter, now time.Time, b ratelimit.Brittle, deputy bool) int {
		n := 0
		for range 20 {
			if _, ok, _ := g.Grant(now, b, deputy); ok {
				n++
			}
		}
		return n
	}
	must.Eq(t, 9, grants(ratelimit.NewSlotGranter(), start, b, false))
	must.Eq(t, 4, grants(ratelimit.NewSlotGranter(), start, b, true), must.Sprint("beside another router"))

	busy := b
	busy.Running = 9
	g := ratelimit.NewSlotGranter()
	must.Eq(t, 0, grants(g, start, busy, false), must.Sprint("requests without a grant run"))
	must.Eq(t, 9, grants(g, start.Add(6*time.Second), busy, false), must.Sprint("what is known late counts no longer"))

	g = ratelimit.NewSlotGranter()
	slot, ok, _ := g.Grant(start, b, false)
	must.True(t, ok)
	g.Release(start, b, slot, true)
	_, ok, wait := g.Grant(start, b, false)
	must.False(t, ok, must.Sprint("it has just turned a request away"))
	now := start.Add(wait)
	slot, ok, _ = g.Grant(now, b, false)
	must.True(t, ok)
	g.Release(now, b, slot, true)
	_, ok, wait = g.Grant(now, b, false)
	must.False(t, ok)
	must.Eq(t, time.Second, wait, must.Sprint("half of what it may turn away in a second"))

	g = ratelimit.NewSlotGranter()
	must.Eq(t, 9, grants(g, start, b, false))
	must.Eq(t, 9, grants(g, start.Add(time.Minute), b, false), must.Sprint("grants that were not given back"))
	g.Expire(start.Add(time.Hour))
	g.Release(start.Add(time.Hour), b, 1, true)
	must.Eq(t, 9, grants(g, start.Add(time.Hour), b, false))
}
