package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// The policies below are baselines for measurements. None of them bounds the
// load or remembers chats.

// Rendezvous ranks by weighted rendezvous hash of the chat alone.
type Rendezvous struct {
	random *rand.Rand
}

// Name returns the policy's name.
func (*Rendezvous) Name() string { return "rendezvous" }

// Rules are those of a baseline.
func (*Rendezvous) Rules() Rules { return Rules{} }

// Rank appends the candidates by score. A request without a chat gets a random
// order.
func (p *Rendezvous) Rank(r *Request, candidates []Candidate, out []int) []int {
	key, sticky := r.Key()
	if !sticky {
		key = p.random.Uint64()
	}
	return rankBy(candidates, out, func(c *Candidate) float64 {
		return -Score(key, c.Hash, c.Capacity)
	})
}

// RoundRobin takes the candidates in turn.
type RoundRobin struct {
	next int
}

// Name returns the policy's name.
func (*RoundRobin) Name() string { return "round-robin" }

// Rules are those of a baseline.
func (*RoundRobin) Rules() Rules { return Rules{} }

// Rank appends the candidates from the next one on.
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
	return rankBy(candidates, out, func(c *Candidate) float64 { return float64(position[c.Hash]) })
}

// LeastLoaded takes the candidate with the lowest reported load first.
type LeastLoaded struct {
	random *rand.Rand
}

// Name returns the policy's name.
func (*LeastLoaded) Name() string { return "least-loaded" }

// Rules are those of a baseline.
func (*LeastLoaded) Rules() Rules { return Rules{} }

// Rank appends the candidates by reported load; equal ones in random order.
func (p *LeastLoaded) Rank(_ *Request, candidates []Candidate, out []int) []int {
	first := len(out)
	out = appendShuffled(p.random, candidates, out)
	sortReady(candidates, out[first:], func(a, b *Candidate) int { return cmp.Compare(load(a), load(b)) })
	return out
}

// TwoChoices draws two candidates and takes the one with the lower reported
// load first.
type TwoChoices struct {
	random *rand.Rand
}

// Name returns the policy's name.
func (*TwoChoices) Name() string { return "two-choices" }

// Rules are those of a baseline.
func (*TwoChoices) Rules() Rules { return Rules{} }

// Rank appends the better of two drawn candidates, then the others.
func (p *TwoChoices) Rank(_ *Request, candidates []Candidate, out []int) []int {
	first := len(out)
	out = appendShuffled(p.random, candidates, out)
	order := out[first:]
	sortReady(candidates, order, func(_, _ *Candidate) int { return 0 })
	if len(order) < 2 {
		return out
	}
	a, b := &candidates[order[0]], &candidates[order[1]]
	if a.Ready == b.Ready && load(b) < load(a) {
		order[0], order[1] = order[1], order[0]
	}
	return out
}

func appendShuffled(random *rand.Rand, candidates []Candidate, out []int) []int {
	first := len(out)
	for i := range candidates {
		out = append(out, i)
	}
	order := out[first:]
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return out
}

// sortReady sorts positions by compare and puts candidates that are not ready
// last. Equal ones keep their order.
func sortReady(candidates []Candidate, order []int, compare func(a, b *Candidate) int) {
	slices.SortStableFunc(order, func(i, j int) int {
		a, b := &candidates[i], &candidates[j]
		return cmp.Or(compareBool(b.Ready, a.Ready), compare(a, b))
	})
}

// rankBy appends the candidates with the lowest cost first.
func rankBy(candidates []Candidate, out []int, cost func(*Candidate) float64) []int {
	first := len(out)
	for i := range candidates {
		out = append(out, i)
	}
	sortReady(candidates, out[first:], func(a, b *Candidate) int { return cmp.Compare(cost(a), cost(b)) })
	return out
}

// Interface guards.
var (
	_ Policy = (*Rendezvous)(nil)
	_ Policy = (*RoundRobin)(nil)
	_ Policy = (*LeastLoaded)(nil)
	_ Policy = (*TwoChoices)(nil)
)
