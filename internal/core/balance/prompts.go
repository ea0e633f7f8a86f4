package balance

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// maxPrompts limits the prompts that a router remembers, and promptTTL the
	// time since their last use: engines evict the least recently used prompts.
	maxPrompts = 50_000
	promptTTL  = 60 * time.Second
	// maxHoldersPerPrompt limits the engines remembered per prompt. In a large
	// fleet a hot prompt needs several.
	maxHoldersPerPrompt = 16
	// announceInterval is the time after which a placement that is still in use
	// is announced again, well below promptTTL.
	announceInterval = 10 * time.Second
	// maxPendingPlacements limits the placements announced in one digest, and
	// maxListedPlacements those sent to a router that starts.
	maxPendingPlacements = 1024
	maxListedPlacements  = 4096
)

// Placement records that a prompt, identified by the hash of a shared prefix, was
// sent to a target or reported by it as cached.
type Placement struct {
	Prompt uint64
	Target fleet.Ref
}

// promptTable remembers which engines have which prompt prefixes in cache, and
// queues placements for the next digest.
type promptTable struct {
	holders *simplelru.LRU[uint64, []holder]
	pending []Placement
}

// holder is an engine that has a prompt in cache. announcedAt is the time at which
// the placement was last sent or received in a digest.
type holder struct {
	target      fleet.Ref
	lastUsed    time.Time
	announcedAt time.Time
}

func newPromptTable() *promptTable {
	lru, err := simplelru.NewLRU[uint64, []holder](maxPrompts, nil)
	if err != nil {
		panic(err) // only a size below one is an error
	}
	return &promptTable{holders: lru}
}

// has reports whether a target has a prompt in cache.
func (p *promptTable) has(now time.Time, prompt uint64, id fleet.Ref) bool {
	holders, _ := p.holders.Get(prompt)
	for _, h := range holders {
		if h.target == id {
			return now.Sub(h.lastUsed) < promptTTL
		}
	}
	return false
}

// hasAnyHolder reports whether any target has a prompt in cache.
func (p *promptTable) hasAnyHolder(now time.Time, prompt uint64) bool {
	holders, _ := p.holders.Get(prompt)
	return slices.ContainsFunc(holders, func(h holder) bool { return now.Sub(h.lastUsed) < promptTTL })
}

// sources returns the targets that have a longer prefix of the prompt in cache
// than the target id. Only those with the longest one are returned, the most
// recently used first.
func (p *promptTable) sources(now time.Time, prefixes []uint64, id fleet.Ref) []fleet.Ref {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if p.has(now, prefixes[i], id) {
			return nil
		}
		holders, _ := p.holders.Get(prefixes[i])
		recent := slices.Clone(holders)
		slices.SortFunc(recent, func(a, b holder) int { return b.lastUsed.Compare(a.lastUsed) })
		var out []fleet.Ref
		for _, h := range recent {
			if now.Sub(h.lastUsed) < promptTTL {
				out = append(out, h.target)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// touch records a use of a prompt at a target. If the prompt has too many holders,
// the least recently used one is replaced.
func (p *promptTable) touch(now time.Time, prompt uint64, id fleet.Ref) *holder {
	holders, _ := p.holders.Get(prompt)
	oldest := 0
	for i := range holders {
		if holders[i].target == id {
			holders[i].lastUsed = now
			return &holders[i]
		}
		if holders[i].lastUsed.Before(holders[oldest].lastUsed) {
			oldest = i
		}
	}
	if len(holders) >= maxHoldersPerPrompt {
		holders[oldest] = holder{target: id, lastUsed: now}
		return &holders[oldest]
	}
	holders = append(holders, holder{target: id, lastUsed: now})
	p.holders.Add(prompt, holders)
	return &holders[len(holders)-1]
}

// recordUse records a use by this router and queues it for the next digest, unless
// it was announced less than announceInterval ago.
func (p *promptTable) recordUse(now time.Time, prompt uint64, id fleet.Ref) {
	h := p.touch(now, prompt, id)
	if now.Sub(h.announcedAt) >= announceInterval {
		p.enqueue(now, prompt, h)
	}
}

// enqueue queues a placement for the next digest, unless the queue is full.
func (p *promptTable) enqueue(now time.Time, prompt uint64, h *holder) {
	if len(p.pending) >= maxPendingPlacements {
		return
	}
	h.announcedAt = now
	p.pending = append(p.pending, Placement{Prompt: prompt, Target: h.target})
}

// invalidateTarget marks everything at a target that has lost its cache as
// expired.
func (p *promptTable) invalidateTarget(id fleet.Ref) {
	for _, prompt := range p.holders.Keys() {
		holders, _ := p.holders.Peek(prompt)
		for i := range holders {
			if holders[i].target == id {
				holders[i].lastUsed = time.Time{}
			}
		}
	}
}

// TakePlacements returns the placements queued since the last call.
func (b *Balancer) TakePlacements() []Placement {
	out := b.prompts.pending
	b.prompts.pending = nil
	return out
}

// AddPlacements records placements announced by another router.
func (b *Balancer) AddPlacements(now time.Time, placements []Placement) {
	for _, p := range placements {
		b.prompts.touch(now, p.Prompt, p.Target).announcedAt = now
	}
}

// HasPrompts reports whether any prompt is known to be cached at a target.
func (b *Balancer) HasPrompts(target fleet.Target) bool {
	id := target.Ref()
	for _, prompt := range b.prompts.holders.Keys() {
		holders, _ := b.prompts.holders.Peek(prompt)
		for _, h := range holders {
			if h.target == id && !h.lastUsed.IsZero() {
				return true
			}
		}
	}
	return false
}

// AddCached records the prompts that a target reports as cached and queues all of
// them for the other routers, including those announced recently.
func (b *Balancer) AddCached(now time.Time, target fleet.Target, cached []uint64) {
	id := target.Ref()
	for _, prompt := range cached {
		b.prompts.enqueue(now, prompt, b.prompts.touch(now, prompt, id))
	}
}

// Placements returns the known placements, the most recently used prompts first,
// and at most maxListedPlacements.
func (b *Balancer) Placements(now time.Time) []Placement {
	var out []Placement
	keys := b.prompts.holders.Keys()
	slices.Reverse(keys)
	for _, prompt := range keys {
		holders, _ := b.prompts.holders.Peek(prompt)
		for _, h := range holders {
			if now.Sub(h.lastUsed) < promptTTL && len(out) < maxListedPlacements {
				out = append(out, Placement{Prompt: prompt, Target: h.target})
			}
		}
	}
	return out
}
