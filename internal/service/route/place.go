package route

import (
	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/admission"
	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// requestClass returns the class of work of a request.
func requestClass(req *call.Request) placement.Class {
	if req.Kind == call.KindService {
		return placement.Class{Service: req.Service}
	}
	return placement.Class{Model: req.Model, Adapter: req.Adapter, Version: req.Version}
}

// placementRequest returns the properties of a request that a policy uses.
func placementRequest(req *call.Request) *placement.Request {
	return &placement.Request{
		Class:   requestClass(req),
		Chat:    chatHash(req),
		Prefix:  req.Prefix,
		Account: req.Account,
	}
}

// chatHash returns the hash of a request's chat, zero if it has none. The hash
// includes the account, so chats of two accounts with the same name differ.
func chatHash(req *call.Request) uint64 {
	if req.Chat == "" {
		return 0
	}
	return xxhash.Sum64String(string(req.Account) + "\x00" + req.Chat)
}

// ranking holds the targets that can run one request, in order of preference.
type ranking struct {
	candidates []placement.Candidate
	// order holds indexes of candidates, the preferred one first.
	order []int
	// meanLoad is the load per slot over all candidates, with this request
	// included. It is zero if they have no slots.
	meanLoad float64
	// loadBound is the configured limit of a target's load per slot as a multiple
	// of meanLoad. It is zero if the policy sets no bound.
	loadBound float64
}

// rank ranks the targets that can run the request by the placement policy.
func (s *Service) rank(req *call.Request) *ranking {
	r := &ranking{candidates: s.targets.Candidates(requestClass(req))}
	s.mu.Lock()
	r.order = s.policy.Rank(placementRequest(req), r.candidates, nil)
	s.mu.Unlock()
	running, slots := 0, 0
	for i := range r.candidates {
		running += r.candidates[i].Running
		slots += r.candidates[i].Slots
	}
	if slots > 0 {
		r.meanLoad = float64(running+1) / float64(slots)
	}
	if c := s.config.Current(); c != nil && s.rules.Bounded {
		r.loadBound = c.Load.Bound
	}
	return r
}

// target returns the target at a position of the order.
func (r *ranking) target(pos int) fleet.Target { return r.candidates[r.order[pos]].Target }

// indexOf returns the position of a target in the order, or -1.
func (r *ranking) indexOf(t fleet.Target) int {
	for pos, i := range r.order {
		if r.candidates[i].Target == t {
			return pos
		}
	}
	return -1
}

// hasRoom reports whether the target at a position can run one more request at
// once, according to the latest digest of its owner.
func (r *ranking) hasRoom(pos int) bool {
	c := &r.candidates[r.order[pos]]
	limit := c.Slots
	if r.loadBound > 0 && c.Slots > 0 {
		limit = min(limit, admission.BoundedLoadLimit(r.loadBound, r.meanLoad, c.Slots))
	}
	return c.Ready && c.Running < limit && c.Queued == 0
}

// firstWithRoom returns the first position, from begin on, of a target that has
// room and was not tried, or -1.
func (r *ranking) firstWithRoom(begin int, tried map[fleet.Target]bool) int {
	for pos := begin; pos < len(r.order); pos++ {
		if !tried[r.target(pos)] && r.hasRoom(pos) {
			return pos
		}
	}
	return -1
}

// loadPerSlot returns the running and queued requests of the target at a position,
// divided by its slots when warm.
func (r *ranking) loadPerSlot(pos int) float64 {
	c := &r.candidates[r.order[pos]]
	return float64(c.Running+c.Queued) / float64(max(c.Capacity, 1))
}

// leastLoaded returns the position of the target with the lowest load per slot
// among those with room in the first placement.PrefixSpread positions. If none of
// them has room, it returns the first later position with room, or -1. The target
// except is left out.
func (r *ranking) leastLoaded(except fleet.Target) int {
	best := -1
	for pos := range min(len(r.order), placement.PrefixSpread) {
		if r.target(pos) == except || !r.hasRoom(pos) {
			continue
		}
		if best < 0 || r.loadPerSlot(pos) < r.loadPerSlot(best) {
			best = pos
		}
	}
	if best < 0 {
		best = r.firstWithRoom(0, map[fleet.Target]bool{except: true})
	}
	return best
}

// shortestWait returns the position of the target with the fewest running and
// queued requests per current slot, or -1. Among equals, the preferred target
// wins. Targets that were tried, that are not ready or that have no slots are left
// out.
func (r *ranking) shortestWait(tried map[fleet.Target]bool) int {
	best, least := -1, 0.0
	for pos, i := range r.order {
		c := &r.candidates[i]
		if tried[c.Target] || !c.Ready || c.Slots == 0 {
			continue
		}
		load := float64(c.Running+c.Queued) / float64(c.Slots)
		if best < 0 || load < least {
			best, least = pos, load
		}
	}
	return best
}
