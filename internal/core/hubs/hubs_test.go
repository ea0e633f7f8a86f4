package hubs_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

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
