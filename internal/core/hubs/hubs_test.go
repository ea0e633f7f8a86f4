package hubs_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/hubs"
	"github.com/zinniafork/zinniafork/internal/core/membership"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// site returns n routers in three data centres. Every tenth has a high weight.
func site(n int) []membership.Member {
	var out []membership.Member
	for i := range n {
		m := membership.Member{Status: membership.StateAlive}
		m.VM = fleet.VM(fmt.Sprintf("vm%d", i))
		m.DataCentre = fleet.DataCentre(fmt.Sprintf("dc%d", i%3))
		m.Weight = 0.2
		if i%10 == 0 {
			m.Weight = 0.8
		}
		out = append(out, m)
	}
	return out
}

// TestUpdatesReachEveryRouterOnce forwards an update of each router along the paths.
func TestUpdatesReachEveryRouterOnce(t *testing.T) {
	for _, n := range []int{1, 2, 9, 16, 17, 60, 390} {
		view := site(n)
		trees := make(map[fleet.VM]*hubs.Tree)
		for _, m := range view {
			trees[m.VM] = hubs.New(m.VM, view)
		}
		for _, m := range view {
			got := map[fleet.VM]int{m.VM: 1}
			type hop struct{ from, to fleet.VM }
			var queue []hop
			for _, to := range trees[m.VM].ForwardTo("") {
				queue = append(queue, hop{m.VM, to})
			}
			for len(queue) > 0 {
				h := queue[0]
				queue = queue[1:]
				got[h.to]++
				for _, to := range trees[h.to].ForwardTo(h.from) {
					queue = append(queue, hop{h.to, to})
				}
			}
			must.MapLen(t, n, got, must.Sprint(n, m.VM))
			for vm, times := range got {
				must.Eq(t, 1, times, must.Sprint(n, m.VM, vm))
			}
		}
	}
}

func TestHubHasGreatestWeightAlive(t *testing.T) {
	view := site(60)
	for i := range view {
		tree := hubs.New(view[i].VM, view)
		if tree.IsHub() {
			must.Eq(t, 0.8, view[i].Weight)
		}
		must.Len(t, 2, tree.RemoteHubs())
		must.Len(t, 19, tree.Members())
	}
	for i := range view {
		if view[i].Weight > 0.5 && view[i].DataCentre == "dc0" {
			view[i].Status = membership.StateSuspect
		}
	}
	hubCount := 0
	for i := range view {
		if view[i].DataCentre == "dc0" && view[i].Status == membership.StateAlive && hubs.New(view[i].VM, view).IsHub() {
			hubCount++
		}
	}
	must.Eq(t, 1, hubCount, must.Sprint("another router becomes the hub"))
}

func TestRankAliveIgnoresInputOrder(t *testing.T) {
	view := site(30)
	order := hubs.RankAlive(view)
	must.Eq(t, 0.8, order[0].Weight)
	view[0], view[7] = view[7], view[0]
	must.Eq(t, order, hubs.RankAlive(view))
}

// TestNoUpdateTravelsFurtherThanThreeHops passes on updates among routers each of which
// sees other routers alive than the rest do, as while a partition begins or ends. Every
// update must come to rest, and in a site on whose view all agree reach everybody once.
func TestNoUpdateTravelsFurtherThanThreeHops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := site(rapid.IntRange(17, 40).Draw(t, "routers"))
		unheard := rapid.SampledFrom([]int{0, 5, 30}).Draw(t, "percent of routers not heard")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		trees := make(map[fleet.VM]*hubs.Tree)
		for i := range view {
			own := slices.Clone(view)
			for j := range own {
				if i != j && random.IntN(100) < unheard {
					own[j].Status = membership.StateSuspect
				}
			}
			trees[view[i].VM] = hubs.New(view[i].VM, own)
		}
		origin := rapid.SampledFrom(view).Draw(t, "origin").VM
		got := make(map[fleet.VM]int)
		sent := sendUpdate(trees[origin], hubs.Relay{Members: true, Hubs: true})
		for hops := 0; len(sent) > 0; hops++ {
			must.Less(t, 3, hops)
			var next []updateHop
			for _, h := range sent {
				got[h.to]++
				next = append(next, sendUpdate(trees[h.to], trees[h.to].Relay(h.from, h.scope))...)
			}
			sent = next
		}
		if unheard == 0 {
			delete(got, origin) // its hub sends the sum back
			must.MapLen(t, len(view)-1, got)
			for vm, times := range got {
				must.Eq(t, 1, times, must.Sprint(vm))
			}
		}
	})
}

// updateHop is an update on its way.
type updateHop struct {
	from, to fleet.VM
	scope    hubs.Scope
}

// sendUpdate returns the messages in which a router sends on an update.
func sendUpdate(tree *hubs.Tree, relay hubs.Relay) []updateHop {
	var out []updateHop
	add := func(scope hubs.Scope, to []fleet.VM) {
		for _, vm := range to {
			out = append(out, updateHop{tree.Self(), vm, scope})
		}
	}
	if !tree.IsHub() {
		if relay.Members && relay.Hubs {
			add(hubs.ScopeRouter, tree.ForwardTo(""))
		}
		return out
	}
	if relay.Members {
		add(hubs.ScopeSite, tree.Members())
	}
	if relay.Hubs {
		add(hubs.ScopeDataCentre, tree.RemoteHubs())
	}
	return out
}

// TestMessagesWithoutAScope checks what is passed on of messages of an earlier release.
func TestMessagesWithoutAScope(t *testing.T) {
	view := site(60)
	for i := range view {
		tree := hubs.New(view[i].VM, view)
		if !tree.IsHub() {
			must.Eq(t, hubs.Relay{}, tree.Relay(view[0].VM, hubs.ScopeUnknown))
			continue
		}
		must.Eq(t, hubs.Relay{Members: true}, tree.Relay(tree.RemoteHubs()[0], hubs.ScopeUnknown))
		must.Eq(t, hubs.Relay{Members: true, Hubs: true}, tree.Relay(tree.Members()[0], hubs.ScopeUnknown))
	}
}
