package ownership

import "github.com/zinniafork/zinniafork/internal/fleet"

// balanceRankings moves to the head of each resource's ranking a router that
// has no more than its share of the resources, so that ownership is spread
// evenly. It depends only on the VM list and not on which routers are eligible:
// voters are selected from the ranking and must not change whenever a router is
// briefly unreachable. Routers with the same list and the same resources get
// the same rankings.
func balanceRankings(v *View, holders []*holder) {
	listed := func(*Router) bool { return true }
	first := assignOwners(v, holders, listed, make(map[fleet.VM]int))
	for _, h := range holders {
		h.moveToFront(v, first[h.id])
	}
}

// preferredOwners returns the router that should own each resource now: the
// head of its ranking or, while that router is not eligible, another one with
// less than its share.
func preferredOwners(v *View, holders []*holder) map[ID]fleet.VM {
	out := make(map[ID]fleet.VM, len(holders))
	count := make(map[fleet.VM]int)
	var unassigned []*holder
	for _, h := range holders {
		if len(h.ranking) == 0 {
			continue
		}
		if head := &v.Routers[h.ranking[0]]; head.Eligible {
			out[h.id] = head.VM
			count[head.VM]++
			continue
		}
		unassigned = append(unassigned, h)
	}
	for id, vm := range assignOwners(v, unassigned, func(r *Router) bool { return r.Eligible }, count) {
		out[id] = vm
	}
	return out
}

// assignOwners assigns each resource the first router of its ranking that is
// allowed and has less than its share. Resources with a home data centre are
// shared among the routers there first, then the others among all routers.
// Count is the number of resources that each router already has; it is updated.
func assignOwners(v *View, holders []*holder, allowed func(*Router) bool, count map[fleet.VM]int) map[ID]fleet.VM {
	out := make(map[ID]fleet.VM, len(holders))
	routers := make(map[fleet.DataCentre]int)
	for i := range v.Routers {
		if r := &v.Routers[i]; allowed(r) {
			routers[r.DataCentre]++
			routers[""]++
		}
	}
	for _, withHome := range []bool{true, false} {
		shares := sharePerRouter(holders, withHome, routers, count)
		for _, h := range holders {
			if (h.resource.Home != "") != withHome {
				continue
			}
			if vm, ok := firstBelowShare(v, h.ranking, allowed, count, shares[h.resource.Home]); ok {
				out[h.id] = vm
				count[vm]++
			}
		}
	}
	return out
}

// sharePerRouter returns the number of resources per router, rounded up, for
// each home data centre. With withHome false it returns a single share, under
// the empty name, that counts all resources.
func sharePerRouter(holders []*holder, withHome bool, routers map[fleet.DataCentre]int, count map[fleet.VM]int) map[fleet.DataCentre]int {
	resources := make(map[fleet.DataCentre]int)
	for _, h := range holders {
		if withHome {
			resources[h.resource.Home]++
		} else if h.resource.Home == "" {
			resources[""]++
		}
	}
	if !withHome {
		for _, n := range count {
			resources[""] += n
		}
	}
	out := make(map[fleet.DataCentre]int, len(resources))
	for dc, n := range resources {
		if routers[dc] > 0 {
			out[dc] = (n + routers[dc] - 1) / routers[dc]
		}
	}
	return out
}

// firstBelowShare returns the first allowed router of the ranking that has
// fewer resources than share, else the first allowed one. It is false if no
// router is allowed.
func firstBelowShare(v *View, ranking Ranking, allowed func(*Router) bool, count map[fleet.VM]int, share int) (fleet.VM, bool) {
	var fallback fleet.VM
	for _, i := range ranking {
		r := &v.Routers[i]
		if !allowed(r) {
			continue
		}
		if count[r.VM] < share {
			return r.VM, true
		}
		if fallback == "" {
			fallback = r.VM
		}
	}
	return fallback, fallback != ""
}
