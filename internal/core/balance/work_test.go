package balance_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/core/workload"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// byWork returns a balancer that compares loads as work.
func byWork() (*balance.Balancer, *workload.Model) {
	b, m := newBalancer("dc0"), workload.New()
	b.SetSpeeds(m)
	return b, m
}

// plainRequest has no prompt and costs a millisecond.
func plainRequest() *balance.Request {
	return &balance.Request{Estimate: &workload.Estimate{ServiceMS: 64}}
}

// TestLoadsWithoutWork guards against reports of routers of an earlier release that count as no
// load, next to reports with work.
func TestLoadsWithoutWork(t *testing.T) {
	b, _ := byWork()
	all := engines(2)
	all[1].DataCentre = all[0].DataCentre
	report := func(from fleet.VM, target int, running uint32, workMS float32) {
		b.SetPeerLoads(start, from, []balance.Load{{Target: all[target].ID.Ref(), Running: running, WorkMS: workMS}})
	}
	report("old", 0, 3, 0)
	must.Eq(t, all[1].ID, b.Choose(start, plainRequest(), all, allowAll{}).Target.ID, must.Sprint("no work is known"))
	report("new", 1, 4, 40)
	must.Eq(t, all[0].ID, b.Choose(start, plainRequest(), all, allowAll{}).Target.ID, must.Sprint("three requests against four"))
	report("old", 0, 5, 0)
	must.Eq(t, all[1].ID, b.Choose(start, plainRequest(), all, allowAll{}).Target.ID, must.Sprint("five against four"))
}

// TestOwnShareOfATotal guards against work of this router that counts twice once a hub reports
// the total, with and without work.
func TestOwnShareOfATotal(t *testing.T) {
	for _, reported := range []float32{100, 0} {
		b, _ := byWork()
		all := engines(2)
		all[1].DataCentre = all[0].DataCentre
		b.RequestStarted(start, all[0].ID, nil)
		b.AddWork(all[0].ID, 100)
		b.LocalLoads(start)
		b.SetTotalLoads(start, "hub", []balance.Load{
			{Target: all[0].ID.Ref(), Running: 1, WorkMS: reported}, {Target: all[1].ID.Ref(), Running: 1, WorkMS: 1.5 * reported},
		})
		must.Eq(t, 1, b.Load(all[0].ID.Ref()))
		c := b.Choose(start, plainRequest(), all, allowAll{})
		if reported > 0 {
			must.Eq(t, all[0].ID, c.Target.ID, must.Sprint("100 ms against 150"))
		}
		b.AddWork(all[0].ID, -100)
		b.RequestEnded(all[0].ID)
		must.Eq(t, all[0].ID, b.Choose(start, plainRequest(), all, allowAll{}).Target.ID, must.Sprint("its own request has ended"))
	}
}

// TestRemainingWorkDecides guards against a target with few requests that cost much and counts
// as little loaded, and against one that is slow.
func TestRemainingWorkDecides(t *testing.T) {
	b, m := byWork()
	all := engines(2)
	all[1].DataCentre = all[0].DataCentre
	b.SetPeerLoads(start, "peer", []balance.Load{
		{Target: all[0].ID.Ref(), Running: 2, WorkMS: 400}, {Target: all[1].ID.Ref(), Running: 4, WorkMS: 40},
	})
	must.Eq(t, all[1].ID, b.Choose(start, plainRequest(), all, allowAll{}).Target.ID)
	m.Reported(start, all[1].ID.Ref(), workload.Report{Requests: 60, Slots: 64}, 4)
	must.Eq(t, all[0].ID, b.Choose(start, plainRequest(), all, allowAll{}).Target.ID, must.Sprint("it reports 56 more requests"))
}

// TestChoiceIsAllowed guards against a choice that the gate or the request excludes, and against
// none where there is one, whatever the loads.
func TestChoiceIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, _ := byWork()
		b.SetRelayed(rapid.Bool().Draw(t, "relayed"))
		all := engines(rapid.IntRange(0, 6).Draw(t, "engines"))
		r := &balance.Request{Avoid: map[fleet.Target]bool{}, Estimate: &workload.Estimate{Tokens: 900, TokenMS: 0.02, PrefixTokens: []int{300, 700}, Events: 10, EventMS: 30}}
		r.Prefixes = []uint64{1, 2}[:rapid.IntRange(0, 2).Draw(t, "prefixes")]
		r.MaxLoadPerSlot = rapid.SampledFrom([]float64{0, 0.2, 1}).Draw(t, "limit")
		cached := rapid.Uint8().Draw(t, "cached only")
		r.CachedOnly = func(a *sitestate.AvailableTarget) bool { return cached>>(a.ID[1]-'0')&1 == 1 }
		var loads []balance.Load
		left := 0
		for i := range all {
			loads = append(loads, balance.Load{
				Target: all[i].ID.Ref(), Running: uint32(rapid.IntRange(0, 70).Draw(t, "running")),
				WorkMS: float32(rapid.IntRange(0, 2000).Draw(t, "work")),
			})
			if rapid.Bool().Draw(t, "holds") {
				b.RequestStarted(start, all[i].ID, r.Prefixes)
			}
			r.Avoid[all[i].ID] = rapid.Bool().Draw(t, "avoid")
			if !r.Avoid[all[i].ID] {
				left++
			}
		}
		b.SetPeerLoads(start, "peer", loads)
		c := b.Choose(start, r, all, allowAll{})
		must.False(t, r.Avoid[c.Target.ID])
		must.Eq(t, left == 0, c.Reason == balance.None)
		must.Eq(t, c.Target.ID == "", c.Reason == balance.None || c.Reason == balance.Overloaded)
		if r.MaxLoadPerSlot == 0 {
			must.NotEq(t, balance.Overloaded, c.Reason)
		}
	})
}
