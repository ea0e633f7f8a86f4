package slotqueue

import (
	"testing"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// BenchmarkGrantor is one request at the grantor, from the question to the release, while 60
// others wait.
func BenchmarkGrantor(b *testing.B) {
	now := time.Unix(0, 0)
	g := NewGrantor()
	g.SetTargets(now, []Target{{Ref: 1, Slots: 6}, {Ref: 2, Slots: 6}, {Ref: 3, Slots: 6}})
	ask := func(id uint64) []Decision {
		return []Decision{g.Ask(now, Request{
			ID: id, Account: "a", Objective: now.Add(time.Hour), Deadline: now.Add(time.Hour), Targets: []fleet.Ref{1, 2, 3},
		})}
	}
	var running []uint64
	act := func(decisions []Decision) {
		for _, d := range decisions {
			if d.State == Granted {
				running = append(running, d.Request)
			}
		}
	}
	id := uint64(0)
	for range 84 {
		id++
		act(ask(id))
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		id++
		act(ask(id))
		first := running[0]
		running = running[1:]
		act(g.Release(now, Release{Request: first, Took: 50 * time.Millisecond}))
	}
}
