package placement

import (
	"cmp"
	"math"
	"slices"
)

// Bounded ranks by weighted rendezvous hash of the chat, so that a chat returns
// to the target that has its prefix in cache, and only the chats of a target
// that joins or leaves move. Owners keep the load of each target under the
// bound and remember the chats that they sent elsewhere.
//
// A request without a chat or a known prefix goes to the target with the
// lowest load.
type Bounded struct{}

// Name returns the policy's name.
func (Bounded) Name() string { return DefaultPolicy }

// Rules tells that the load is bounded and spilled chats are remembered.
func (Bounded) Rules() Rules { return Rules{Bounded: true, Remembers: true} }

// Rank appends the candidates by score.
func (Bounded) Rank(r *Request, candidates []Candidate, out []int) []int {
	key, sticky := r.Key()
	first := len(out)
	scores := make([]float64, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		if sticky {
			scores[i] = Score(key, c.Hash, c.Capacity)
		} else {
			scores[i] = -load(c)
		}
		out = append(out, i)
	}
	slices.SortFunc(out[first:], func(a, b int) int {
		return cmp.Or(
			compareBool(candidates[b].Ready, candidates[a].Ready),
			cmp.Compare(scores[b], scores[a]),
			cmp.Compare(candidates[a].Hash, candidates[b].Hash),
		)
	})
	return out
}

// Score is the weighted rendezvous score of a key at a target. The share of
// keys at which a target scores highest is its share of the weights.
func Score(key, target uint64, weight int) float64 {
	h := (key ^ target) * 0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	uniform := (float64(h>>11) + 0.5) / (1 << 53)
	return -float64(weight) / math.Log(uniform)
}

// load returns the requests at a target and its owner for each slot.
func load(c *Candidate) float64 {
	return float64(c.Running+c.Queued) / float64(max(c.Slots, 1))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
