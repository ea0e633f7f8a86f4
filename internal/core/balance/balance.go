// Package balance chooses the target of a request so that prompts find their
// prefixes in an engine's cache without overloading that engine.
//
// It is designed for many chats that share a few long prompts, some of which become
// hot. Routers exchange digests with the load that each of them puts on the targets
// and with the targets to which they sent prompts. From these, every router sends a
// prompt to an engine that has its prefixes in cache, as long as the load of that
// engine stays near the mean. For a new prompt, rendezvous hashing ranks the engines
// and the first one whose load is near the mean is chosen, so that routers choose
// the same engine before they have received each other's digests. A request without
// shared prefixes goes to the least loaded target, with a preference for the
// router's own data centre. A request may carry a load limit (core/overload); targets
// at it are left out.
//
// A request with an estimate of its cost (core/workload) is placed by the work that remains
// at the targets instead, within the same bounds on the number of requests.
package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/core/workload"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// A prompt goes to an engine that has it in cache while the load of that
	// engine is at most cachedLoadFactor x mean + cachedLoadSlack requests,
	// below the platform's limit of 2 x mean + 3. While loads are relayed, and
	// therefore old, relayedLoadFactor and relayedLoadSlack apply instead.
	cachedLoadFactor  = 1.7
	cachedLoadSlack   = 2.5
	relayedLoadFactor = 1.4
	relayedLoadSlack  = 1.5
	// A new prompt goes to the first engine in its ranking whose load is at
	// most newPromptLoadFactor x mean + newPromptLoadSlack requests.
	newPromptLoadFactor = 1.15
	newPromptLoadSlack  = 0.5
	// sampleSize is the number of random candidates of which the less loaded
	// one is chosen while loads are relayed.
	sampleSize = 2
	// minRankedCandidates is the number of top-ranked engines that are always
	// compared for a new prompt.
	minRankedCandidates = 1
	// remotePenalty, in requests per slot, is added to the load of targets in
	// other data centres.
	remotePenalty = 0.1
)

// Request holds the properties of a request on which the choice depends.
type Request struct {
	// Prefixes identifies the shared prefixes of the prompt, the shortest
	// first; empty if there are none.
	Prefixes []uint64
	// Avoid holds the targets that must not be chosen, such as those that were
	// tried before.
	Avoid map[fleet.Target]bool
	// MaxLoadPerSlot is the load per slot from which a target gets no request,
	// zero for no limit.
	MaxLoadPerSlot float64
	// CachedOnly reports the engines that get only prompts that they have in cache, as
	// long as another one may get the request; nil for none.
	CachedOnly func(t *sitestate.AvailableTarget) bool
	// Estimate is the expected cost of the request. If it is nil, loads are compared in
	// requests per slot.
	Estimate *workload.Estimate
	// Pick chooses among targets by their position in place of the least loaded one, for a
	// request without prefixes. It returns a negative number if no target may get the
	// request. Nil for the least loaded one.
	Pick func(eligible []*sitestate.AvailableTarget) int
}

// prompt returns the identifier of the longest shared prefix, which stands for
// the whole prompt.
func (r *Request) prompt() uint64 { return r.Prefixes[len(r.Prefixes)-1] }

// Reason is the logged reason for the choice of a target.
type Reason string

// Reasons for a choice.
const (
	// Cached: the target has the shared prefixes of the prompt in cache.
	Cached Reason = "cached"
	// Ranked: no target below the load limit has the prompt in cache; the
	// target was chosen by its hash rank and its load.
	Ranked Reason = "ranked"
	// LeastLoaded: the target has the lowest load per slot.
	LeastLoaded Reason = "least_loaded"
	// Picked: Request.Pick chose the target.
	Picked Reason = "picked"
	// None: no target may get the request.
	None Reason = "none"
	// Overloaded: targets may get requests, but their load is at the limit.
	Overloaded Reason = "overloaded"
)

// Choice is the chosen target with the loads behind the choice. Load is the number
// of requests that are known to run at the target, and Mean the mean of that number
// over all targets of the service.
type Choice struct {
	Target sitestate.AvailableTarget
	Reason Reason
	Load   float64
	Mean   float64
	// Sources lists targets from which the chosen one can fetch prefixes that
	// it does not have in cache, the most recently used first.
	Sources []fleet.Ref
	// Work is set for a request with an estimate.
	Work Work
}

// Gate decides which targets may get a request now.
type Gate interface {
	// Allow reports whether the target may get a request now.
	Allow(now time.Time, t *sitestate.AvailableTarget) bool
}

// Balancer chooses targets from the loads and cached prompts that it knows. It
// is not safe for concurrent use.
type Balancer struct {
	self    fleet.DataCentre
	loads   *loadTracker
	prompts *promptTable
	// relayed is set while the loads of other routers arrive through hubs.
	relayed bool
	random  *rand.Rand
	// speeds and choice serve requests with an estimate.
	speeds Speeds
	choice workChoice
}

