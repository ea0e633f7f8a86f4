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
// drops them.
type site struct {
	now       time.Time
	params    ownership.Params
	nodes     map[fleet.VM]*ownership.Node
	order     []fleet.VM
	views     map[fleet.VM]ownership.View
	dropped   func(from, to fleet.VM) bool
	down      map[fleet.VM]bool
	owner     map[fleet.VM]bool
	residuals map[fleet.VM]ownership.Residual
	events    map[fleet.VM][]ownership.EventKind
	// running is the number of requests that a router reports when it acquires
	// or releases the resource.
	running int
}

var id = ownership.IDOf(resource.Name)

// newSite returns a site in which all routers have started and are eligible.
func newSite(vms ...string) *site {
	s := &site{
		now:       time.Unix(1_000_000, 0),
		params:    ownership.DefaultParams(2 * time.Second),
		nodes:     make(map[fleet.VM]*ownership.Node),
		views:     make(map[fleet.VM]ownership.View),
		dropped:   func(fleet.VM, fleet.VM) bool { return false },
		down:      make(map[fleet.VM]bool),
		owner:     make(map[fleet.VM]bool),
		residuals: make(map[fleet.VM]ownership.Residual),
		events:    make(map[fleet.VM][]ownership.EventKind),
	}
	for _, name := range vms {
		s.order = append(s.order, fleet.VM(name))
	}
	for _, vm := range s.order {
		s.start(vm, 1)
	}
	s.setViews(s.order, s.order)
	return s
}

// start starts a process of a router.
func (s *site) start(vm fleet.VM, inc fleet.Incarnation) {
	s.nodes[vm] = ownership.NewNode(vm, inc<<24, s.params, s.now, rand.New(rand.NewPCG(uint64(inc), 3)))
	s.act(vm, s.nodes[vm].SetResources(s.now, []ownership.Resource{resource}))
	if v, ok := s.views[vm]; ok {
		s.act(vm, s.nodes[vm].SetView(s.now, v))
	}
}

// view returns a view of the listed routers. The data centre of a router is its
// name without the last letter.
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

// setViews gives all routers the same view.
func (s *site) setViews(listed, eligible []fleet.VM) {
	for _, vm := range s.order {
		s.setView(vm, s.view(listed, eligible))
	}
}

// setView gives one router a view.
func (s *site) setView(vm fleet.VM, v ownership.View) {
	s.views[vm] = v
	s.act(vm, s.nodes[vm].SetView(s.now, v))
}

// act delivers the messages of a node and handles its events.
func (s *site) act(vm fleet.VM, a ownership.Actions) {
	for _, e := range a.Events {
		s.events[vm] = append(s.events[vm], e.Kind)
		switch e.Kind {
		case ownership.Acquired:
			s.owner[vm], s.residuals[vm] = true, e.Residual
			s.nodes[vm].SetMaxInFlight(id, s.running, 0)
		case ownership.Lost:
			s.owner[vm] = false
		case ownership.HandOver:
			s.owner[vm] = false
			s.act(vm, s.nodes[vm].Release(s.now, id, s.running, 0))
		}
	}
	for _, m := range a.Messages {
		if s.down[vm] || s.down[m.To] || s.dropped(vm, m.To) {
			continue
		}
		if m.Request != nil {
			s.act(m.To, s.nodes[m.To].HandleRequest(s.now, vm, m.Request))
		} else {
			s.act(m.To, s.nodes[m.To].HandleReply(s.now, vm, m.Reply))
		}
	}
}

// run advances the time in ticks.
func (s *site) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tick)
		for _, vm := range s.order {
			if !s.down[vm] {
				s.act(vm, s.nodes[vm].Tick(s.now))
				s.shareOwner(vm)
			}
		}
	}
}

// shareOwner reports an owner to the other routers, as digests in heartbeats
// do.
func (s *site) shareOwner(vm fleet.VM) {
	if !s.owner[vm] {
		return
	}
	for _, other := range s.order {
		if other != vm && !s.down[other] && !s.dropped(vm, other) {
			s.nodes[other].ObserveOwner(s.now, id, vm, s.nodes[vm].Term(id))
		}
	}
}

// owners returns the routers that are up and own the resource.
func (s *site) owners() []fleet.VM {
	var out []fleet.VM
	for _, vm := range s.order {
		if s.owner[vm] && !s.down[vm] {
			out = append(out, vm)
		}
	}
	return out
}

