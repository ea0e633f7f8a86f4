package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// TestHeldGrantsCount guards against a ledger that forgets grants that wait for a target: a
// request may wait in a queue between the draw of its version and its send, while its router
// follows a later reply with a lower limit and another router gets the rest.
func TestHeldGrantsCount(t *testing.T) {
	now, rng := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	order := Order{Service: "s", To: "v2", Duration: time.Minute}
	waiting, busy := NewTracker(), NewTracker()
	waiting.SetOrder(now, order, rng)
	busy.SetOrder(now, order, rng)
	ledger := NewLedger(DefaultLimits, 0, rng)
	var seq uint64
	exchange := func(vm fleet.VM, tracker *Tracker) {
		report := tracker.Report(now, 1)
		ledger.Report(now, vm, &report, false)
		if want, write := ledger.Need(canaryPart); write {
			ledger.Authorized(want)
		}
		seq++
		must.True(t, tracker.Gate().Take(now, &Reply{
			Order: order, Term: 1, Seq: seq, Limit: ledger.Grant(vm, seq, canaryPart, 0), ValidMs: 1000,
		}))
	}
	for range 8 {
		exchange("waiting", waiting)
		now = now.Add(minInterval)
	}
	var held []Rule
	for waiting.Gate().Left(now) > 0 {
		held = append(held, waiting.Rule(now, "v2"))
	}
	must.Positive(t, len(held))
	for range 40 {
		exchange("waiting", waiting)
		exchange("busy", busy)
		for busy.Gate().Left(now) > 0 {
			busy.Started(now, busy.Rule(now, "v2"), "v2")
		}
		now = now.Add(minInterval)
	}
	for _, r := range held {
		waiting.Started(now, r, "v2")
	}
	sent, exposed := 0.0, int64(0)
	for _, tracker := range []*Tracker{waiting, busy} {
		all, toNew := tracker.Gate().Counts()
		sent, exposed = sent+float64(all), exposed+toNew
	}
	must.LessEq(t, canaryPart*(DefaultLimits.ExposeShare*sent+DefaultLimits.ExposeSlack), float64(exposed))
}
