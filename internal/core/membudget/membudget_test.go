package membudget

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var testLimits = Limits{Total: 1000, Reserve: 200, SmallBytes: 100, StallTime: time.Second}

// TestNoSequenceLeaksOrExceeds guards against bytes that stay reserved after their hold has ended,
// and against a sum of holds above the budget.
func TestNoSequenceLeaksOrExceeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(testLimits)
		now := time.Unix(0, 0)
		var open []*Hold
		pick := func(t *rapid.T) *Hold {
			if len(open) == 0 {
				t.Skip("no hold")
			}
			return rapid.SampledFrom(open).Draw(t, "hold")
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				owner := Owner(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "owner")))
				open = append(open, l.Open(now, Kind(rapid.IntRange(0, int(Kinds)-1).Draw(t, "kind")), owner))
			},
			"grow": func(t *rapid.T) {
				h, before := pick(t), l.used
				n := rapid.Int64Range(0, 400).Draw(t, "bytes")
				ok, victim := l.Grow(now, h, n)
				if !ok {
					must.Eq(t, before, l.used)
				}
				if victim != nil {
					must.False(t, victim != h && victim.complete)
					must.False(t, victim.closed)
				}
			},
			"shrink":   func(t *rapid.T) { l.Shrink(pick(t), rapid.Int64Range(0, 400).Draw(t, "bytes")) },
			"complete": func(t *rapid.T) { l.SetComplete(pick(t), rapid.Bool().Draw(t, "complete")) },
			"close":    func(t *rapid.T) { l.Close(pick(t)) }, // also again
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				var sum int64
				for _, h := range open {
					sum += h.bytes
				}
				must.Eq(t, sum, l.used)
				must.LessEq(t, testLimits.Total, l.used)
			},
		})
		for _, h := range open {
			l.Close(h)
		}
		must.Eq(t, 0, l.used)
		must.MapEmpty(t, l.byOwner)
		must.SliceEmpty(t, l.holds)
		for k := range Kinds {
			must.Eq(t, 0, l.UsedBy(k))
		}
	})
}

// TestWhoGivesWay guards against the loss of requests that were passed on, and of small ones of
// an owner that holds little.
func TestWhoGivesWay(t *testing.T) {
	l := New(testLimits)
	now := time.Unix(0, 0)
	grown := func(owner Owner, n int64) *Hold {
		h := l.Open(now, Body, owner)
		ok, _ := l.Grow(now, h, n)
		must.True(t, ok)
		return h
	}
	passedOn := grown("a", 300)
	l.SetComplete(passedOn, true)
	first, second := grown("b", 150), grown("b", 200)
	slow := grown("c", 120)
	now = now.Add(testLimits.StallTime / 2)
	l.Progress(now, first)

	large := l.Open(now, Body, "d")
	_, victim := l.Grow(now, large, 300)
	must.Eq(t, second, victim, must.Sprint("the owner that holds most gives way, its slowest first"))
	small := l.Open(now, Body, "d")
	ok, _ := l.Grow(now, small, 90)
	must.True(t, ok, must.Sprint("the reserve is for small holds"))
	l.Close(second)

	now = now.Add(testLimits.StallTime / 2)
	_, victim = l.Grow(now, large, 300)
	must.Eq(t, slow, victim, must.Sprint("a hold without progress gives way first"))
	l.Close(slow)
	ok, _ = l.Grow(now, large, 150)
	must.True(t, ok)
}
