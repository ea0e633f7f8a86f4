package slotqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// askShare of the slots has to be known to be in use for routers to ask. It is low: loads
	// are known late, clumps arrive unannounced, and only the grantor learns of the failures
	// of a target before each router has met one. In the replay with faults, 66 requests of
	// 7,632 fail at 0, 80 at 0.05, 118 at 0.2 and 328 at 0.3.
	askShare = 0.05
	// askFor is how long a router asks after the load was last above askShare, or a request
	// waited, failed or was turned away.
	askFor = 5 * time.Second
	// minSilence is how long a router that did not answer is not asked. It doubles with each
	// further failure up to maxSilence. A router of an earlier release is not asked for
	// unsupportedSilence.
	minSilence         = 500 * time.Millisecond
	maxSilence         = 8 * time.Second
	unsupportedSilence = 10 * time.Second
	// strongShare of the weight of the strongest router is what a grantor needs: each request
	// of the service costs it two messages.
	strongShare = 0.5
	weightUnit  = 1000
)

// Router is a router that may grant slots. Weight is its computing capacity in cores, zero if it
// is unknown.
type Router struct {
	VM     fleet.VM
	Weight float64
}

// RankGrantors returns the routers that may grant the slots of a service, the grantor first:
// the strong ones by weighted rendezvous hashing.
func RankGrantors(service fleet.Service, routers []Router) []fleet.VM {
	strongest := 0.0
	for _, r := range routers {
		strongest = max(strongest, r.Weight)
	}
	type ranked struct {
		vm    fleet.VM
		score float64
	}
	key, order := xxhash.Sum64String(string(service)), make([]ranked, 0, len(routers))
	for _, r := range routers {
		if r.Weight > 0 && r.Weight < strongShare*strongest {
			continue
		}
		weight := r.Weight
		if weight <= 0 {
			weight = max(strongest, 1)
		}
		score := placement.Score(key, xxhash.Sum64String(string(r.VM)), max(int(weight*weightUnit), 1))
		order = append(order, ranked{vm: r.VM, score: score})
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm, b.vm)) })
	out := make([]fleet.VM, len(order))
	for i, r := range order {
		out[i] = r.vm
	}
	return out
}

// Asker decides at the router of a request whether to ask for a slot, and whom. It is not safe
// for concurrent use.
type Asker struct {
	askUntil map[fleet.Service]time.Time
	silent   map[fleet.VM]silence
}

// silence is how long a router is not asked.
type silence struct {
	until time.Time
	last  time.Duration
}

// NewAsker returns an Asker that has asked nobody.
func NewAsker() *Asker {
	return &Asker{askUntil: make(map[fleet.Service]time.Time), silent: make(map[fleet.VM]silence)}
}

// Asks reports whether requests of a service ask for a slot, given the known load of its
// targets in relation to their slots.
func (a *Asker) Asks(now time.Time, service fleet.Service, load float64) bool {
	if load >= askShare {
		a.Contended(now, service)
	}
	return now.Before(a.askUntil[service])
}

// Contended records that requests of a service compete for slots.
func (a *Asker) Contended(now time.Time, service fleet.Service) {
	a.askUntil[service] = now.Add(askFor)
}

// Grantor returns the first of the ranked routers that answers, empty if there is none.
func (a *Asker) Grantor(now time.Time, ranked []fleet.VM) fleet.VM {
	for _, vm := range ranked {
		if !now.Before(a.silent[vm].until) {
			return vm
		}
	}
	return ""
}

// Answered records that a router answers.
func (a *Asker) Answered(vm fleet.VM) { delete(a.silent, vm) }

// Failed records that a router did not answer a question that was asked at a time, or that it
// does not know it. It returns false if that is known.
func (a *Asker) Failed(now, asked time.Time, vm fleet.VM, unsupported bool) bool {
	s := a.silent[vm]
	if asked.Before(s.until) {
		return false // it was asked before another question had failed
	}
	s.last = min(max(2*s.last, minSilence), maxSilence)
	if unsupported {
		s.last = unsupportedSilence
	}
	s.until = now.Add(s.last)
	a.silent[vm] = s
	return true
}
