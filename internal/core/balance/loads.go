package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// remoteTTL is how long another router's figures count. Digests come several
// times a second; a router that falls silent has usually lost its requests.
const remoteTTL = 2 * time.Second

// Load is the work that runs at a target.
type Load = loadtable.Load

// loads adds up the work of all routers at each target.
type loads struct {
	own map[fleet.Ref]int
	// told is the own work at the time of the last digest.
	told   map[fleet.Ref]int
	remote map[fleet.VM]remoteLoads
	// others is the total of remote, and summed is set while it covers all
	// routers, this one included.
	others map[fleet.Ref]int
	summed bool
}

// remoteLoads is what one digest told.
type remoteLoads struct {
	at      time.Time
	sum     bool
	running []Load
}

func newLoads() *loads {
	return &loads{
		own:    make(map[fleet.Ref]int),
		told:   make(map[fleet.Ref]int),
		remote: make(map[fleet.VM]remoteLoads),
		others: make(map[fleet.Ref]int),
	}
}

func (l *loads) start(id fleet.Ref) { l.own[id]++ }

func (l *loads) end(id fleet.Ref) {
	if l.own[id] <= 1 {
		delete(l.own, id)
		return
	}
	l.own[id]--
}

// of returns the known load of a target.
func (l *loads) of(id fleet.Ref) float64 {
	others := l.others[id]
	if l.summed {
		others = max(others-l.told[id], 0)
	}
	return float64(l.own[id] + others)
}

// put replaces what a router told.
func (l *loads) put(from fleet.VM, r remoteLoads) {
	l.drop(from)
	l.remote[from] = r
	l.summed = l.summed || r.sum
	for _, one := range r.running {
		l.others[one.Target] += int(one.Running)
	}
}

// drop forgets what a router told.
func (l *loads) drop(vm fleet.VM) {
	r, ok := l.remote[vm]
	if !ok {
		return
	}
	delete(l.remote, vm)
	if r.sum {
		l.summed = false
	}
	for _, one := range r.running {
		if l.others[one.Target] -= int(one.Running); l.others[one.Target] <= 0 {
			delete(l.others, one.Target)
		}
	}
}

// expire forgets routers that have fallen silent.
func (l *loads) expire(now time.Time) {
	for vm, r := range l.remote {
		if now.Sub(r.at) >= remoteTTL {
			l.drop(vm)
		}
	}
}

// LocalLoads returns this router's work at each target, to tell it to others.
func (b *Balancer) LocalLoads(now time.Time) []Load {
	b.loads.expire(now)
	b.loads.told = maps.Clone(b.loads.own)
	return list(b.loads.own)
}

func list(running map[fleet.Ref]int) []Load {
	out := make([]Load, 0, len(running))
	for id, n := range running {
		out = append(out, Load{Target: id, Running: uint32(n)})
	}
	slices.SortFunc(out, func(a, b Load) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// TotalLoads returns this router's work and that which some others told.
func (b *Balancer) TotalLoads(of []fleet.VM) []Load {
	total := maps.Clone(b.loads.own)
	for _, vm := range of {
		r := b.loads.remote[vm]
		if r.sum {
			continue
		}
		for _, one := range r.running {
			total[one.Target] += int(one.Running)
		}
	}
	return list(total)
}

// SetPeerLoads takes another router's work at each target.
func (b *Balancer) SetPeerLoads(now time.Time, from fleet.VM, running []Load) {
	b.loads.put(from, remoteLoads{at: now, running: running})
}

// SetTotalLoads takes the work of all routers at each target. It takes the place of
// all that was heard.
func (b *Balancer) SetTotalLoads(now time.Time, from fleet.VM, running []Load) {
	for vm := range b.loads.remote {
		b.loads.drop(vm)
	}
	b.loads.put(from, remoteLoads{at: now, sum: true, running: running})
}

// sortDescending sorts positions by score, the highest first.
func sortDescending(order []int, scores []float64) {
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
}
