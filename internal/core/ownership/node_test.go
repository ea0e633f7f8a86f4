package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/ownership"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

const tick = 50 * time.Millisecond

// site runs nodes that exchange messages without delay, except where a test
// cuts them off.
type site struct {
	now    time.Time
	params ownership.Params
	nodes  map[fleet.VM]*ownership.Node
	order  []fleet.VM
	views  map[fleet.VM]ownership.View
	cut    func(from, to fleet.VM) bool
	down   map[fleet.VM]bool
	owner  map[fleet.VM]bool
	gained map[fleet.VM]ownership.Residual
	events map[fleet.VM][]ownership.EventKind
	// running is the count that a router reports when it releases.
	running int
}

var id = ownership.IDOf(resource.Name)

func newSite(vms ...string) *site {
	s := &site{
		now:    time.Unix(1_000_000, 0),
		params: ownership.DefaultParams(2 * time.Second),
		nodes:  make(map[fleet.VM]*ownership.Node),
		views:  make(map[fleet.VM]ownership.View),
		cut:    func(fleet.VM, fleet.VM) bool { return false },
		down:   make(map[fleet.VM]bool),
		owner:  make(map[fleet.VM]bool),
		gained: make(map[fleet.VM]ownership.Residual),
		events: make(map[fleet.VM][]ownership.EventKind),
	}
	for _, name := range vms {
		s.order = append(s.order, fleet.VM(name))
	}
	for _, vm := range s.order {
		s.boot(vm, 1)
	}
	s.setViews(s.order, s.order)
	return s
}

func (s *site) boot(vm fleet.VM, inc fleet.Incarnation) {
	s.nodes[vm] = ownership.NewNode(vm, inc<<24, s.params, s.now, rand.New(rand.NewPCG(uint64(inc), 3)))
	s.act(vm, s.nodes[vm].SetResources(s.now, []ownership.Resource{resource}))
	if v, ok := s.views[vm]; ok {
		s.act(vm, s.nodes[vm].SetView(s.now, v))
	}
}

// view lists routers, of which those in eligible may own. The data centre of a
// router is its name without the last letter.
func (s *site) view(listed, eligible []fleet.VM) ownership.View {
	v := ownership.View{
		HasList: true,
		Agreed:  true,
		Nearest: map[fleet.DataCentre][]fleet.DataCentre{"dc1": {"dc2", "dc3"}},
	}
	for _, vm := range listed {
		v.Routers = append(v.Routers, ownership.Router{
			VM:         vm,
			DataCentre: fleet.DataCentre(vm[:len(vm)-1]),
			Eligible:   slices.Contains(eligible, vm),
		})
	}
	return v
}

func (s *site) setViews(listed, eligible []fleet.VM) {
	for _, vm := range s.order {
		s.setView(vm, s.view(listed, eligible))
	}
}

func (s *site) setView(vm fleet.VM, v ownership.View) {
	s.views[vm] = v
	s.act(vm, s.nodes[vm].SetView(s.now, v))
}

func (s *site) act(vm fleet.VM, a ownership.Actions) {
	for _, e := range a.Events {
		s.events[vm] = append(s.events[vm], e.Kind)
		switch e.Kind {
		case ownership.Acquired:
			s.owner[vm], s.gained[vm] = true, e.Residual
			s.nodes[vm].SetInFlight(id, s.running, 0)
		case ownership.Lost:
			s.owner[vm] = false
		case ownership.HandOver:
			s.owner[vm] = false
			s.act(vm, s.nodes[vm].Release(s.now, id, s.running, 0))
		}
	}
	for _, m := range a.Messages {
		if s.down[vm] || s.down[m.To] || s.cut(vm, m.To) {
			continue
		}
		if m.Request != nil {
			s.act(m.To, s.nodes[m.To].HandleRequest(s.now, vm, m.Request))
		} else {
			s.act(m.To, s.nodes[m.To].HandleReply(s.now, vm, m.Reply))
		}
	}
}

func (s *site) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tick)
		for _, vm := range s.order {
			if !s.down[vm] {
				s.act(vm, s.nodes[vm].Tick(s.now))
				s.tell(vm)
			}
		}
	}
}

