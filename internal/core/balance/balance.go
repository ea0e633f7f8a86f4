// Package balance chooses the target of a request.
//
// Every router sees a sliver of the traffic, so each tells the others what it
// has running and where it sent which prompts. With that, all of them send a
// prompt to the engine that has its shared parts in cache, as long as that
// engine's load stays near the mean: the load pattern is many chats that share
// a few long prompts, of which some get hot. A prompt that is new goes to the
// less loaded of the engines that rank first for it, so that routers which
// can't know of each other yet agree. Requests without shared parts go to the
// least loaded target, a near one first.
package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// holderFactor and holderSlack bound the load at which a prompt still goes
	// to an engine that has it in cache: factor x mean + slack. The platform
	// allows 2 x mean + 3. While loads are old, the bound is relayedFactor x mean
	// + relayedSlack.
	holderFactor  = 1.7
	holderSlack   = 2.5
	relayedFactor = 1.4
	relayedSlack  = 1.5
	// freshFactor and freshSlack bound the load at which a new prompt goes to
	// the engines that rank first for it.
	freshFactor = 1.15
	freshSlack  = 0.5
	// drawn is the number of candidates of which the better one is taken while
	// loads are old.
	drawn = 2
	// firstRanked is the number of engines that a new prompt chooses between.
	firstRanked = 1
	// farPenalty is the load, in requests per slot, that a target in another
	// data centre must be below a near one to be chosen.
	farPenalty = 0.1
)

// Request is what the choice depends on.
type Request struct {
	// Prefixes identify the shared parts of the prompt in order; empty for none.
	Prefixes []uint64
	// Avoid holds the targets that were tried before.
	Avoid map[fleet.Target]bool
}

// prompt identifies all shared parts by the last of them.
func (r *Request) prompt() uint64 { return r.Prefixes[len(r.Prefixes)-1] }

// Reason tells why a target was chosen, for the log.
type Reason string

// Verdicts.
const (
	// Cached: the target has the shared parts of the prompt.
	Cached Reason = "cached"
	// Ranked: the prompt is new and the target ranks high for it.
	Ranked Reason = "ranked"
	// LeastLoaded: the target has the lowest load.
	LeastLoaded Reason = "least_loaded"
	// None: no target may get the request.
	None Reason = "none"
)

// Choice is the chosen target with the figures that decided.
type Choice struct {
	Target sitestate.AvailableTarget
	Reason Reason
	Load   float64
	Mean   float64
	// Sources are the targets that have the prompt's shared parts when the
	// chosen one has not, the one that used them last first.
	Sources []fleet.Ref
}

// Gate tells which targets may get a request now.
type Gate interface {
	// Allow reports whether a target may get a request now.
	Allow(now time.Time, t *sitestate.AvailableTarget) bool
}

// Balancer chooses targets. It is not safe for concurrent use.
type Balancer struct {
	self    fleet.DataCentre
	loads   *loads
	prompts *prompts
	// relayed is set while other routers' loads come by way of hubs.
	relayed bool
	random  *rand.Rand
}

// New returns the balancer of a router in a data centre. Draws come from random.
func New(self fleet.DataCentre, random *rand.Rand) *Balancer {
	return &Balancer{self: self, loads: newLoads(), prompts: newPrompts(), random: random}
}

// SetRelayed tells whether other routers' loads come by way of hubs, and are up
// to hubs.RelayedAge old.
func (b *Balancer) SetRelayed(relayed bool) { b.relayed = relayed }

// Choose returns the target for a request among those available.
func (b *Balancer) Choose(now time.Time, r *Request, targets []sitestate.AvailableTarget, gate Gate) Choice {
	open := b.open(now, r, targets, gate)
	if len(open) == 0 {
		return Choice{Reason: None}
	}
	mean := b.mean(targets)
	if len(r.Prefixes) == 0 {
		return b.least(open, mean)
	}
	if c, ok := b.holder(now, r, open, mean); ok {
		return c
	}
	c := b.spill(now, r, open, mean)
	c.Sources = b.prompts.sources(now, r.Prefixes, c.Target.ID.Ref())
	return c
}

// open returns the positions that may get the request.
func (b *Balancer) open(now time.Time, r *Request, targets []sitestate.AvailableTarget, gate Gate) []*sitestate.AvailableTarget {
	out := make([]*sitestate.AvailableTarget, 0, len(targets))
	for i := range targets {
		if !r.Avoid[targets[i].ID] && gate.Allow(now, &targets[i]) {
			out = append(out, &targets[i])
		}
	}
	return out
}

