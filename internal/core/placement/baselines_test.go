package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/placement"
)

func newPolicy(t *testing.T, name string) placement.Policy {
	t.Helper()
	p, err := placement.New(name, rand.New(rand.NewPCG(1, 2)))
	must.NoError(t, err)
	must.Eq(t, name, p.Name())
	return p
}

// TestEveryPolicyRanksAll checks that each policy appends every candidate once to
// out, with those that are not ready last.
func TestEveryPolicyRanksAll(t *testing.T) {
	for _, name := range placement.Names() {
		t.Run(name, func(t *testing.T) {
			p := newPolicy(t, name)
			all := candidates(5)
			all[2].Ready = false
			for chat := range uint64(50) {
				got := p.Rank(&placement.Request{Chat: chat}, all, []int{99})
				must.Eq(t, 99, got[0])
				must.Eq(t, 2, got[5])
				must.Eq(t, []int{0, 1, 2, 3, 4}, slices.Sorted(slices.Values(got[1:])))
			}
			must.Len(t, 0, p.Rank(&placement.Request{}, nil, nil))
		})
	}
}

func TestRendezvousIgnoresLoad(t *testing.T) {
	p := newPolicy(t, "rendezvous")
	all := candidates(8)
	for chat := uint64(1); chat < 50; chat++ {
		r := &placement.Request{Chat: chat}
		first := p.Rank(r, all, nil)
		all[first[0]].Running += 100
		must.Eq(t, first, p.Rank(r, all, nil))
		must.Eq(t, naiveFirst(chat, all), first[0])
	}
}

func TestRoundRobinTakesTurns(t *testing.T) {
	p := newPolicy(t, "round-robin")
	counts := make([]int, 4)
	for range 40 {
		counts[p.Rank(&placement.Request{Chat: 1}, candidates(4), nil)[0]]++
	}
	must.Eq(t, []int{10, 10, 10, 10}, counts)
}

func TestLeastLoadedSortsByLoad(t *testing.T) {
	all := candidates(3)
	all[0].Running, all[1].Running, all[2].Queued = 4, 1, 2
	must.Eq(t, []int{1, 2, 0}, newPolicy(t, "least-loaded").Rank(&placement.Request{Chat: 1}, all, nil))
}

func TestTwoChoicesAvoidsMostLoaded(t *testing.T) {
	p := newPolicy(t, "two-choices")
	all := candidates(6)
	all[3].Running = 10
	for range 200 {
		must.NotEq(t, 3, p.Rank(&placement.Request{Chat: 1}, all, nil)[0])
	}
}
