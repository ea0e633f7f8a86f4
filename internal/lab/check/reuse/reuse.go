// Package reuse measures how many prompt tokens engines found in their caches,
// and how many an oracle would have found.
package reuse

import (
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

// Unlimited returns the share that one engine with the caches of all together
// would have found, had it run every request of the history in the order of
// their intended starts. No placement on separate engines can do better.
func Unlimited(h *history.History, cacheTokens int) float64 {
	requests := slices.Clone(h.Requests)
	slices.SortStableFunc(requests, func(a, b history.Request) int { return a.Intended.Compare(b.Intended) })
	c := newCache(cacheTokens)
	cached, prompt := 0, 0
	for i := range requests {
		cached += c.use(requests[i].Prompt)
		prompt += tokens(requests[i].Prompt)
		c.add(requests[i].Reply)
	}
	if prompt == 0 {
		return 0
	}
	return float64(cached) / float64(prompt)
}

func tokens(prompt []history.Block) int {
	total := 0
	for _, b := range prompt {
		total += b.Tokens
	}
	return total
}

// cache holds blocks of prompts, the least recently used leave first.
type cache struct {
	blocks   *simplelru.LRU[uint64, int]
	held     int
	capacity int
}

// maxBlocks is above the number of blocks that a cache holds.
const maxBlocks = 1 << 24

func newCache(capacity int) *cache {
	blocks, err := simplelru.NewLRU[uint64, int](maxBlocks, nil)
	if err != nil {
		panic(err) // only a size below one is an error
	}
	return &cache{blocks: blocks, capacity: capacity}
}

// find returns the tokens of the longest cached prefix.
func (c *cache) find(prompt []history.Block) int {
	cached := 0
	for _, b := range prompt {
		if !c.blocks.Contains(b.Hash) {
			break
		}
		cached += b.Tokens
	}
	return cached
}

// use finds a prompt's prefix and then holds all of the prompt.
func (c *cache) use(prompt []history.Block) int {
	cached := c.find(prompt)
	for _, b := range prompt {
		c.add(b)
	}
	return cached
}

func (c *cache) add(b history.Block) {
	if _, ok := c.blocks.Get(b.Hash); ok || b.Tokens == 0 {
		return
	}
	c.blocks.Add(b.Hash, b.Tokens)
	c.held += b.Tokens
	for c.held > c.capacity {
		_, gone, ok := c.blocks.RemoveOldest()
		if !ok {
			return
		}
		c.held -= gone
	}
}
