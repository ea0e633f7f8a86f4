package placement

import (
	"cmp"
	"math"
	"slices"
)

// PrefixSpread is the number of targets over which the chats of one prompt
// prefix spread. A prefix is computed once on each target that sees it.
const PrefixSpread = 4

// Bounded ranks by weighted rendezvous hash, so that a chat returns to the
// target that has its prompt in cache, and only the chats of a target that
// joins or leaves move. The prompt prefix that a chat shares with others ranks
// all targets, and the chat itself ranks the first few of these: a new chat
// finds the shared prefix in cache, and so does one that is sent on. Owners
// keep the load of each target under the bound and remember where chats went.
//
// A request without a chat or a known prefix goes to the target with the
// lowest load.
type Bounded struct{}

// Name returns the policy's name.
func (Bounded) Name() string { return DefaultPolicy }

// Rules tells that the load is bounded and spilled chats are remembered.
func (Bounded) Rules() Rules { return Rules{Bounded: true, ChatAffinity: true, SpreadStep: 0.1} }

// Rank appends the candidates by score.
func (Bounded) Rank(r *Request, candidates []Candidate, out []int) []int {
	first := len(out)
	scores := make([]float64, len(candidates))
	key, sticky := r.Key()
	if r.Prefix != 0 {
		key = r.Prefix
	}
	for i := range candidates {
		c := &candidates[i]
		if sticky {
			scores[i] = Score(key, c.Hash, c.Capacity)
		} else {
			scores[i] = -load(c)
		}
		out = append(out, i)
	}
	sortByScore(candidates, scores, out[first:])
	if r.Prefix != 0 && r.Chat != 0 {
		spread := out[first:min(first+PrefixSpread, len(out))]
		for _, i := range spread {
			scores[i] = Score(r.Chat, candidates[i].Hash, candidates[i].Capacity)
		}
		sortByScore(candidates, scores, spread)
	}
	return out
}

// sortByScore sorts positions: targets that are ready first, the highest score
// first.
func sortByScore(candidates []Candidate, scores []float64, positions []int) {
	slices.SortFunc(positions, func(a, b int) int {
		return cmp.Or(
			compareBool(candidates[b].Ready, candidates[a].Ready),
			cmp.Compare(scores[b], scores[a]),
			cmp.Compare(candidates[a].Hash, candidates[b].Hash),
		)
	})
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
