package ownership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Ranking is an order of preference among the routers of a view, as indexes
// into View.Routers.
type Ranking []int32

// Rank sorts the routers of an indexed view by preference as owners of a
// resource: nearest to its home data centre first, then by rendezvous hash.
func Rank(r Resource, v *View) Ranking {
	type rankedRouter struct {
		index    int32
		distance int
		score    uint64
	}
	distances := v.distances(r.Home)
	key := xxhash.Sum64String(r.Name)
	ranked := make([]rankedRouter, len(v.Routers))
	for i, router := range v.Routers {
		ranked[i] = rankedRouter{
			index:    int32(i),
			distance: distances[router.DataCentre],
			score:    combineHashes(key, v.hashes[i]),
		}
	}
	slices.SortFunc(ranked, func(a, b rankedRouter) int {
		return cmp.Or(
			cmp.Compare(a.distance, b.distance),
			cmp.Compare(b.score, a.score),
			cmp.Compare(v.Routers[a.index].VM, v.Routers[b.index].VM),
		)
	})
	out := make(Ranking, len(ranked))
	for i := range ranked {
		out[i] = ranked[i].index
	}
	return out
}

// combineHashes combines two hashes into one.
func combineHashes(a, b uint64) uint64 {
	h := (a ^ b) * 0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}

// distances returns the position of each data centre in the order of nearness
// to home, 0 for home itself. Unlisted ones come last. It is empty without a
// home.
func (v *View) distances(home fleet.DataCentre) map[fleet.DataCentre]int {
	out := make(map[fleet.DataCentre]int)
	if home == "" {
		return out
	}
	nearest := v.Nearest[home]
	for _, router := range v.Routers {
		out[router.DataCentre] = len(nearest) + 1
	}
	for i, dc := range nearest {
		out[dc] = i + 1
	}
	out[home] = 0
	return out
}

// Index fills in the lookup tables of a view. It must be called before Rank.
func (v *View) Index() {
	v.hashes = make([]uint64, len(v.Routers))
	v.mayOwn = make(map[fleet.VM]bool, len(v.Routers))
	for i, router := range v.Routers {
		v.hashes[i] = xxhash.Sum64String(string(router.VM))
		v.mayOwn[router.VM] = router.Eligible
	}
}

// sameRanking reports whether every resource ranks the routers of both views
// alike.
func (v *View) sameRanking(other *View) bool {
	sameRouters := slices.EqualFunc(v.Routers, other.Routers, func(a, b Router) bool {
		return a.VM == b.VM && a.DataCentre == b.DataCentre
	})
	return sameRouters && maps.EqualFunc(v.Nearest, other.Nearest, slices.Equal[[]fleet.DataCentre])
}

// SelectVoters selects the n voters of a resource from its ranking. As long as
// there are other routers to choose from, no data centre gets a majority, so
// that a majority survives the loss of any one data centre.
func SelectVoters(v *View, ranking Ranking, n int) []fleet.VM {
	perDC := max((n-1)/2, 1)
	count := make(map[fleet.DataCentre]int)
	picked := make([]fleet.VM, 0, n)
	var rest []fleet.VM
	for _, i := range ranking {
		router := v.Routers[i]
		switch {
		case len(picked) == n:
			return picked
		case count[router.DataCentre] < perDC:
			count[router.DataCentre]++
			picked = append(picked, router.VM)
		case len(rest) < n:
			rest = append(rest, router.VM)
		}
	}
	return append(picked, rest[:min(n-len(picked), len(rest))]...)
}

// eligibleRank returns the position of vm among the eligible routers, or -1.
func eligibleRank(v *View, ranking Ranking, vm fleet.VM) int {
	rank := 0
	for _, i := range ranking {
		router := &v.Routers[i]
		if !router.Eligible {
			continue
		}
		if router.VM == vm {
			return rank
		}
		rank++
	}
	return -1
}

// Candidate returns the first eligible router of a ranking.
func Candidate(v *View, ranking Ranking) (fleet.VM, bool) {
	for _, i := range ranking {
		if v.Routers[i].Eligible {
			return v.Routers[i].VM, true
		}
	}
	return "", false
}

// eligible reports whether vm may own resources.
func (v *View) eligible(vm fleet.VM) bool { return v.mayOwn[vm] }