// New returns the balancer of a router in the data centre self. Random choices
// are drawn from random.
func New(self fleet.DataCentre, random *rand.Rand) *Balancer {
	return &Balancer{self: self, loads: newLoadTracker(), prompts: newPromptTable(), random: random}
}

// SetRelayed sets whether the loads of other routers arrive through hubs and may
// be up to hubs.MaxRelayedAge old.
func (b *Balancer) SetRelayed(relayed bool) { b.relayed = relayed }

// Choose returns the target for a request, or a Choice without a target and with
// the reason None or Overloaded if no target may get it.
func (b *Balancer) Choose(now time.Time, r *Request, targets []sitestate.AvailableTarget, gate Gate) Choice {
	if r.Estimate != nil && r.Pick == nil && b.speeds != nil {
		return b.chooseByWork(now, r, targets, gate)
	}
	allowed := b.eligible(now, r, targets, gate)
	if len(allowed) == 0 {
		return Choice{Reason: None}
	}
	mean := b.meanLoad(r, targets)
	eligible := b.belowLimit(r, allowed)
	if len(eligible) == 0 {
		c := b.selectLeastLoaded(allowed, mean)
		return Choice{Reason: Overloaded, Load: c.Load, Mean: mean}
	}
	if len(r.Prefixes) == 0 && r.Pick != nil {
		return b.selectPicked(r, eligible, mean)
	}
	if len(r.Prefixes) == 0 {
		return b.selectLeastLoaded(eligible, mean)
	}
	if c, ok := b.selectHolder(now, r, eligible, mean); ok {
		return c
	}
	c := b.selectWithoutCache(now, r, withoutCachedOnly(r, eligible), mean)
	c.Sources = b.prompts.sources(now, r.Prefixes, c.Target.ID.Ref())
	return c
}

// eligible returns the targets that were not excluded by the request or the gate.
func (b *Balancer) eligible(now time.Time, r *Request, targets []sitestate.AvailableTarget, gate Gate) []*sitestate.AvailableTarget {
	out := make([]*sitestate.AvailableTarget, 0, len(targets))
	for i := range targets {
		if !r.Avoid[targets[i].ID] && gate.Allow(now, &targets[i]) {
			out = append(out, &targets[i])
		}
	}
	return out
}

// belowLimit returns the targets whose load per slot is below the limit of the
// request.
func (b *Balancer) belowLimit(r *Request, targets []*sitestate.AvailableTarget) []*sitestate.AvailableTarget {
	if r.MaxLoadPerSlot <= 0 {
		return targets
	}
	out := make([]*sitestate.AvailableTarget, 0, len(targets))
	for _, t := range targets {
		if t.Slots <= 0 || b.loads.load(t.ID.Ref()) < r.MaxLoadPerSlot*float64(t.Slots) {
			out = append(out, t)
		}
	}
	return out
}

// withoutCachedOnly returns the targets that get prompts which they don't have in cache,
// all if there are none.
func withoutCachedOnly(r *Request, eligible []*sitestate.AvailableTarget) []*sitestate.AvailableTarget {
	if r.CachedOnly == nil {
		return eligible
	}
	out := make([]*sitestate.AvailableTarget, 0, len(eligible))
	for _, t := range eligible {
		if !r.CachedOnly(t) {
			out = append(out, t)
		}
	}
	if len(out) == 0 {
		return eligible
	}
	return out
}

// meanLoad returns the mean load of the targets of the service. Those that get only what
// they have in cache don't count, as the others have to bear what they leave.
func (b *Balancer) meanLoad(r *Request, targets []sitestate.AvailableTarget) float64 {
	total, counted := 0.0, 0
	for i := range targets {
		if r.CachedOnly == nil || !r.CachedOnly(&targets[i]) {
			total += b.loads.load(targets[i].ID.Ref())
			counted++
		}
	}
	return total / float64(max(counted, 1))
}

// selectHolder returns the least loaded of the engines that have the prompt in
// cache, and false if there is none or its load exceeds the limit. While loads are
// relayed it compares two random holders only: otherwise all routers would send
// their excess to the few holders that appear idle.
func (b *Balancer) selectHolder(now time.Time, r *Request, eligible []*sitestate.AvailableTarget, mean float64) (Choice, bool) {
	var holders []int
	for i, t := range eligible {
		if b.prompts.has(now, r.prompt(), t.ID.Ref()) {
			holders = append(holders, i)
		}
	}
	if len(holders) == 0 {
		return Choice{}, false
	}
	c := b.lowestLoad(eligible, b.sample(holders), Cached, mean)
	return c, c.Load <= b.holderLoadLimit(mean)
}