// settle waits for the first owner and returns it.
func (s *site) settle(t *testing.T) fleet.VM {
	t.Helper()
	s.run(3 * time.Second)
	must.Len(t, 1, s.owners())
	return s.owners()[0]
}

// without returns all routers except some.
func (s *site) without(excluded ...fleet.VM) []fleet.VM {
	return slices.DeleteFunc(slices.Clone(s.order), func(vm fleet.VM) bool { return slices.Contains(excluded, vm) })
}

// newNineRouterSite returns a site of three routers in each of three data
// centres.
func newNineRouterSite() *site {
	return newSite("dc1a", "dc1b", "dc1c", "dc2a", "dc2b", "dc2c", "dc3a", "dc3b", "dc3c")
}

func TestNoOwnerBeforeVotersGrant(t *testing.T) {
	s := newNineRouterSite()
	s.run(s.params.Lease)
	must.Len(t, 0, s.owners())
	owner := s.settle(t)
	must.StrHasPrefix(t, "dc1", string(owner))
	must.False(t, s.residuals[owner].Known, must.Sprint("voters that just started know no earlier owners"))
	must.Eq(t, 0, s.residuals[owner].Pending, must.Sprint("no router has owned the resource before"))
}

func TestKilledOwnerIsReplaced(t *testing.T) {
	s := newNineRouterSite()
	owner := s.settle(t)
	s.run(s.params.MaxRunTime + 2*s.params.Lease)
	s.running = 4
	s.nodes[owner].SetMaxInFlight(id, 4, 1)
	s.run(time.Second)
	s.down[owner] = true
	s.setViews(s.order, s.without(owner))
	s.run(s.params.Lease - tick)
	must.Len(t, 0, s.owners(), must.Sprint("the lease has not expired"))
	s.run(2*s.params.DriftMargin + 4*tick)
	next := s.owners()
	must.Len(t, 1, next)
	must.True(t, s.residuals[next[0]].Known)
	must.Eq(t, 4, s.residuals[next[0]].Count)
	must.Eq(t, 1, s.residuals[next[0]].Pending)
}

func TestHandOver(t *testing.T) {
	s := newNineRouterSite()
	owner := s.settle(t)
	s.running = 3
	s.nodes[owner].SetMaxInFlight(id, 3, 0)
	s.setViews(s.order, s.without(owner))
	s.run(2 * tick)
	next := s.owners()
	must.Len(t, 1, next)
	must.NotEq(t, owner, next[0])
	must.True(t, s.residuals[next[0]].Known, must.Sprint("a release reports the number of requests even if the voters have forgotten it"))
	must.Eq(t, 3, s.residuals[next[0]].Count)
	must.Eq(t, 0, s.residuals[next[0]].Pending)
}

func TestHandOverInterrupted(t *testing.T) {
	s := newNineRouterSite()
	owner := s.settle(t)
	s.dropped = func(from, _ fleet.VM) bool { return from == owner }
	s.setViews(s.order, s.without(owner))
	s.run(s.params.Lease - 8*tick)
	must.Len(t, 0, s.owners())
	s.run(s.params.Lease)
	must.Len(t, 1, s.owners())
}

func TestDataCentreLoss(t *testing.T) {
	s := newNineRouterSite()
	s.settle(t)
	for _, vm := range []fleet.VM{"dc1a", "dc1b", "dc1c"} {
		s.down[vm] = true
	}
	s.setViews(s.order, s.without("dc1a", "dc1b", "dc1c"))
	s.run(s.params.Lease + 2*s.params.DriftMargin + 4*tick)
	must.Len(t, 1, s.owners())
	must.StrHasPrefix(t, "dc2", string(s.owners()[0]))
}

func TestIsolatedOwnerLosesLease(t *testing.T) {
	s := newNineRouterSite()
	owner := s.settle(t)
	s.dropped = func(from, to fleet.VM) bool { return from == owner || to == owner }
	s.run(s.params.Lease)
	must.False(t, s.nodes[owner].Holds(s.now, id))
	must.SliceNotContains(t, s.owners(), owner)
}

