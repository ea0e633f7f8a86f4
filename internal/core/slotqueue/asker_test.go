package slotqueue

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// TestWeakRoutersGrantNothing guards against the queue of a service on a small VM where strong
// ones exist, and against all services on the same router.
func TestWeakRoutersGrantNothing(t *testing.T) {
	var routers []Router
	for i := range 60 {
		weight := 0.2
		if i < 20 {
			weight = 0.8
		}
		routers = append(routers, Router{VM: fleet.VM("vm" + strconv.Itoa(i)), Weight: weight})
	}
	grantors := make(map[fleet.VM]int)
	for i := range 100 {
		ranked := RankGrantors(fleet.Service("s"+strconv.Itoa(i)), routers)
		must.Len(t, 20, ranked)
		grantors[ranked[0]]++
	}
	for _, r := range routers[20:] {
		must.Zero(t, grantors[r.VM])
	}
	must.GreaterEq(t, 10, len(grantors))
}

// TestScopeDoesNotFlap guards against requests that are queued and not queued in turn while
// routers come and go.
func TestScopeDoesNotFlap(t *testing.T) {
	var s Scope
	now := time.Unix(0, 0)
	for _, step := range []struct {
		slots, limit float64
		placed       bool
	}{{18, 9, false}, {18, 18, false}, {18, 19, true}, {18, 17, true}, {18, 15, true}, {0, 15, true}, {18, 14, false}, {18, 18, false}} {
		s.Update(now, step.slots, step.limit)
		must.Eq(t, step.placed, s.Placed(), must.Sprint(step))
	}
}