// holderLoadLimit returns the highest load at which an engine gets prompts that
// it has in cache.
func (b *Balancer) holderLoadLimit(mean float64) float64 {
	if b.relayed {
		return relayedLoadFactor*mean + relayedLoadSlack
	}
	return cachedLoadFactor*mean + cachedLoadSlack
}

// sample returns two random candidates while loads are relayed, since many routers
// with the same old loads would all choose the same candidate. Otherwise it returns
// all candidates.
func (b *Balancer) sample(candidates []int) []int {
	if !b.relayed || len(candidates) <= sampleSize {
		return candidates
	}
	first := b.random.IntN(len(candidates))
	second := (first + 1 + b.random.IntN(len(candidates)-1)) % len(candidates)
	return []int{candidates[first], candidates[second]}
}

// lowestLoad returns the candidate with the lowest load.
func (b *Balancer) lowestLoad(eligible []*sitestate.AvailableTarget, candidates []int, reason Reason, mean float64) Choice {
	best, bestLoad := -1, math.Inf(1)
	for _, i := range candidates {
		if load := b.loads.load(eligible[i].ID.Ref()); load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return Choice{Target: *eligible[best], Reason: reason, Load: bestLoad, Mean: mean}
}

// selectWithoutCache returns an engine for a prompt that no engine below the load
// limit has in cache. If some engine has it and loads are relayed, routers choose
// between random engines, since all of them would follow the same ranking.
func (b *Balancer) selectWithoutCache(now time.Time, r *Request, eligible []*sitestate.AvailableTarget, mean float64) Choice {
	if !b.relayed || !b.prompts.hasAnyHolder(now, r.prompt()) {
		return b.selectRanked(r, eligible, mean)
	}
	all := make([]int, len(eligible))
	for i := range eligible {
		all[i] = i
	}
	return b.lowestLoad(eligible, b.sample(all), Ranked, mean)
}

// selectRanked returns the first engine in the prompt's ranking whose load is
// within the limit for new prompts, or the least loaded one if none is.
func (b *Balancer) selectRanked(r *Request, eligible []*sitestate.AvailableTarget, mean float64) Choice {
	limit := newPromptLoadFactor*mean + newPromptLoadSlack
	order := rankByHash(r.prompt(), eligible)
	best, bestLoad := -1, math.Inf(1)
	for seen, i := range order {
		load := b.loads.load(eligible[i].ID.Ref())
		if load < bestLoad {
			best, bestLoad = i, load
		}
		if seen+1 >= minRankedCandidates && bestLoad <= limit {
			break
		}
	}
	return Choice{Target: *eligible[best], Reason: Ranked, Load: bestLoad, Mean: mean}
}

// rankByHash orders targets by the rendezvous hash of the prompt.
func rankByHash(prompt uint64, eligible []*sitestate.AvailableTarget) []int {
	scores := make([]float64, len(eligible))
	order := make([]int, len(eligible))
	for i, t := range eligible {
		scores[i] = placement.Score(prompt, placement.HashTarget(t.ID), 1)
		order[i] = i
	}
	sortDescending(order, scores)
	return order
}

// selectLeastLoaded returns the target with the lowest load per slot, with a
// penalty for other data centres.
func (b *Balancer) selectLeastLoaded(eligible []*sitestate.AvailableTarget, mean float64) Choice {
	best, bestCost := 0, math.Inf(1)
	for i, t := range eligible {
		cost := b.loads.load(t.ID.Ref()) / float64(max(t.Slots, 1))
		if t.DataCentre != b.self {
			cost += remotePenalty
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	t := eligible[best]
	return Choice{Target: *t, Reason: LeastLoaded, Load: b.loads.load(t.ID.Ref()), Mean: mean}
}

// selectPicked returns the target that the request's own choice names.
func (b *Balancer) selectPicked(r *Request, eligible []*sitestate.AvailableTarget, mean float64) Choice {
	i := r.Pick(eligible)
	if i < 0 || i >= len(eligible) {
		return Choice{Reason: None}
	}
	t := eligible[i]
	return Choice{Target: *t, Reason: Picked, Load: b.loads.load(t.ID.Ref()), Mean: mean}
}

// RequestStarted records that this router sends a request with the given
// prefixes to a target.
func (b *Balancer) RequestStarted(now time.Time, id fleet.Target, prefixes []uint64) {
	b.loads.start(id.Ref())
	for _, prefix := range prefixes {
		b.prompts.recordUse(now, prefix, id.Ref())
	}
}

// RequestEnded records the end of a request that was passed to RequestStarted.
func (b *Balancer) RequestEnded(id fleet.Target) { b.loads.end(id.Ref()) }

// ForgetCache discards what is known of a target's cache, after the target
// restarted.
func (b *Balancer) ForgetCache(id fleet.Target) { b.prompts.invalidateTarget(id.Ref()) }