// TestPausedOwnerCannotConfirm resumes a paused owner whose clock did not
// advance, so that it still believes in its lease. Its confirmation must fail,
// because another router owns the resource.
func TestPausedOwnerCannotConfirm(t *testing.T) {
	s := newNineRouterSite()
	owner := s.settle(t)
	pauseStart := s.now
	s.down[owner] = true
	for _, vm := range s.without(owner) {
		s.setView(vm, s.view(s.order, s.without(owner)))
	}
	s.run(4 * time.Second)
	must.Len(t, 1, s.owners())
	s.down[owner] = false
	node := s.nodes[owner]
	must.True(t, node.Holds(pauseStart, id), must.Sprint("the lease is valid by the owner's own clock"))
	_, actions := node.Confirm(pauseStart, id)
	now := s.now
	s.now = pauseStart
	s.act(owner, actions)
	s.act(owner, node.Tick(pauseStart.Add(s.params.ConfirmRetry)))
	s.now = now
	must.SliceNotContains(t, s.events[owner], ownership.Confirmed)
	must.SliceContains(t, s.events[owner], ownership.Lost)
}

// TestSplitVoterSets partitions a site so that each half has a majority of the
// voters of its own VM list. The half with the newer list must not elect an
// owner while the older voter set is retained; without retention it does.
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
			olderHalf := []fleet.VM{"dc1d", "dc1e", "dc1a"}
			s.dropped = func(from, to fleet.VM) bool {
				return slices.Contains(olderHalf, from) != slices.Contains(olderHalf, to)
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
			must.Eq(t, []fleet.VM{"dc1d", "dc1f"}, s.owners(), must.Sprint("without retention both halves have an owner"))
		})
	}
}

func TestRestartedVoterAbstains(t *testing.T) {
	s := newSite("dc1a", "dc1b", "dc1c")
	owner := s.settle(t)
	others := s.without(owner)
	s.down[owner] = true
	s.start(others[0], 2)
	s.start(others[1], 2)
	s.setViews(s.order, others)
	s.run(s.params.Lease)
	must.Len(t, 0, s.owners())
	s.run(s.params.Lease)
	must.Len(t, 1, s.owners())
	must.False(t, s.residuals[s.owners()[0]].Known)
}

func TestResourceReturnsToPreferredRouter(t *testing.T) {
	s := newNineRouterSite()
	owner := s.settle(t)
	s.setViews(s.order, s.without(owner))
	s.run(time.Second)
	s.setViews(s.order, s.order)
	s.run(s.params.RebalanceAfter)
	must.SliceNotContains(t, s.owners(), owner, must.Sprint("the hand-over back must wait"))
	s.run(2 * time.Second)
	must.Eq(t, []fleet.VM{owner}, s.owners())
}

// TestTermSurvivesVoterFailures stops the voters that an owner asks first, one
// after another. The other voters must replace them.
func TestTermSurvivesVoterFailures(t *testing.T) {
	s := newNineRouterSite()
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

// TestTermSurvivesVoterLossAfterSiteStart removes a router, first from the
// network and then from the VM list, soon after all routers have started. The
// owner must keep its lease, and its confirmations must not be refused.
func TestTermSurvivesVoterLossAfterSiteStart(t *testing.T) {
	for _, lost := range []fleet.VM{"dc1a", "dc1b", "dc1c", "dc2a", "dc2b", "dc2c", "dc3a", "dc3b", "dc3c"} {
		t.Run(string(lost), func(t *testing.T) {
			s := newNineRouterSite()
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
				_, actions := s.nodes[owner].Confirm(s.now, id)
				s.act(owner, actions)
				s.run(s.params.Lease / 2)
			}
			must.SliceNotContains(t, s.events[owner], ownership.Lost)
			must.SliceNotContains(t, s.events[owner], ownership.Refused)
		})
	}
}

func TestConfirmationsAreBatched(t *testing.T) {
	s := newSite("dc1a", "dc1b", "dc1c")
	owner := s.settle(t)
	_, first := s.nodes[owner].Confirm(s.now, id)
	must.Len(t, 1, first.Messages, must.Sprint("this router's vote and one other are a majority"))
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
	must.Eq(t, 2, confirmed, must.Sprint("one round for the first confirmation and one for the ten requested during it"))
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
		available := 0
		for _, total := range perDC {
			available += min(total, 2)
		}
		for dc, c := range count {
			if available >= 5 {
				must.LessEq(t, 2, c, must.Sprintf("%s has a majority of %v", dc, voters))
			}
		}
	})
}