// tell spreads word of an owner, as digests in heartbeats do.
func (s *site) tell(vm fleet.VM) {
	if !s.owner[vm] {
		return
	}
	for _, other := range s.order {
		if other != vm && !s.down[other] && !s.cut(vm, other) {
			s.nodes[other].ObserveOwner(s.now, id, vm, s.nodes[vm].Term(id))
		}
	}
}

func (s *site) owners() []fleet.VM {
	var out []fleet.VM
	for _, vm := range s.order {
		if s.owner[vm] && !s.down[vm] {
			out = append(out, vm)
		}
	}
	return out
}

// first returns the router that ranks first, and settles the site on it.
func (s *site) settle(t *testing.T) fleet.VM {
	t.Helper()
	s.run(3 * time.Second)
	must.Len(t, 1, s.owners())
	return s.owners()[0]
}

func (s *site) without(gone ...fleet.VM) []fleet.VM {
	return slices.DeleteFunc(slices.Clone(s.order), func(vm fleet.VM) bool { return slices.Contains(gone, vm) })
}

func nine() *site {
	return newSite("dc1a", "dc1b", "dc1c", "dc2a", "dc2b", "dc2c", "dc3a", "dc3b", "dc3c")
}

func TestNobodyOwnsBeforeVotersMayGrant(t *testing.T) {
	s := nine()
	s.run(s.params.Lease)
	must.Len(t, 0, s.owners())
	owner := s.settle(t)
	must.StrHasPrefix(t, "dc1", string(owner))
	must.False(t, s.gained[owner].Known, must.Sprint("voters that just started remember nothing"))
	must.Eq(t, 0, s.gained[owner].Pending, must.Sprint("nobody owned anything before"))
}

func TestKilledOwnerIsReplaced(t *testing.T) {
	s := nine()
	owner := s.settle(t)
	s.run(s.params.MaxRunTime + 2*s.params.Lease)
	s.running = 4
	s.nodes[owner].SetInFlight(id, 4, 1)
	s.run(time.Second)
	s.down[owner] = true
	s.setViews(s.order, s.without(owner))
	s.run(s.params.Lease - tick)
	must.Len(t, 0, s.owners(), must.Sprint("the lease has not lapsed"))
	s.run(2*s.params.DriftMargin + 4*tick)
	next := s.owners()
	must.Len(t, 1, next)
	must.True(t, s.gained[next[0]].Known)
	must.Eq(t, 4, s.gained[next[0]].Count)
	must.Eq(t, 1, s.gained[next[0]].Pending)
}

func TestHandOver(t *testing.T) {
	s := nine()
	owner := s.settle(t)
	s.running = 3
	s.nodes[owner].SetInFlight(id, 3, 0)
	s.setViews(s.order, s.without(owner))
	s.run(2 * tick)
	next := s.owners()
	must.Len(t, 1, next)
	must.NotEq(t, owner, next[0])
	must.True(t, s.gained[next[0]].Known, must.Sprint("a release tells the amount, whatever the voters forgot"))
	must.Eq(t, 3, s.gained[next[0]].Count)
	must.Eq(t, 0, s.gained[next[0]].Pending)
}

func TestHandOverLostHalfWay(t *testing.T) {
	s := nine()
	owner := s.settle(t)
	s.cut = func(from, _ fleet.VM) bool { return from == owner }
	s.setViews(s.order, s.without(owner))
	s.run(s.params.Lease - 8*tick)
	must.Len(t, 0, s.owners())
	s.run(s.params.Lease)
	must.Len(t, 1, s.owners())
}

func TestAllOwnersOfADataCentreGone(t *testing.T) {
	s := nine()
	s.settle(t)
	for _, vm := range []fleet.VM{"dc1a", "dc1b", "dc1c"} {
		s.down[vm] = true
	}
	s.setViews(s.order, s.without("dc1a", "dc1b", "dc1c"))
	s.run(s.params.Lease + 2*s.params.DriftMargin + 4*tick)
	must.Len(t, 1, s.owners())
	must.StrHasPrefix(t, "dc2", string(s.owners()[0]))
}

