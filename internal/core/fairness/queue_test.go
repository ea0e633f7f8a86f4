package fairness_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/fairness"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

var start = time.Unix(1000, 0)

// weights are the weights by name of members and accounts; names without an
// entry weigh one.
type weights map[string]float64

func (w weights) MemberWeight(m fleet.Member) float64                   { return w[string(m)] }
func (w weights) AccountWeight(_ fleet.Member, a fleet.Account) float64 { return w[string(a)] }

func item(id uint64, m fleet.Member, a fleet.Account) fairness.Item {
	return fairness.Item{ID: id, Member: m, Account: a, Arrived: start.Add(time.Duration(id)), StartBy: start.Add(time.Hour)}
}

// drain pops n items and counts them by account.
func drain(q *fairness.Queue, n int) map[fleet.Account]int {
	out := make(map[fleet.Account]int)
	for range n {
		if i, ok := q.Pop(); ok {
			out[i.Account]++
		}
	}
	return out
}

func TestSharesByWeight(t *testing.T) {
	q := fairness.NewQueue(1000, weights{"big": 1, "small": 1, "a": 3, "b": 1, "c": 1})
	for id := range uint64(100) {
		q.Push(item(3*id, "big", "a"))
		q.Push(item(3*id+1, "big", "b"))
		q.Push(item(3*id+2, "small", "c"))
	}
	got := drain(q, 80)
	must.Eq(t, map[fleet.Account]int{"a": 30, "b": 10, "c": 40}, got)
}

func TestIdleAccountSavesNoCredit(t *testing.T) {
	q := fairness.NewQueue(1000, weights{})
	for id := range uint64(100) {
		q.Push(item(id, "m", "busy"))
	}
	drain(q, 50)
	for id := range uint64(100) {
		q.Push(item(1000+id, "m", "late"))
	}
	got := drain(q, 40)
	must.Eq(t, 20, got["late"])
}

func TestFullQueueEvictsFromLargestAccount(t *testing.T) {
	q := fairness.NewQueue(10, weights{})
	for id := range uint64(10) {
		_, full := q.Push(item(id, "m", "surging"))
		must.False(t, full)
	}
	evicted, full := q.Push(item(10, "m", "surging"))
	must.True(t, full)
	must.Eq(t, 10, evicted.ID)
	evicted, full = q.Push(item(11, "m", "quiet"))
	must.True(t, full)
	must.Eq(t, 9, evicted.ID, must.Sprint("the newest item of the surging account is evicted"))
	must.Eq(t, 10, q.Len())
}

func TestPriorityWithinAccount(t *testing.T) {
	q := fairness.NewQueue(10, weights{})
	low, high := item(1, "m", "a"), item(2, "m", "a")
	high.Priority = 1
	q.Push(low)
	q.Push(high)
	first, _ := q.Pop()
	must.Eq(t, 2, first.ID)
}

func TestExpiryAndRemoval(t *testing.T) {
	q := fairness.NewQueue(10, weights{})
	soon := item(1, "m", "a")
	soon.StartBy = start.Add(time.Second)
	q.Push(soon)
	q.Push(item(2, "m", "b"))
	must.Len(t, 0, q.Expired(start.Add(time.Second)))
	must.Len(t, 1, q.Expired(start.Add(2*time.Second)))
	must.True(t, q.Remove(2))
	must.False(t, q.Remove(2))
	must.Eq(t, 0, q.Len())
}

// TestSharesMatchFluidModel compares the number of items served per account
// with the share of a fluid model while all accounts have items waiting.
func TestSharesMatchFluidModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accounts := rapid.IntRange(1, 6).Draw(t, "accounts")
		w := weights{}
		total := 0.0
		const each = 200
		q := fairness.NewQueue(accounts*each, w)
		for a := range accounts {
			name := fmt.Sprint("a", a)
			w[name] = float64(rapid.IntRange(1, 5).Draw(t, name))
			total += w[name]
			for id := range uint64(each) {
				q.Push(item(id*10+uint64(a), "m", fleet.Account(name)))
			}
		}
		n := rapid.IntRange(1, each).Draw(t, "served")
		got := drain(q, n)
		for a := range accounts {
			name := fmt.Sprint("a", a)
			fair := float64(n) * w[name] / total
			must.LessEq(t, 1+w[name], math.Abs(float64(got[fleet.Account(name)])-fair))
		}
	})
}

// TestQueueMatchesSetOfItems compares random operations with a set of the
// waiting items.
func TestQueueMatchesSetOfItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fairness.NewQueue(8, weights{"a": 2})
		waiting := make(map[uint64]bool)
		for id := range uint64(60) {
			account := fleet.Account(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"))
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				waiting[id] = true
				if evicted, full := q.Push(item(id, fleet.Member("of-"+account), account)); full {
					must.True(t, waiting[evicted.ID])
					delete(waiting, evicted.ID)
				}
			case 2:
				if i, ok := q.Pop(); ok {
					must.True(t, waiting[i.ID])
					delete(waiting, i.ID)
				}
			case 3:
				id := uint64(rapid.IntRange(0, 60).Draw(t, "id"))
				must.Eq(t, waiting[id], q.Remove(id))
				delete(waiting, id)
			}
			must.Eq(t, len(waiting), q.Len())
		}
	})
}

func BenchmarkPushPop(b *testing.B) {
	for _, accounts := range []int{10, 270} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			q := fairness.NewQueue(64, weights{})
			b.ReportAllocs()
			for id := uint64(0); b.Loop(); id++ {
				q.Push(item(id, "m", fleet.Account(fmt.Sprint(id%uint64(accounts)))))
				if q.Len() > 32 {
					q.Pop()
				}
			}
		})
	}
}