// mean is the mean load of all targets of the service.
func (b *Balancer) mean(targets []sitestate.AvailableTarget) float64 {
	total := 0.0
	for i := range targets {
		total += b.loads.of(targets[i].ID.Ref())
	}
	return total / float64(max(len(targets), 1))
}

// holder returns the least loaded of the engines that have the prompt, unless
// it is over the bound. While loads are old it is the better of two drawn ones:
// the few that look free would get all that the others can't take.
func (b *Balancer) holder(now time.Time, r *Request, open []*sitestate.AvailableTarget, mean float64) (Choice, bool) {
	var holders []int
	for i, t := range open {
		if b.prompts.has(now, r.prompt(), t.ID.Ref()) {
			holders = append(holders, i)
		}
	}
	if len(holders) == 0 {
		return Choice{}, false
	}
	c := b.lowest(open, b.draw(holders), Cached, mean)
	return c, c.Load <= b.holderLimit(mean)
}

// holderLimit is the load at which a prompt still goes to an engine that has it.
func (b *Balancer) holderLimit(mean float64) float64 {
	if b.relayed {
		return relayedFactor*mean + relayedSlack
	}
	return holderFactor*mean + holderSlack
}

// draw returns two of the candidates while loads are old: many routers that see
// the same old loads would all take the same one.
func (b *Balancer) draw(candidates []int) []int {
	if !b.relayed || len(candidates) <= drawn {
		return candidates
	}
	first := b.random.IntN(len(candidates))
	second := (first + 1 + b.random.IntN(len(candidates)-1)) % len(candidates)
	return []int{candidates[first], candidates[second]}
}

// lowest returns the candidate with the lowest load.
func (b *Balancer) lowest(open []*sitestate.AvailableTarget, candidates []int, why Reason, mean float64) Choice {
	best, bestLoad := -1, math.Inf(1)
	for _, i := range candidates {
		if load := b.loads.of(open[i].ID.Ref()); load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return Choice{Target: *open[best], Reason: why, Load: bestLoad, Mean: mean}
}

// spill returns an engine for a prompt that no engine has, or that only engines
// over the bound have. Routers with old loads spread the latter by drawing.
func (b *Balancer) spill(now time.Time, r *Request, open []*sitestate.AvailableTarget, mean float64) Choice {
	if !b.relayed || !b.prompts.known(now, r.prompt()) {
		return b.ranked(r, open, mean)
	}
	all := make([]int, len(open))
	for i := range open {
		all[i] = i
	}
	return b.lowest(open, b.draw(all), Ranked, mean)
}

// ranked returns the least loaded of the engines that rank first for a new
// prompt, going on to the next ones while they are over the bound.
func (b *Balancer) ranked(r *Request, open []*sitestate.AvailableTarget, mean float64) Choice {
	limit := freshFactor*mean + freshSlack
	order := rank(r.prompt(), open)
	best, bestLoad := -1, math.Inf(1)
	for seen, i := range order {
		load := b.loads.of(open[i].ID.Ref())
		if load < bestLoad {
			best, bestLoad = i, load
		}
		if seen+1 >= firstRanked && bestLoad <= limit {
			break
		}
	}
	return Choice{Target: *open[best], Reason: Ranked, Load: bestLoad, Mean: mean}
}

// rank orders targets by rendezvous hash of the prompt.
func rank(prompt uint64, open []*sitestate.AvailableTarget) []int {
	scores := make([]float64, len(open))
	order := make([]int, len(open))
	for i, t := range open {
		scores[i] = placement.Score(prompt, placement.HashTarget(t.ID), 1)
		order[i] = i
	}
	sortDescending(order, scores)
	return order
}

// least returns the target with the lowest load for each slot.
func (b *Balancer) least(open []*sitestate.AvailableTarget, mean float64) Choice {
	best, bestCost := 0, math.Inf(1)
	for i, t := range open {
		cost := b.loads.of(t.ID.Ref()) / float64(max(t.Slots, 1))
		if t.DataCentre != b.self {
			cost += farPenalty
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	t := open[best]
	return Choice{Target: *t, Reason: LeastLoaded, Load: b.loads.of(t.ID.Ref()), Mean: mean}
}

// RequestStarted notes that this router sends a request to a target.
func (b *Balancer) RequestStarted(now time.Time, id fleet.Target, parts []uint64) {
	b.loads.start(id.Ref())
	for _, part := range parts {
		b.prompts.place(now, part, id.Ref())
	}
}

// RequestEnded notes the end of a request that Started told of.
func (b *Balancer) RequestEnded(id fleet.Target) { b.loads.end(id.Ref()) }

// ForgetCache drops what is known of a target's cache, because it started anew.
func (b *Balancer) ForgetCache(id fleet.Target) { b.prompts.forget(id.Ref()) }
