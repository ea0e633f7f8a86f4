package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/membership"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

const period = 500 * time.Millisecond

var start = time.Unix(1_000_000, 0)

// row returns the VM list's entry of a live VM.
func row(name fleet.VM) fleet.VMInfo {
	return fleet.VMInfo{VM: name, DataCentre: "dc1", Site: "gent", State: fleet.VMLive, PeerAddr: "127.0.0.1:1"}
}

// rows returns the entries of live VMs.
func rows(names ...fleet.VM) []fleet.VMInfo {
	var out []fleet.VMInfo
	for _, name := range names {
		out = append(out, row(name))
	}
	return out
}

// newView returns a view that knows only self.
func newView(self fleet.VM) *membership.View {
	return membership.New(row(self), 1, membership.DefaultParams(period), start)
}

// heartbeat returns a heartbeat with the configured period and no list.
func heartbeat(inc fleet.Incarnation) membership.Heartbeat {
	return membership.Heartbeat{Incarnation: inc, Period: period}
}

// status returns the state of a router in a view, empty if it is unknown.
func status(v *membership.View, name fleet.VM) membership.State {
	for _, m := range v.Members() {
		if m.VM == name {
			return m.Status
		}
	}
	return ""
}

// TestStates covers the transitions between the states of one router.
func TestStates(t *testing.T) {
	leavingRow := row("b")
	leavingRow.State = fleet.VMLeaving
	cases := []struct {
		name  string
		steps func(v *membership.View)
		at    time.Duration
		want  membership.State
	}{
		{"listed and never heard", func(*membership.View) {}, 0, membership.StateJoining},
		{"heard", func(v *membership.View) { v.ApplyHeartbeat(start, "b", heartbeat(1)) }, 0, membership.StateAlive},
		{"silent", func(v *membership.View) { v.ApplyHeartbeat(start, "b", heartbeat(1)) }, 4 * period, membership.StateSuspect},
		{"silent for longer", func(v *membership.View) { v.ApplyHeartbeat(start, "b", heartbeat(1)) }, 7 * period, membership.StateDead},
		{"longer period announced", func(v *membership.View) {
			v.ApplyHeartbeat(start, "b", membership.Heartbeat{Incarnation: 1, Period: 4 * period})
		}, 7 * period, membership.StateAlive},
		{"leaving by its heartbeat", func(v *membership.View) {
			v.ApplyHeartbeat(start, "b", membership.Heartbeat{Incarnation: 1, Period: period, Leaving: true})
		}, 0, membership.StateLeaving},
		{"leaving by the list", func(v *membership.View) {
			v.ApplyHeartbeat(start, "b", heartbeat(1))
			v.ApplyList(start, []fleet.VMInfo{row("a"), leavingRow})
		}, 0, membership.StateLeaving},
		{"dropped from the list", func(v *membership.View) {
			v.ApplyHeartbeat(start, "b", heartbeat(1))
			v.ApplyList(start, rows("a"))
		}, 0, membership.StateJoining},
		{"list empty", func(v *membership.View) {
			v.ApplyHeartbeat(start, "b", heartbeat(1))
			v.ApplyList(start, nil)
		}, 0, membership.StateAlive},
		{"heartbeat of an older incarnation", func(v *membership.View) {
			v.ApplyHeartbeat(start, "b", heartbeat(2))
			v.ApplyHeartbeat(start.Add(3*period), "b", heartbeat(1))
		}, 4 * period, membership.StateSuspect},
		{"new incarnation after leaving", func(v *membership.View) {
			v.ApplyHeartbeat(start, "b", membership.Heartbeat{Incarnation: 1, Period: period, Leaving: true})
			v.ApplyHeartbeat(start, "b", heartbeat(2))
		}, 0, membership.StateAlive},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := newView("a")
			v.ApplyList(start, rows("a", "b"))
			c.steps(v)
			v.Tick(start.Add(c.at))
			must.Eq(t, c.want, status(v, "b"))
			must.Eq(t, membership.StateAlive, status(v, "a"))
		})
	}
}

// TestFlappingRouterIsHeldBack checks that a router that keeps falling silent
// and returning is held back, and is alive again once it is stable.
func TestFlappingRouterIsHeldBack(t *testing.T) {
	v := newView("a")
	v.ApplyList(start, rows("a", "b"))
	now := start
	for range 4 {
		v.ApplyHeartbeat(now, "b", heartbeat(1))
		now = now.Add(4 * period)
		v.Tick(now)
	}
	v.ApplyHeartbeat(now, "b", heartbeat(1))
	must.Eq(t, membership.StateJoining, status(v, "b"))
	for range 60 {
		now = now.Add(period)
		v.ApplyHeartbeat(now, "b", heartbeat(1))
	}
	must.Eq(t, membership.StateAlive, status(v, "b"))
}

