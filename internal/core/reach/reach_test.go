package reach_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/reach"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

const service = fleet.Service("svc")

// network is what a router can reach of the targets of a service.
type network struct {
	tracker *reach.Tracker
	now     time.Time
	all     []fleet.Target
	lost    map[fleet.Target]bool
	probes  int
}

func newNetwork(targets int) *network {
	n := &network{
		tracker: reach.New(rand.New(rand.NewPCG(1, 2))), now: time.Unix(1_700_000_000, 0), lost: make(map[fleet.Target]bool),
	}
	for i := range targets {
		n.all = append(n.all, fleet.Target(fmt.Sprintf("t%d", i)))
	}
	return n
}

// connect opens a connection to a target, and to those that the tracker asks for.
func (n *network) connect(id fleet.Target) {
	n.probes++
	if !n.lost[id] {
		n.tracker.Reached(n.now, service, id)
		return
	}
	probe, _ := n.tracker.Lost(n.now, service, id, n.all)
	for _, other := range probe {
		n.connect(other)
	}
}

// run lets time pass with requests to random targets, each of which opens a connection.
func (n *network) run(d time.Duration) {
	random := rand.New(rand.NewPCG(3, 4))
	for range d / (50 * time.Millisecond) {
		n.now = n.now.Add(50 * time.Millisecond)
		if id := n.all[random.IntN(len(n.all))]; n.tracker.Reachable(n.now, service, id) {
			n.connect(id)
		}
		for _, id := range n.tracker.Probes(n.now) {
			n.connect(id)
		}
	}
}

// lose makes the first targets unreachable.
func (n *network) lose(count int) {
	clear(n.lost)
	for _, id := range n.all[:count] {
		n.lost[id] = true
	}
}

// TestPathsAndTargetsAreToldApart lets some targets of a service become unreachable and
// return. Only when most are is it the path.
func TestPathsAndTargetsAreToldApart(t *testing.T) {
	for _, c := range []struct {
		targets, lost int
		cut           bool
	}{
		{1, 1, true}, {2, 1, false}, {2, 2, true}, {3, 1, false}, {3, 3, true},
		{9, 1, false}, {9, 3, false}, {9, 7, true}, {9, 9, true},
		{140, 10, false}, {140, 130, true}, {140, 140, true},
	} {
		name := fmt.Sprintf("%d of %d targets", c.lost, c.targets)
		n := newNetwork(c.targets)
		n.run(2 * time.Second)
		must.False(t, n.tracker.IsCut(service), must.Sprint(name))
		n.lose(c.lost)
		n.run(2 * time.Second)
		must.Eq(t, c.cut, n.tracker.IsCut(service), must.Sprint(name))
		n.run(10 * time.Second)
		must.Eq(t, c.cut, n.tracker.IsCut(service), must.Sprint(name, ", for long"))
		if c.cut {
			must.False(t, n.tracker.Reachable(n.now, service, n.all[0]))
		}
		n.lose(0)
		n.run(2 * time.Second)
		must.False(t, n.tracker.IsCut(service), must.Sprint(name, ", after the return"))
		must.True(t, n.tracker.Reachable(n.now, service, n.all[0]))
	}
}

// TestReachableTargetsOfACutService covers a router that still reaches a few targets: it
// sends straight to those.
func TestReachableTargetsOfACutService(t *testing.T) {
	n := newNetwork(9)
	n.run(2 * time.Second)
	n.lose(7)
	n.run(4 * time.Second)
	must.True(t, n.tracker.IsCut(service))
	for i, id := range n.all {
		must.Eq(t, i >= 7, n.tracker.Reachable(n.now, service, id), must.Sprint(id))
	}
}

// TestSilentTargetIsProbedOnce checks that many silent requests open few connections, and
// none to a target that has just responded.
func TestSilentTargetIsProbedOnce(t *testing.T) {
	n := newNetwork(9)
	must.SliceNotEmpty(t, n.tracker.Doubted(n.now, service, "t1"))
	must.SliceEmpty(t, n.tracker.Doubted(n.now, service, "t1"))
	n.tracker.Reached(n.now, service, "t2")
	must.SliceEmpty(t, n.tracker.Doubted(n.now, service, "t2"))
	n.now = n.now.Add(time.Second)
	must.SliceNotEmpty(t, n.tracker.Doubted(n.now, service, "t1"))
}

// TestBrokenResponsesAreProbedOnce checks that a target whose connection breaks is probed although
// it has just responded, and that many such connections open few.
func TestBrokenResponsesAreProbedOnce(t *testing.T) {
	n := newNetwork(9)
	n.tracker.Reached(n.now, service, "t1")
	must.SliceNotEmpty(t, n.tracker.Broke(n.now, service, "t1"))
	must.SliceEmpty(t, n.tracker.Broke(n.now, service, "t1"))
	n.now = n.now.Add(time.Second)
	must.SliceNotEmpty(t, n.tracker.Broke(n.now, service, "t1"))
}

// TestProbesOfACutServiceAreFew bounds the connections that a router opens to see whether
// the path is back.
func TestProbesOfACutServiceAreFew(t *testing.T) {
	n := newNetwork(140)
	n.lose(140)
	n.run(2 * time.Second)
	n.probes = 0
	n.run(10 * time.Second)
	must.LessEq(t, 50, n.probes)
}

// TestFailuresOfOneTargetAreKnownAsSuch covers what is told to other routers: a failure of
// a target counts once another target of the service was reached since.
func TestFailuresOfOneTargetAreKnownAsSuch(t *testing.T) {
	n := newNetwork(3)
	at := n.now
	n.now = n.now.Add(time.Millisecond)
	n.tracker.Reached(n.now, service, "t0")
	must.False(t, n.tracker.ReachedSince(at, service, "t0"), must.Sprint("the target itself"))
	n.tracker.Reached(n.now, service, "t1")
	must.True(t, n.tracker.ReachedSince(at, service, "t0"))
	must.False(t, n.tracker.ReachedSince(n.now, service, "t0"))
}
