package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

func candidates(n int) []placement.Candidate {
	var out []placement.Candidate
	for i := range n {
		name := fleet.Target(fmt.Sprintf("engine-%d", i))
		out = append(out, placement.Candidate{
			Target:   name,
			Hash:     placement.HashTarget(name),
			Capacity: 12,
			Slots:    12,
			Ready:    true,
		})
	}
	return out
}

// naiveFirst returns the candidate with the highest score.
func naiveFirst(key uint64, all []placement.Candidate) int {
	best := 0
	for i, c := range all {
		b := all[best]
		if placement.Score(key, c.Hash, c.Capacity) > placement.Score(key, b.Hash, b.Capacity) {
			best = i
		}
	}
	return best
}

func TestRankAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := candidates(rapid.IntRange(1, 40).Draw(t, "targets"))
		for i := range all {
			all[i].Capacity = rapid.IntRange(1, 64).Draw(t, "capacity")
		}
		r := &placement.Request{Chat: rapid.Uint64Min(1).Draw(t, "chat")}
		got := placement.Bounded{}.Rank(r, all, nil)
		must.Len(t, len(all), got)
		must.Eq(t, naiveFirst(r.Chat, all), got[0])
		seen := make(map[int]bool)
		for _, i := range got {
			must.False(t, seen[i])
			seen[i] = true
		}
	})
}

// TestOnlyChatsOfALeavingTargetMove removes one target and checks that the order of
// the others stays the same for every chat.
func TestOnlyChatsOfALeavingTargetMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := candidates(rapid.IntRange(2, 30).Draw(t, "targets"))
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		rest := append(append([]placement.Candidate(nil), all[:gone]...), all[gone+1:]...)
		r := &placement.Request{Chat: rapid.Uint64Min(1).Draw(t, "chat")}
		var before, after []fleet.Target
		for _, i := range (placement.Bounded{}).Rank(r, all, nil) {
			if i != gone {
				before = append(before, all[i].Target)
			}
		}
		for _, i := range (placement.Bounded{}).Rank(r, rest, nil) {
			after = append(after, rest[i].Target)
		}
		must.Eq(t, before, after)
	})
}

func TestShareFollowsCapacity(t *testing.T) {
	all := candidates(4)
	all[0].Capacity = 36
	const chats = 60000
	counts := make([]int, len(all))
	random := rand.New(rand.NewPCG(1, 2))
	for range chats {
		r := &placement.Request{Chat: random.Uint64() | 1}
		counts[placement.Bounded{}.Rank(r, all, nil)[0]]++
	}
	must.InDelta(t, 0.5, float64(counts[0])/chats, 0.01)
	must.InDelta(t, 1.0/6, float64(counts[1])/chats, 0.01)
}

func TestRequestWithoutChatGoesToLowestLoad(t *testing.T) {
	all := candidates(3)
	all[0].Running, all[1].Running, all[2].Running = 5, 1, 3
	must.Eq(t, []int{1, 2, 0}, placement.Bounded{}.Rank(&placement.Request{}, all, nil))
	all[1].Ready = false
	must.Eq(t, []int{2, 0, 1}, placement.Bounded{}.Rank(&placement.Request{}, all, nil))
}

func TestUnknownPolicy(t *testing.T) {
	_, err := placement.New("absent", nil)
	must.ErrorContains(t, err, placement.DefaultPolicy)
	p, err := placement.New(placement.DefaultPolicy, nil)
	must.NoError(t, err)
	must.Eq(t, placement.DefaultPolicy, p.Name())
}

func TestAffinityTable(t *testing.T) {
	start := time.Unix(1000, 0)
	table := placement.NewAffinityTable(2, time.Minute, start)
	table.Put(start, 1, 10)
	table.Put(start, 2, 20)
	p, ok := table.Get(start.Add(time.Second), 1)
	must.True(t, ok)
	must.Eq(t, placement.Placement{Target: 10}, p)

	table.Put(start, 3, 10)
	_, ok = table.Get(start, 2)
	must.False(t, ok, must.Sprint("the least recently used chat is evicted"))

	table.MarkStale(10)
	p, _ = table.Get(start, 3)
	must.True(t, p.Stale)
	table.Put(start, 3, 10)
	p, _ = table.Get(start, 3)
	must.False(t, p.Stale)

	table.Forget(3, 99)
	must.Eq(t, 2, table.Len())
	table.ForgetTarget(10)
	must.Eq(t, 0, table.Len())

	table.Put(start, 5, 50)
	_, ok = table.Get(start.Add(2*time.Minute), 5)
	must.False(t, ok)
}

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{3, 30, 300, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := candidates(n)
			out := make([]int, 0, n)
			r := &placement.Request{Chat: 7}
			b.ReportAllocs()
			for b.Loop() {
				r.Chat++
				out = placement.Bounded{}.Rank(r, all, out[:0])
			}
		})
	}
}
