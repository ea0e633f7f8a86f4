package engined

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxBlocks is above the number of blocks that any cache holds; the tokens
// limit it.
const maxBlocks = 1 << 20

// prefixCache holds blocks of prompts, the least recently used leave first.
type prefixCache struct {
	blocks   *simplelru.LRU[uint64, int]
	tokens   int
	capacity int
}

func newPrefixCache(capacity int) *prefixCache {
	blocks, err := simplelru.NewLRU[uint64, int](maxBlocks, nil)
	if err != nil {
		panic(err) // only a size below one is an error
	}
	return &prefixCache{blocks: blocks, capacity: capacity}
}

// use looks a prompt up, adds it, and returns the tokens of its longest
// cached prefix.
func (c *prefixCache) use(prompt []Block) (cached int) {
	prefix := true
	for _, b := range prompt {
		if _, ok := c.blocks.Get(b.Hash); !ok {
			prefix = false
			c.blocks.Add(b.Hash, b.Tokens)
			c.tokens += b.Tokens
		}
		if prefix {
			cached += b.Tokens
		}
	}
	for c.tokens > c.capacity {
		_, tokens, ok := c.blocks.RemoveOldest()
		if !ok {
			break
		}
		c.tokens -= tokens
	}
	return cached
}