func TestOwnerCutOffStopsByItself(t *testing.T) {
	s := nine()
	owner := s.settle(t)
	s.cut = func(from, to fleet.VM) bool { return from == owner || to == owner }
	s.run(s.params.Lease)
	must.False(t, s.nodes[owner].Holds(s.now, id))
	must.SliceNotContains(t, s.owners(), owner)
}

// TestPausedOwnerCannotConfirm wakes an owner whose clock did not move.
func TestPausedOwnerCannotConfirm(t *testing.T) {
	s := nine()
	owner := s.settle(t)
	slept := s.now
	s.down[owner] = true
	for _, vm := range s.without(owner) {
		s.setView(vm, s.view(s.order, s.without(owner)))
	}
	s.run(4 * time.Second)
	must.Len(t, 1, s.owners())
	s.down[owner] = false
	node := s.nodes[owner]
	must.True(t, node.Holds(slept, id), must.Sprint("by its own clock the lease is in force"))
	_, actions := node.Confirm(slept, id)
	now := s.now
	s.now = slept
	s.act(owner, actions)
	s.act(owner, node.Tick(slept.Add(s.params.ConfirmRetry)))
	s.now = now
	must.SliceNotContains(t, s.events[owner], ownership.Confirmed)
	must.SliceContains(t, s.events[owner], ownership.Lost)
}

// TestSplitVoterSets gives two halves of a site VM lists whose voters have a
// minority in common. The second half must not elect an owner on its own.
func TestSplitVoterSets(t *testing.T) {
	for _, remember := range []bool{true, false} {
		t.Run(fmt.Sprintf("remember=%v", remember), func(t *testing.T) {
			s := newSite("dc1a", "dc1b", "dc1c", "dc1d", "dc1e", "dc1f", "dc1g")
			old := []fleet.VM{"dc1a", "dc1b", "dc1c", "dc1d", "dc1e"}
			recent := []fleet.VM{"dc1a", "dc1b", "dc1c", "dc1f", "dc1g"}
			s.setViews(old, []fleet.VM{"dc1d"})
			s.run(s.params.VoterSetRetention + time.Second)
			must.Eq(t, []fleet.VM{"dc1d"}, s.owners())
			if !remember {
				p := s.params
				p.VoterSetRetention = -time.Second
				for _, node := range s.nodes {
					node.SetParams(p)
				}
			}
			north := []fleet.VM{"dc1d", "dc1e", "dc1a"}
			s.cut = func(from, to fleet.VM) bool {
				return slices.Contains(north, from) != slices.Contains(north, to)
			}
			for _, vm := range []fleet.VM{"dc1b", "dc1c", "dc1f", "dc1g"} {
				s.setView(vm, s.view(recent, []fleet.VM{"dc1f"}))
			}
			if remember {
				s.run(s.params.VoterSetRetention - s.params.Lease)
				must.Eq(t, []fleet.VM{"dc1d"}, s.owners())
				return
			}
			for range 20 {
				s.run(s.params.Lease / 2)
				if len(s.owners()) > 1 {
					break
				}
			}
			must.Eq(t, []fleet.VM{"dc1d", "dc1f"}, s.owners(), must.Sprint("without the rule both halves own"))
		})
	}
}

func TestRestartedVoterAbstains(t *testing.T) {
	s := newSite("dc1a", "dc1b", "dc1c")
	owner := s.settle(t)
	others := s.without(owner)
	s.down[owner] = true
	s.boot(others[0], 2)
	s.boot(others[1], 2)
	s.setViews(s.order, others)
	s.run(s.params.Lease)
	must.Len(t, 0, s.owners())
	s.run(s.params.Lease)
	must.Len(t, 1, s.owners())
	must.False(t, s.gained[s.owners()[0]].Known)
}

func TestReturnedRouterGetsItsResourceBack(t *testing.T) {
	s := nine()
	owner := s.settle(t)
	s.setViews(s.order, s.without(owner))
	s.run(time.Second)
	s.setViews(s.order, s.order)
	s.run(s.params.RebalanceAfter)
	must.SliceNotContains(t, s.owners(), owner, must.Sprint("hand-over back waits"))
	s.run(2 * time.Second)
	must.Eq(t, []fleet.VM{owner}, s.owners())
}

