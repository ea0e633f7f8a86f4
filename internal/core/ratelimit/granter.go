package ratelimit

import (
	"strconv"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// burstTime is the time for which unused grants are kept, at least one of them.
	burstTime = 500 * time.Millisecond
	// minRate is the rate in requests a second at which requests are granted to targets
	// that name less, since only a response tells that a limit has ended.
	minRate = 0.25
	// deputyShare is the part of a limit that a router grants in place of another one
	// that it believes to be alive. Both together then stay within the one and a half
	// times that the platform allows.
	deputyShare = 0.5
	// minWait and maxWait bound the time until a router may ask again.
	minWait = 10 * time.Millisecond
	maxWait = 2 * time.Second
)

// Granter grants the requests of all routers to the targets that this router grants for.
// It is not safe for concurrent use.
type Granter struct {
	buckets map[Process]*bucket
}

// bucket holds the grants left for one process as of a time.
type bucket struct {
	left float64
	at   time.Time
}

// NewGranter returns a granter that has granted nothing.
func NewGranter() *Granter { return &Granter{buckets: make(map[Process]*bucket)} }

// Grant reports whether one request may be sent now to a process that takes perSecond
// requests a second, and otherwise after which time to ask again. With deputy set, only
// a part of the limit is granted. A granter starts with nothing to grant, as another
// router may have granted until now.
func (g *Granter) Grant(now time.Time, p Process, perSecond float64, deputy bool) (granted bool, wait time.Duration) {
	rate := max(perSecond, minRate)
	if deputy {
		rate *= deputyShare
	}
	b, ok := g.buckets[p]
	if !ok {
		b = &bucket{at: now}
		g.buckets[p] = b
	}
	b.left = min(b.left+rate*now.Sub(b.at).Seconds(), max(rate*burstTime.Seconds(), 1))
	b.at = now
	if b.left >= 1 {
		b.left--
		return true, 0
	}
	wait = time.Duration((1 - b.left) / rate * float64(time.Second))
	return false, min(max(wait, minWait), maxWait)
}

// Expire drops the state of processes that nobody has asked for in a while.
func (g *Granter) Expire(now time.Time) {
	for p, b := range g.buckets {
		if now.Sub(b.at) > MaxReportAge {
			delete(g.buckets, p)
		}
	}
}

// First returns the router that grants the requests to a target: the highest ranked of
// the routers that are usable, empty if there is none. Routers that know the same ones
// agree.
func First(target fleet.Ref, routers []fleet.VM, usable func(fleet.VM) bool) fleet.VM {
	hash := placement.HashTarget(fleet.Target(strconv.FormatUint(uint64(target), 10)))
	var first fleet.VM
	best := 0.0
	for _, vm := range routers {
		if !usable(vm) {
			continue
		}
		if score := placement.Score(hash, placement.HashTarget(fleet.Target(vm)), 1); first == "" || score > best {
			first, best = vm, score
		}
	}
	return first
}
