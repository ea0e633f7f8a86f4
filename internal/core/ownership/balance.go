package ownership

import "github.com/zinniafork/zinniafork/internal/fleet"

// balance puts at the head of each resource's ranking a router that has not
// got more than its share of resources, so that the work of owners spreads. It
// looks at the list alone: the voters follow from the ranking and must not
// change with every router that is not heard for a moment. All routers that
// know the same list and the same resources come to the same result.
func balance(v *View, holders []*holder) {
	listed := func(*Router) bool { return true }
	first := assign(v, holders, listed, make(map[fleet.VM]int))
	for _, h := range holders {
		h.moveToFront(v, first[h.id])
	}
}

// prefer names the router that should own each resource now: the head of its
// ranking or, while that one may own nothing, another that has not got its
// share.
func prefer(v *View, holders []*holder) map[ID]fleet.VM {
	out := make(map[ID]fleet.VM, len(holders))
	count := make(map[fleet.VM]int)
	var rest []*holder
	for _, h := range holders {
		if len(h.ranking) == 0 {
			continue
		}
		if head := &v.Routers[h.ranking[0]]; head.Eligible {
			out[h.id] = head.VM
			count[head.VM]++
			continue
		}
		rest = append(rest, h)
	}
	for id, vm := range assign(v, rest, func(r *Router) bool { return r.Eligible }, count) {
		out[id] = vm
	}
	return out
}

// assign gives each resource the first router of its ranking that may have it
// and has less than its share. Resources with a home are shared out among the
// routers there, then the others among all. Count holds what routers have
// already.
func assign(v *View, holders []*holder, may func(*Router) bool, count map[fleet.VM]int) map[ID]fleet.VM {
	out := make(map[ID]fleet.VM, len(holders))
	routers := make(map[fleet.DataCentre]int)
	for i := range v.Routers {
		if r := &v.Routers[i]; may(r) {
			routers[r.DataCentre]++
			routers[""]++
		}
	}
	for _, homed := range []bool{true, false} {
		shares := sharesOf(holders, homed, routers, count)
		for _, h := range holders {
			if (h.resource.Home != "") != homed {
				continue
			}
			if vm, ok := firstWithin(v, h.ranking, may, count, shares[h.resource.Home]); ok {
				out[h.id] = vm
				count[vm]++
			}
		}
	}
	return out
}

// sharesOf returns the number of resources that one router of each home takes,
// rounded up. Without a home, the share counts all resources.
func sharesOf(holders []*holder, homed bool, routers map[fleet.DataCentre]int, count map[fleet.VM]int) map[fleet.DataCentre]int {
	resources := make(map[fleet.DataCentre]int)
	for _, h := range holders {
		if homed {
			resources[h.resource.Home]++
		} else if h.resource.Home == "" {
			resources[""]++
		}
	}
	if !homed {
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

// firstWithin returns the first router that may own and has less than share,
// else the first that may own.
func firstWithin(v *View, ranking Ranking, may func(*Router) bool, count map[fleet.VM]int, share int) (fleet.VM, bool) {
	var fallback fleet.VM
	for _, i := range ranking {
		r := &v.Routers[i]
		if !may(r) {
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