// TestTenureSurvivesDeadVoters kills the voters that an owner asks, one after
// another, and checks that the others stand in.
func TestTenureSurvivesDeadVoters(t *testing.T) {
	s := nine()
	owner := s.settle(t)
	s.run(s.params.Lease)
	for range 2 {
		_, first := s.nodes[owner].Confirm(s.now, id)
		dead := first.Messages[0].To
		s.down[dead] = true
		s.act(owner, first)
		s.run(2 * s.params.Lease)
		must.Eq(t, []fleet.VM{owner}, s.owners())
		must.SliceNotContains(t, s.events[owner], ownership.Lost)
	}
	_, last := s.nodes[owner].Confirm(s.now, id)
	s.events[owner] = nil
	s.act(owner, last)
	must.Eq(t, []ownership.EventKind{ownership.Confirmed}, s.events[owner])
}

// TestYoungSiteSurvivesLostRouter takes a router that votes for an owner away,
// from the network and then from the list, soon after all have started.
func TestYoungSiteSurvivesLostRouter(t *testing.T) {
	for _, lost := range []fleet.VM{"dc1a", "dc1b", "dc1c", "dc2a", "dc2b", "dc2c", "dc3a", "dc3b", "dc3c"} {
		t.Run(string(lost), func(t *testing.T) {
			s := nine()
			s.params.Voters = 3
			for _, vm := range s.order {
				s.nodes[vm].SetParams(s.params)
			}
			s.setViews(s.order, s.order)
			owner := s.settle(t)
			if owner == lost {
				t.Skip("the owner itself is lost")
			}
			s.run(s.params.Lease)
			s.down[lost] = true
			s.run(s.params.Lease / 4)
			left := s.without(lost)
			for _, vm := range left {
				v := s.view(left, left)
				v.Agreed = false
				s.setView(vm, v)
				s.run(100 * time.Millisecond)
			}
			for range 8 {
				_, ask := s.nodes[owner].Confirm(s.now, id)
				s.act(owner, ask)
				s.run(s.params.Lease / 2)
			}
			must.SliceNotContains(t, s.events[owner], ownership.Lost)
			must.SliceNotContains(t, s.events[owner], ownership.Refused)
		})
	}
}

func TestConfirmGroups(t *testing.T) {
	s := newSite("dc1a", "dc1b", "dc1c")
	owner := s.settle(t)
	_, first := s.nodes[owner].Confirm(s.now, id)
	must.Len(t, 1, first.Messages, must.Sprint("this router's vote and one more are a majority"))
	for range 10 {
		_, more := s.nodes[owner].Confirm(s.now, id)
		must.Len(t, 0, more.Messages)
	}
	s.act(owner, first)
	confirmed := 0
	for _, kind := range s.events[owner] {
		if kind == ownership.Confirmed {
			confirmed++
		}
	}
	must.Eq(t, 2, confirmed, must.Sprint("one round for the first, one for the ten that came during it"))
}

func TestVotersSpreadOverDataCentres(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dcs := rapid.IntRange(1, 5).Draw(t, "data centres")
		n := rapid.IntRange(1, 30).Draw(t, "routers")
		var routers []ownership.Router
		perDC := make(map[fleet.DataCentre]int)
		for i := range n {
			dc := fleet.DataCentre(fmt.Sprint("dc", rapid.IntRange(1, dcs).Draw(t, "dc")))
			routers = append(routers, ownership.Router{VM: fleet.VM(fmt.Sprint("vm", i)), DataCentre: dc})
			perDC[dc]++
		}
		v := &ownership.View{Routers: routers}
		v.Index()
		voters := ownership.SelectVoters(v, ownership.Rank(resource, v), 5)
		must.Eq(t, min(5, n), len(voters))
		count := make(map[fleet.DataCentre]int)
		for _, vm := range voters {
			i := slices.IndexFunc(routers, func(r ownership.Router) bool { return r.VM == vm })
			count[routers[i].DataCentre]++
		}
		outside := 0
		for _, total := range perDC {
			outside += min(total, 2)
		}
		for dc, c := range count {
			if outside >= 5 {
				must.LessEq(t, 2, c, must.Sprintf("%s has a majority of %v", dc, voters))
			}
		}
	})
}
