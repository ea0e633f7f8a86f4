package refresh_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/membership"
	"github.com/zinniafork/zinniafork/internal/core/refresh"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

var start = time.Unix(1_700_000_000, 0)

func routers(n int) []membership.Member {
	var out []membership.Member
	for i := range n {
		m := membership.Member{Status: membership.StateAlive}
		m.VM = fleet.VM(fmt.Sprintf("vm%d", i))
		out = append(out, m)
	}
	return out
}

// simulate runs the schedules of n routers that share what they read, and returns
// the number of reads and the greatest age of the state. Dead routers do not read.
func simulate(n int, dead map[int]bool, length time.Duration) (reads int, oldest time.Duration) {
	all := routers(n)
	var schedules []*refresh.Schedule
	for _, m := range all {
		s := refresh.New(m.VM)
		s.SetRouters(all)
		schedules = append(schedules, s)
	}
	fresh := start
	for now := start; now.Before(start.Add(length)); now = now.Add(100 * time.Millisecond) {
		oldest = max(oldest, now.Sub(fresh))
		for i, s := range schedules {
			if !dead[i] && s.Due(now, now.Sub(fresh), true) {
				reads++
				fresh = now
			}
		}
	}
	return reads, oldest
}

func TestOneRouterReadsForAll(t *testing.T) {
	for _, n := range []int{1, 9, 91, 390} {
		reads, oldest := simulate(n, nil, 70*time.Second)
		must.Between(t, 95, reads, 101, must.Sprint(n))
		must.LessEq(t, 700*time.Millisecond, oldest)
	}
}

func TestNextRouterTakesOver(t *testing.T) {
	_, oldest := simulate(9, map[int]bool{0: true}, 70*time.Second)
	must.LessEq(t, 900*time.Millisecond, oldest)
	_, oldest = simulate(9, map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true, 5: true, 6: true}, 70*time.Second)
	must.LessEq(t, 1400*time.Millisecond, oldest)
}

func TestFailedReadsAreSpacedOut(t *testing.T) {
	s := refresh.New("vm0")
	s.SetRouters(routers(1))
	attempts := 0
	for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(100 * time.Millisecond) {
		if s.Due(now, time.Hour, true) {
			attempts++
			s.ReadFailed(now, true)
		}
	}
	must.Between(t, 9, attempts, 13)
	s.ReadSucceeded()
	must.True(t, s.Due(start, time.Hour, true))
}

func TestRouterWithoutStateRetriesQuickly(t *testing.T) {
	s := refresh.New("vm0")
	s.ReadFailed(start, false)
	must.False(t, s.Due(start.Add(200*time.Millisecond), 0, false))
	must.True(t, s.Due(start.Add(250*time.Millisecond), 0, false))
}

func TestGapsAreReadInTurn(t *testing.T) {
	all := routers(60)
	due := 0
	for _, m := range all {
		s := refresh.New(m.VM)
		s.SetRouters(all)
		must.False(t, s.GapDue(start.Add(900*time.Millisecond), start))
		if s.GapDue(start.Add(1050*time.Millisecond), start) {
			due++
		}
	}
	must.Eq(t, 1, due)
}

// TestRejectedReadsAreSpreadOut starts many routers at once against a log that
// serves only a few readers at a time: all must have read within seconds.
func TestRejectedReadsAreSpreadOut(t *testing.T) {
	const routersAtOnce, readersEachTick = 300, 10
	random := rand.New(rand.NewPCG(1, 2))
	var waiting []*refresh.Schedule
	for i := range routersAtOnce {
		waiting = append(waiting, refresh.New(fleet.VM(fmt.Sprintf("vm%d", i))))
	}
	now := start
	for ; len(waiting) > 0; now = now.Add(100 * time.Millisecond) {
		served := 0
		var still []*refresh.Schedule
		for _, s := range waiting {
			switch {
			case !s.Due(now, 0, false):
				still = append(still, s)
			case served < readersEachTick:
				served++
			default:
				s.ReadRejected(now, random.Float64())
				still = append(still, s)
			}
		}
		waiting = still
	}
	must.LessEq(t, 9*time.Second, now.Sub(start))
}
