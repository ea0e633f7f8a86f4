package placement

import (
	"cmp"
	"math"
	"slices"
)

// PrefixSpread is the number of targets over which the chats that share a prompt
// prefix are spread. Each target that serves such a chat computes the prefix once.
const PrefixSpread = 4

// Bounded ranks targets by weighted rendezvous hash, so that a chat returns to the
// target that has its prompt in cache, and only the chats of a target that joins or
// leaves move. The prompt prefix that a chat shares with others ranks all targets,
// and the chat itself ranks the first PrefixSpread of these: a new chat finds the
// shared prefix in cache, and so does one that is redirected. The owners of the
// targets keep each load under a bound and remember where chats were redirected.
//
// A request without a chat or a known prefix goes to the target with the lowest
// load.
type Bounded struct{}

// Name returns the policy's name in the settings.
func (Bounded) Name() string { return DefaultPolicy }

// Rules enables the load bound and chat affinity.
func (Bounded) Rules() Rules { return Rules{Bounded: true, ChatAffinity: true, SpreadStep: 0.1} }

// Rank appends the candidates by descending score.
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
			scores[i] = -loadPerSlot(c)
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

// sortByScore sorts positions by descending score, with candidates that are not
// ready last. Equal scores are ordered by hash.
func sortByScore(candidates []Candidate, scores []float64, positions []int) {
	slices.SortFunc(positions, func(a, b int) int {
		return cmp.Or(
			compareBool(candidates[b].Ready, candidates[a].Ready),
			cmp.Compare(scores[b], scores[a]),
			cmp.Compare(candidates[a].Hash, candidates[b].Hash),
		)
	})
}

// Score returns the weighted rendezvous score of a key at a target. Over all keys,
// a target scores highest for a share equal to its share of the weights.
func Score(key, target uint64, weight int) float64 {
	// h mixes the bits of both hashes, and uniform is its upper part in (0, 1).
	h := (key ^ target) * 0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	uniform := (float64(h>>11) + 0.5) / (1 << 53)
	return -float64(weight) / math.Log(uniform)
}

// loadPerSlot returns the requests that run at a target or wait at its owner, per
// slot.
func loadPerSlot(c *Candidate) float64 {
	return float64(c.Running+c.Queued) / float64(max(c.Slots, 1))
}

// compareBool orders false before true.
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
