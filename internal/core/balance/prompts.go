package balance

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// promptLimit bounds the prompts that a router remembers, and promptTTL the
	// time since their last use: engines drop what was not used for longest.
	promptLimit = 50_000
	promptTTL   = 60 * time.Second
	// holderLimit bounds the engines remembered for one prompt; a hot one needs
	// some in a large fleet.
	holderLimit = 16
	// tellPeriod is the time after which a placement that is still used is told
	// again, well below promptTTL.
	tellPeriod = 10 * time.Second
	// newsLimit bounds the placements told in one digest, and listLimit those
	// told to a router that starts.
	newsLimit = 1024
	listLimit = 4096
)

// Placement tells that a prompt's shared parts were sent to a target.
type Placement struct {
	Prompt uint64
	Target fleet.Ref
}

// prompts remembers which engines have which shared parts of prompts.
type prompts struct {
	holders *simplelru.LRU[uint64, []holder]
	news    []Placement
}

type holder struct {
	target fleet.Ref
	used   time.Time
	told   time.Time
}

func newPrompts() *prompts {
	lru, err := simplelru.NewLRU[uint64, []holder](promptLimit, nil)
	if err != nil {
		panic(err) // only a size below one is an error
	}
	return &prompts{holders: lru}
}

func (p *prompts) has(now time.Time, prompt uint64, id fleet.Ref) bool {
	held, _ := p.holders.Get(prompt)
	for _, h := range held {
		if h.target == id {
			return now.Sub(h.used) < promptTTL
		}
	}
	return false
}

// known reports whether any target has a prompt.
func (p *prompts) known(now time.Time, prompt uint64) bool {
	held, _ := p.holders.Get(prompt)
	return slices.ContainsFunc(held, func(h holder) bool { return now.Sub(h.used) < promptTTL })
}

// sources returns the targets that have more of a prompt than id has, those
// that have most of it first, and of these the one that used it last.
func (p *prompts) sources(now time.Time, parts []uint64, id fleet.Ref) []fleet.Ref {
	for i := len(parts) - 1; i >= 0; i-- {
		if p.has(now, parts[i], id) {
			return nil
		}
		held, _ := p.holders.Get(parts[i])
		recent := slices.Clone(held)
		slices.SortFunc(recent, func(a, b holder) int { return b.used.Compare(a.used) })
		var out []fleet.Ref
		for _, h := range recent {
			if now.Sub(h.used) < promptTTL {
				out = append(out, h.target)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// put notes a use; the engine that was used least recently yields.
func (p *prompts) put(now time.Time, prompt uint64, id fleet.Ref) *holder {
	held, _ := p.holders.Get(prompt)
	oldest := 0
	for i := range held {
		if held[i].target == id {
			held[i].used = now
			return &held[i]
		}
		if held[i].used.Before(held[oldest].used) {
			oldest = i
		}
	}
	if len(held) >= holderLimit {
		held[oldest] = holder{target: id, used: now}
		return &held[oldest]
	}
	held = append(held, holder{target: id, used: now})
	p.holders.Add(prompt, held)
	return &held[len(held)-1]
}

// place notes this router's own use and queues it for the next digest, unless
// it was told lately.
func (p *prompts) place(now time.Time, prompt uint64, id fleet.Ref) {
	h := p.put(now, prompt, id)
	if now.Sub(h.told) >= tellPeriod {
		p.tell(now, prompt, h)
	}
}

// tell queues a placement for the next digest.
func (p *prompts) tell(now time.Time, prompt uint64, h *holder) {
	if len(p.news) >= newsLimit {
		return
	}
	h.told = now
	p.news = append(p.news, Placement{Prompt: prompt, Target: h.target})
}

// forget drops a target that has lost its cache.
func (p *prompts) forget(id fleet.Ref) {
	for _, prompt := range p.holders.Keys() {
		held, _ := p.holders.Peek(prompt)
		for i := range held {
			if held[i].target == id {
				held[i].used = time.Time{}
			}
		}
	}
}

// TakePlacements returns the placements since the last call.
func (b *Balancer) TakePlacements() []Placement {
	out := b.prompts.news
	b.prompts.news = nil
	return out
}

// AddPlacements takes placements that another router told.
func (b *Balancer) AddPlacements(now time.Time, news []Placement) {
	for _, n := range news {
		b.prompts.put(now, n.Prompt, n.Target).told = now
	}
}

// HasPrompts reports whether any prompt is known to be at a target.
func (b *Balancer) HasPrompts(target fleet.Target) bool {
	id := target.Ref()
	for _, prompt := range b.prompts.holders.Keys() {
		held, _ := b.prompts.holders.Peek(prompt)
		for _, h := range held {
			if h.target == id && !h.used.IsZero() {
				return true
			}
		}
	}
	return false
}

// AddCached takes what a target says of its cache, and queues it for the other
// routers, also what they were told lately.
func (b *Balancer) AddCached(now time.Time, target fleet.Target, cached []uint64) {
	id := target.Ref()
	for _, prompt := range cached {
		b.prompts.tell(now, prompt, b.prompts.put(now, prompt, id))
	}
}

// Placements returns what is known of all caches, the prompts used last first.
func (b *Balancer) Placements(now time.Time) []Placement {
	var out []Placement
	keys := b.prompts.holders.Keys()
	slices.Reverse(keys)
	for _, prompt := range keys {
		held, _ := b.prompts.holders.Peek(prompt)
		for _, h := range held {
			if now.Sub(h.used) < promptTTL && len(out) < listLimit {
				out = append(out, Placement{Prompt: prompt, Target: h.target})
			}
		}
	}
	return out
}
