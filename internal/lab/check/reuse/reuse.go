// Package reuse measures how many prompt tokens engines found in their caches,
// and how many an oracle would have found.
package reuse

import (
	"cmp"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/zinniafork/zinniafork/internal/lab/history"
)

// Measure returns the share of prompt tokens that engines found in cache.
func Measure(h *history.History) float64 {
	cached, prompt := 0, 0
	for _, r := range h.EngineRuns {
		if r.Refused {
			continue
		}
		cached += r.CachedTokens
		prompt += r.PromptTokens
	}
	if prompt == 0 {
		return 0
	}
	return float64(cached) / float64(prompt)
}

// maxBlocks is above the number of blocks that an oracle holds.
const maxBlocks = 1 << 24

// Oracle returns the share that one engine with the caches of all together
// would have found, had it run every request of the history in the order of
// their intended starts. No placement on separate engines can do better.
func Oracle(h *history.History, cacheTokens int) float64 {
	requests := slices.Clone(h.Requests)
	slices.SortStableFunc(requests, func(a, b history.Request) int {
		return cmp.Compare(a.Intended.UnixNano(), b.Intended.UnixNano())
	})
	cache, err := simplelru.NewLRU[uint64, int](maxBlocks, nil)
	if err != nil {
		panic(err) // only a size below one is an error
	}
	held, cached, prompt := 0, 0, 0
	for i := range requests {
		prefix := true
		for _, b := range requests[i].Prompt {
			prompt += b.Tokens
			if _, ok := cache.Get(b.Hash); !ok {
				prefix = false
				cache.Add(b.Hash, b.Tokens)
				held += b.Tokens
			}
			if prefix {
				cached += b.Tokens
			}
		}
		held -= evict(cache, held-cacheTokens)
		if answer := requests[i].Reply; answer.Tokens > 0 {
			cache.Add(answer.Hash, answer.Tokens)
			held += answer.Tokens
		}
	}
	if prompt == 0 {
		return 0
	}
	return float64(cached) / float64(prompt)
}

// evict drops the least recently used blocks until excess tokens are gone.
func evict(cache *simplelru.LRU[uint64, int], excess int) int {
	gone := 0
	for gone < excess {
		_, tokens, ok := cache.RemoveOldest()
		if !ok {
			return gone
		}
		gone += tokens
	}
	return gone
}
