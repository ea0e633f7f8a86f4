package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/ratelimit"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

func everyone(fleet.VM) bool { return true }

func routers(n int) []fleet.VM {
	var vms []fleet.VM
	for i := range n {
		vms = append(vms, fleet.VM(fmt.Sprintf("vm%d", i)))
	}
	return vms
}

// mostIn returns the largest number of times within 4 s.
func mostIn(sent []time.Time) int {
	most := 0
	for i := range sent {
		n := 0
		for j := i; j < len(sent) && sent[j].Sub(sent[i]) < 4*time.Second; j++ {
			n++
		}
		most = max(most, n)
	}
	return most
}

// TestLimitHoldsForAllRouters lets up to 390 routers ask whenever they may. Together they
// get what the target named, and never more in 4 s than one and a half times that and 5.
// The first router dies in the middle. Some believe longer than others that it lives, so
// that two routers grant at the same time.
func TestLimitHoldsForAllRouters(t *testing.T) {
	for _, n := range []int{1, 8, 95, 390} {
		for _, rate := range []float64{0.5, 2, 5, 40} {
			sent := simulateGrants(n, rate)
			must.LessEq(t, 1.5*rate*4+5, float64(mostIn(sent)), must.Sprint(n, " routers, ", rate, " a second"))
			must.GreaterEq(t, 0.8*rate*20, float64(len(sent)), must.Sprint(n, " routers, ", rate, " a second"))
		}
	}
}

// simulateGrants returns the times at which requests were granted in 24 s. In each 10 ms
// three random routers want to send one.
func simulateGrants(n int, rate float64) []time.Time {
	random := rand.New(rand.NewPCG(uint64(n), uint64(rate*10)))
	vms := routers(n)
	granters, askers := make(map[fleet.VM]*ratelimit.Granter), make(map[fleet.VM]*ratelimit.Asker)
	noticed := make(map[fleet.VM]time.Time)
	dies := start.Add(10 * time.Second)
	first := ratelimit.First(process.Target, vms, everyone)
	for _, vm := range vms {
		granters[vm], askers[vm] = ratelimit.NewGranter(), ratelimit.NewAsker()
		noticed[vm] = dies.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
	}
	if n == 1 {
		noticed[first], dies = start.Add(time.Hour), start.Add(time.Hour)
	}
	var sent []time.Time
	for now := start; now.Before(start.Add(24 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for range 3 {
			vm := vms[random.IntN(n)]
			if now.After(dies) && vm == first || !askers[vm].Open(now, process) {
				continue
			}
			lives := func(of fleet.VM) func(fleet.VM) bool {
				return func(vm fleet.VM) bool { return vm != first || now.Before(noticed[of]) }
			}
			usable := askers[vm].Usable(now)
			to := ratelimit.First(process.Target, vms, func(vm2 fleet.VM) bool { return lives(vm)(vm2) && usable(vm2) })
			if to == first && now.After(dies) {
				askers[vm].Failed(now, to, false)
				continue
			}
			deputy := ratelimit.First(process.Target, vms, lives(to)) != to
			granted, wait := granters[to].Grant(now, process, rate, deputy)
			if granted {
				sent = append(sent, now)
			} else {
				askers[vm].Denied(now, process, wait)
			}
		}
	}
	return sent
}

// TestTwoGrantersStayWithinTheLimit lets two routers grant to the same target all the
// time, since one of them can't be reached by all: the other one knows that it lives.
func TestTwoGrantersStayWithinTheLimit(t *testing.T) {
	for _, rate := range []float64{0.5, 2, 5, 40} {
		a, b := ratelimit.NewGranter(), ratelimit.NewGranter()
		var sent []time.Time
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(5 * time.Millisecond) {
			for i, g := range []*ratelimit.Granter{a, b} {
				if granted, _ := g.Grant(now, process, rate, i == 1); granted {
					sent = append(sent, now)
				}
			}
		}
		must.LessEq(t, 1.5*rate*4+5, float64(mostIn(sent)), must.Sprint(rate))
	}
}

// TestTinyLimitsAreTried covers limits of zero or nearly so: a request now and then shows
// whether they have ended.
func TestTinyLimitsAreTried(t *testing.T) {
	for _, rate := range []float64{0, 0.001} {
		g, sent := ratelimit.NewGranter(), 0
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(50 * time.Millisecond) {
			if granted, wait := g.Grant(now, process, rate, false); granted {
				sent++
			} else {
				must.LessEq(t, 2*time.Second, wait)
			}
		}
		must.Between(t, 4, sent, 5, must.Sprint(rate))
	}
}

// TestGrantersDifferByTarget checks that the targets are spread over the routers, and that
// the next router takes over from one that is not usable.
func TestGrantersDifferByTarget(t *testing.T) {
	vms, count := routers(10), make(map[fleet.VM]int)
	for target := range fleet.Ref(1000) {
		first := ratelimit.First(target, vms, everyone)
		count[first]++
		without := func(vm fleet.VM) bool { return vm != first }
		must.NotEq(t, first, ratelimit.First(target, vms, without))
	}
	for _, vm := range vms {
		must.Between(t, 50, count[vm], 200)
	}
	must.Eq(t, "", ratelimit.First(1, nil, everyone))
}

// TestRoutersThatDoNotAnswer checks for how long they are not asked.
func TestRoutersThatDoNotAnswer(t *testing.T) {
	a := ratelimit.NewAsker()
	must.True(t, a.Failed(start, "x", false))
	must.False(t, a.Failed(start, "x", false))
	must.True(t, a.Failed(start, "old", true))
	must.False(t, a.Usable(start.Add(time.Second))("x"))
	must.True(t, a.Usable(start.Add(3*time.Second))("x"))
	must.False(t, a.Usable(start.Add(20*time.Second))("old"), must.Sprint("an earlier release"))
	a.Expire(start.Add(time.Minute))
	must.True(t, a.Usable(start)("old"))
}
