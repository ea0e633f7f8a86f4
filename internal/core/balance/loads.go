package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// peerLoadsTTL is how long the loads reported by a router count. Digests arrive
// several times a second; the requests of a router that sends none have usually
// ended with it.
const peerLoadsTTL = 2 * time.Second

// Load is the number of requests that run at a target.
type Load = loadtable.Load

// loadTracker adds up the requests of all routers at each target.
type loadTracker struct {
	local map[fleet.Ref]int
	// localSent is a copy of local at the time of the last digest.
	localSent map[fleet.Ref]int
	peers     map[fleet.VM]peerLoads
	// peerTotal adds up the loads in peers. hasTotal is set while it covers all
	// routers, including this one.
	peerTotal map[fleet.Ref]int
	hasTotal  bool
}

// peerLoads holds the loads of one digest. isTotal is set if they are those of
// all routers.
type peerLoads struct {
	receivedAt time.Time
	isTotal    bool
	loads      []Load
}

func newLoadTracker() *loadTracker {
	return &loadTracker{
		local:     make(map[fleet.Ref]int),
		localSent: make(map[fleet.Ref]int),
		peers:     make(map[fleet.VM]peerLoads),
		peerTotal: make(map[fleet.Ref]int),
	}
}

func (l *loadTracker) start(id fleet.Ref) { l.local[id]++ }

func (l *loadTracker) end(id fleet.Ref) {
	if l.local[id] <= 1 {
		delete(l.local, id)
		return
	}
	l.local[id]--
}

// load returns the known load of a target. From a total, the part that this
// router reported itself is subtracted and its current load is added.
func (l *loadTracker) load(id fleet.Ref) float64 {
	others := l.peerTotal[id]
	if l.hasTotal {
		others = max(others-l.localSent[id], 0)
	}
	return float64(l.local[id] + others)
}

// setPeer replaces the loads reported by a router.
func (l *loadTracker) setPeer(from fleet.VM, r peerLoads) {
	l.removePeer(from)
	l.peers[from] = r
	l.hasTotal = l.hasTotal || r.isTotal
	for _, load := range r.loads {
		l.peerTotal[load.Target] += int(load.Running)
	}
}

// removePeer discards the loads reported by a router.
func (l *loadTracker) removePeer(vm fleet.VM) {
	r, ok := l.peers[vm]
	if !ok {
		return
	}
	delete(l.peers, vm)
	if r.isTotal {
		l.hasTotal = false
	}
	for _, load := range r.loads {
		if l.peerTotal[load.Target] -= int(load.Running); l.peerTotal[load.Target] <= 0 {
			delete(l.peerTotal, load.Target)
		}
	}
}

// expire discards the loads of routers that have sent no digest for peerLoadsTTL.
func (l *loadTracker) expire(now time.Time) {
	for vm, r := range l.peers {
		if now.Sub(r.receivedAt) >= peerLoadsTTL {
			l.removePeer(vm)
		}
	}
}

// Load returns the number of requests that are known to run at a target.
func (b *Balancer) Load(id fleet.Ref) float64 { return b.loads.load(id) }

// LocalLoad returns the number of requests of this router at a target.
func (b *Balancer) LocalLoad(id fleet.Ref) float64 { return float64(b.loads.local[id]) }

// LocalLoads returns the load that this router puts on each target, for its next
// digest, and remembers it as reported. It also discards expired loads of other
// routers.
func (b *Balancer) LocalLoads(now time.Time) []Load {
	b.loads.expire(now)
	b.loads.localSent = maps.Clone(b.loads.local)
	return sortedLoads(b.loads.local)
}

// sortedLoads lists loads by target.
func sortedLoads(running map[fleet.Ref]int) []Load {
	out := make([]Load, 0, len(running))
	for id, n := range running {
		out = append(out, Load{Target: id, Running: uint32(n)})
	}
	slices.SortFunc(out, func(a, b Load) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// TotalLoads returns the loads of this router plus those reported by the given
// routers. Routers that reported a total are left out.
func (b *Balancer) TotalLoads(peers []fleet.VM) []Load {
	total := maps.Clone(b.loads.local)
	for _, vm := range peers {
		r := b.loads.peers[vm]
		if r.isTotal {
			continue
		}
		for _, load := range r.loads {
			total[load.Target] += int(load.Running)
		}
	}
	return sortedLoads(total)
}

// SetPeerLoads replaces the loads that another router reported as its own.
func (b *Balancer) SetPeerLoads(now time.Time, from fleet.VM, loads []Load) {
	b.loads.setPeer(from, peerLoads{receivedAt: now, loads: loads})
}

// SetTotalLoads takes the loads of all routers, as reported by a hub. They replace
// everything that was reported before.
func (b *Balancer) SetTotalLoads(now time.Time, from fleet.VM, loads []Load) {
	for vm := range b.loads.peers {
		b.loads.removePeer(vm)
	}
	b.loads.setPeer(from, peerLoads{receivedAt: now, isTotal: true, loads: loads})
}

// sortDescending sorts positions by score, the highest first.
func sortDescending(order []int, scores []float64) {
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
}
