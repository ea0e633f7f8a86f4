package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// The policies below are baselines for measurements. None of them bounds the
// load or remembers chats.

// Rendezvous ranks targets by the weighted rendezvous hash of the chat alone.
type Rendezvous struct {
	random *rand.Rand
}

// Name returns the policy's name in the settings.
func (*Rendezvous) Name() string { return "rendezvous" }

// Rules returns the zero rules of a baseline.
func (*Rendezvous) Rules() Rules { return Rules{} }

// Rank appends the candidates by descending score. A request without a chat or
// prefix gets a random order.
func (p *Rendezvous) Rank(r *Request, candidates []Candidate, out []int) []int {
	key, sticky := r.Key()
	if !sticky {
		key = p.random.Uint64()
	}
	return rankByCost(candidates, out, func(c *Candidate) float64 {
		return -Score(key, c.Hash, c.Capacity)
	})
}

// RoundRobin uses the candidates in turn.
type RoundRobin struct {
	next int
}

// Name returns the policy's name in the settings.
func (*RoundRobin) Name() string { return "round-robin" }

// Rules returns the zero rules of a baseline.
func (*RoundRobin) Rules() Rules { return Rules{} }

// Rank appends the candidates, starting one further than the last time.
func (p *RoundRobin) Rank(_ *Request, candidates []Candidate, out []int) []int {
	if len(candidates) == 0 {
		return out
	}
	p.next++
	start := p.next % len(candidates)
	position := make(map[uint64]int, len(candidates))
	for i := range candidates {
		position[candidates[i].Hash] = (i - start + len(candidates)) % len(candidates)
	}
	return rankByCost(candidates, out, func(c *Candidate) float64 { return float64(position[c.Hash]) })
}

// LeastLoaded prefers the candidate with the lowest reported load.
type LeastLoaded struct {
	random *rand.Rand
}

// Name returns the policy's name in the settings.
func (*LeastLoaded) Name() string { return "least-loaded" }

// Rules returns the zero rules of a baseline.
func (*LeastLoaded) Rules() Rules { return Rules{} }

// Rank appends the candidates by reported load, equal ones in random order.
func (p *LeastLoaded) Rank(_ *Request, candidates []Candidate, out []int) []int {
	first := len(out)
	out = appendShuffled(p.random, candidates, out)
	sortReadyFirst(candidates, out[first:], func(a, b *Candidate) int { return cmp.Compare(loadPerSlot(a), loadPerSlot(b)) })
	return out
}

// TwoChoices prefers the less loaded of two random candidates ("power of two
// choices").
type TwoChoices struct {
	random *rand.Rand
}

// Name returns the policy's name in the settings.
func (*TwoChoices) Name() string { return "two-choices" }

// Rules returns the zero rules of a baseline.
func (*TwoChoices) Rules() Rules { return Rules{} }

// Rank appends the less loaded of two random candidates, then all others.
func (p *TwoChoices) Rank(_ *Request, candidates []Candidate, out []int) []int {
	first := len(out)
	out = appendShuffled(p.random, candidates, out)
	order := out[first:]
	sortReadyFirst(candidates, order, func(_, _ *Candidate) int { return 0 })
	if len(order) < 2 {
		return out
	}
	a, b := &candidates[order[0]], &candidates[order[1]]
	if a.Ready == b.Ready && loadPerSlot(b) < loadPerSlot(a) {
		order[0], order[1] = order[1], order[0]
	}
	return out
}

// appendShuffled appends the positions of all candidates in random order.
func appendShuffled(random *rand.Rand, candidates []Candidate, out []int) []int {
	first := len(out)
	for i := range candidates {
		out = append(out, i)
	}
	order := out[first:]
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return out
}

// sortReadyFirst sorts positions by compare, with candidates that are not ready
// last. Equal candidates keep their order.
func sortReadyFirst(candidates []Candidate, order []int, compare func(a, b *Candidate) int) {
	slices.SortStableFunc(order, func(i, j int) int {
		a, b := &candidates[i], &candidates[j]
		return cmp.Or(compareBool(b.Ready, a.Ready), compare(a, b))
	})
}

// rankByCost appends the positions of the candidates by ascending cost, with
// candidates that are not ready last.
func rankByCost(candidates []Candidate, out []int, cost func(*Candidate) float64) []int {
	first := len(out)
	for i := range candidates {
		out = append(out, i)
	}
	sortReadyFirst(candidates, out[first:], func(a, b *Candidate) int { return cmp.Compare(cost(a), cost(b)) })
	return out
}

// Compile-time interface checks.
var (
	_ Policy = (*Rendezvous)(nil)
	_ Policy = (*RoundRobin)(nil)
	_ Policy = (*LeastLoaded)(nil)
	_ Policy = (*TwoChoices)(nil)
)