// TestListAgreement checks that a router acts on its list only when no other
// router can be acting on another one.
func TestListAgreement(t *testing.T) {
	a, b := newView("a"), newView("b")
	must.False(t, a.Agreed(start))
	a.ApplyList(start, rows("a", "b"))
	b.ApplyList(start, rows("a", "b", "c"))
	a.ApplyHeartbeat(start, "b", b.Heartbeat(start, period, false))
	must.False(t, a.Agreed(start), must.Sprint("b has another list"))

	a.ApplyList(start, rows("a", "b", "c"))
	must.False(t, a.Agreed(start), must.Sprint("a's list changed just now and c was not heard"))
	c := newView("c")
	c.ApplyList(start, rows("a", "b", "c"))
	all := newView("a")
	all.ApplyList(start, rows("a", "b"))
	all.ApplyList(start, rows("a", "b", "c"))
	all.ApplyHeartbeat(start, "b", b.Heartbeat(start, period, false))
	must.False(t, all.Agreed(start))
	all.ApplyHeartbeat(start, "c", c.Heartbeat(start, period, false))
	must.True(t, all.Agreed(start), must.Sprint("all are heard with the same list"))
	later := start.Add(membership.DefaultParams(period).SettleTime)
	a.ApplyHeartbeat(later, "b", b.Heartbeat(later, period, false))
	must.True(t, a.Agreed(later))
}

// TestRelayDetectsDeadRouter runs a site in which each router has few
// neighbours. All must declare a silent router dead, and no other one.
func TestRelayDetectsDeadRouter(t *testing.T) {
	const n = 120
	var names []fleet.VM
	for i := range n {
		names = append(names, fleet.VM(fmt.Sprintf("vm-%03d", i)))
	}
	views := make(map[fleet.VM]*membership.View)
	neighbours := make(map[fleet.VM][]fleet.VM)
	for _, name := range names {
		views[name] = newView(name)
		views[name].ApplyList(start, rows(names...))
		neighbours[name] = membership.Neighbours(name, names, 16, 3)
	}
	now := start
	round := func(dead fleet.VM) {
		now = now.Add(period)
		for _, from := range names {
			if from == dead {
				continue
			}
			hb := views[from].Heartbeat(now, period, true)
			for _, to := range neighbours[from] {
				views[to].ApplyHeartbeat(now, from, hb)
			}
		}
	}
	for range 10 {
		round("")
	}
	for _, name := range names {
		must.Eq(t, membership.StateAlive, status(views[names[0]], name))
	}
	for range 6 + 4 + 3 {
		round(names[7])
	}
	for _, name := range names {
		if name != names[7] {
			must.Eq(t, membership.StateDead, status(views[name], names[7]))
			must.Eq(t, membership.StateAlive, status(views[name], names[8]))
		}
	}
}

// TestNeighboursAreMutual checks that a router is a neighbour of each of its
// neighbours, and never of itself.
func TestNeighboursAreMutual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "routers")
		var names []fleet.VM
		for i := range n {
			names = append(names, fleet.VM(fmt.Sprint("vm", i)))
		}
		for _, a := range names {
			for _, b := range membership.Neighbours(a, names, 16, 3) {
				back := membership.Neighbours(b, names, 16, 3)
				must.SliceContains(t, back, a)
				must.NotEq(t, a, b)
			}
		}
	})
}

// TestPacerStretchesBeforeShedding checks that the pacer leaves out parts only
// once the period is at its longest, and returns to the configured period when
// traffic falls.
func TestPacerStretchesBeforeShedding(t *testing.T) {
	p := membership.NewPacer()
	for range 10 {
		longest := p.Period(period) == 2*period
		p.Observe(6000, time.Second, 3000)
		must.Eq(t, longest, p.Shed() > 0, must.Sprint("sheds once the period is at its longest, and not before"))
	}
	must.Eq(t, 2*period, p.Period(period))
	must.Greater(t, 0, p.Shed())
	for range 30 {
		p.Observe(100, time.Second, 3000)
	}
	must.Eq(t, period, p.Period(period))
	must.Eq(t, 0, p.Shed())
}
