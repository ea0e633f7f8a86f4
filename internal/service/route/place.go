package route

import (
	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/admission"
	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// classOf returns the kind of work that a request asks for.
func classOf(req *call.Request) placement.Class {
	if req.Kind == call.KindService {
		return placement.Class{Service: req.Service}
	}
	return placement.Class{Model: req.Model, Adapter: req.Adapter, Version: req.Version}
}

// keysOf returns the request as a policy sees it.
func keysOf(req *call.Request) *placement.Request {
	return &placement.Request{
		Class:   classOf(req),
		Chat:    chatKey(req),
		Prefix:  req.Prefix,
		Account: req.Account,
	}
}

// chatKey returns the hash of a request's chat, zero when it has none. Chats of
// two accounts are different ones whatever their names.
func chatKey(req *call.Request) uint64 {
	if req.Chat == "" {
		return 0
	}
	return xxhash.Sum64String(string(req.Account) + "\x00" + req.Chat)
}

// ranking is the order of targets for one request.
type ranking struct {
	candidates []placement.Candidate
	order      []int
	mean       float64
	bound      float64
}

// rank asks the policy.
func (s *Service) rank(req *call.Request) *ranking {
	r := &ranking{candidates: s.targets.Candidates(classOf(req))}
	s.mu.Lock()
	r.order = s.policy.Rank(keysOf(req), r.candidates, nil)
	s.mu.Unlock()
	running, slots := 0, 0
	for i := range r.candidates {
		running += r.candidates[i].Running
		slots += r.candidates[i].Slots
	}
	if slots > 0 {
		r.mean = float64(running+1) / float64(slots)
	}
	if c := s.config.Current(); c != nil && s.rules.Bounded {
		r.bound = c.Load.Bound
	}
	return r
}

// place returns the target at a place in the order.
func (r *ranking) place(i int) fleet.Target { return r.candidates[r.order[i]].Target }

// find returns the place of a target, or -1.
func (r *ranking) find(t fleet.Target) int {
	for place, i := range r.order {
		if r.candidates[i].Target == t {
			return place
		}
	}
	return -1
}

// hasRoom reports whether the target at a place bears one more request, as far
// as its owner's digest shows.
func (r *ranking) hasRoom(place int) bool {
	c := &r.candidates[r.order[place]]
	limit := c.Slots
	if r.bound > 0 && c.Slots > 0 {
		limit = min(limit, admission.BoundedLoadLimit(r.bound, r.mean, c.Slots))
	}
	return c.Ready && c.Running < limit && c.Queued == 0
}

// roomAfter returns the first place from begin on that has room and was not
// tried, or -1.
func (r *ranking) roomAfter(begin int, tried map[fleet.Target]bool) int {
	for place := begin; place < len(r.order); place++ {
		if !tried[r.place(place)] && r.hasRoom(place) {
			return place
		}
	}
	return -1
}

// load returns the work at a place for each slot of the warm target.
func (r *ranking) load(place int) float64 {
	c := &r.candidates[r.order[place]]
	return float64(c.Running+c.Queued) / float64(max(c.Capacity, 1))
}

// lightest returns the place with the lowest load among the first few that have
// room, else the first one with room, or -1. The target except is left out.
func (r *ranking) lightest(except fleet.Target) int {
	best := -1
	for place := range min(len(r.order), placement.PrefixSpread) {
		if r.place(place) == except || !r.hasRoom(place) {
			continue
		}
		if best < 0 || r.load(place) < r.load(best) {
			best = place
		}
	}
	if best < 0 {
		best = r.roomAfter(0, map[fleet.Target]bool{except: true})
	}
	return best
}

// shortestWait returns the place with the least work for each slot, the first
// in the order among equals.
func (r *ranking) shortestWait(tried map[fleet.Target]bool) int {
	best, least := -1, 0.0
	for place, i := range r.order {
		c := &r.candidates[i]
		if tried[c.Target] || !c.Ready || c.Slots == 0 {
			continue
		}
		work := float64(c.Running+c.Queued) / float64(c.Slots)
		if best < 0 || work < least {
			best, least = place, work
		}
	}
	return best
}
