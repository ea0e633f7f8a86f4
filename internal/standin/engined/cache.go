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

	// chains holds the newest prompt of each cache key and last the key of
	// the block that ends it.
	chains  map[string][]Block
	last    map[uint64]string
	evicted func(key string)
}

func newPrefixCache(capacity int, evicted func(key string)) *prefixCache {
	blocks, err := simplelru.NewLRU[uint64, int](maxBlocks, nil)
	if err != nil {
		panic(err) // only a size below one is an error
	}
	return &prefixCache{
		blocks:   blocks,
		capacity: capacity,
		chains:   make(map[string][]Block),
		last:     make(map[uint64]string),
		evicted:  evicted,
	}
}

// use looks a prompt up, adds it, and returns the tokens of its longest
// cached prefix.
func (c *prefixCache) use(key string, prompt []Block) (cached int) {
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
	c.name(key, prompt)
	c.shrink()
	return cached
}

// name notes the prompt as the newest one of its key.
func (c *prefixCache) name(key string, prompt []Block) {
	if key == "" || len(prompt) == 0 {
		return
	}
	if old := c.chains[key]; len(old) > 0 {
		delete(c.last, old[len(old)-1].Hash)
	}
	c.chains[key] = prompt
	c.last[prompt[len(prompt)-1].Hash] = key
}

func (c *prefixCache) shrink() {
	for c.tokens > c.capacity {
		hash, tokens, ok := c.blocks.RemoveOldest()
		if !ok {
			return
		}
		c.tokens -= tokens
		if key, ok := c.last[hash]; ok {
			delete(c.last, hash)
			delete(c.chains, key)
			c.evicted(key)
		}
	}
}
