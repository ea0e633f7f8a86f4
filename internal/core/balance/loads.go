package balance

import (
	"cmp"
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
	targets map[fleet.Ref]*targetLoad
	peers   map[fleet.VM]peerLoads
	// hasTotal is set while peers covers all routers, including this one.
	hasTotal bool
}

// targetLoad is the load of one target.
type targetLoad struct {
	// local is the number of requests of this router, and localSent a copy of it at the
	// time of the last digest. peers is the sum of the loads reported by others.
	local, localSent, peers int
	// The work that remains of these requests. Of peers, unknown requests came without it.
	localMS, localSentMS, peersMS float64
	unknown                       int
}

// peerLoads holds the loads of one digest. isTotal is set if they are those of
// all routers.
type peerLoads struct {
	receivedAt time.Time
	isTotal    bool
	loads      []Load
}

func newLoadTracker() *loadTracker {
	return &loadTracker{targets: make(map[fleet.Ref]*targetLoad), peers: make(map[fleet.VM]peerLoads)}
}

// target returns the load of a target to change.
func (l *loadTracker) target(id fleet.Ref) *targetLoad {
	t, ok := l.targets[id]
	if !ok {
		t = new(targetLoad)
		l.targets[id] = t
	}
	return t
}

// tidy removes a target without load, and what rounding left of its work.
func (l *loadTracker) tidy(id fleet.Ref, t *targetLoad) {
	if t.local <= 0 {
		t.local, t.localMS = 0, 0
	}
	if t.peers <= 0 {
		t.peers, t.peersMS, t.unknown = 0, 0, 0
	}
	if t.local == 0 && t.localSent == 0 && t.peers == 0 {
		delete(l.targets, id)
	}
}

func (l *loadTracker) start(id fleet.Ref) { l.target(id).local++ }

func (l *loadTracker) end(id fleet.Ref) {
	if t, ok := l.targets[id]; ok {
		t.local--
		l.tidy(id, t)
	}
}

// load returns the known load of a target. From a total, the part that this
// router reported itself is subtracted and its current load is added.
func (l *loadTracker) load(id fleet.Ref) float64 {
	t, ok := l.targets[id]
	if !ok {
		return 0
	}
	return float64(t.local + l.others(t))
}

// others returns the load that other routers put on a target.
func (l *loadTracker) others(t *targetLoad) int {
	if l.hasTotal {
		return max(t.peers-t.localSent, 0)
	}
	return t.peers
}

// work returns the load of a target and the work that remains of it. Of the requests,
// unknown came without work.
func (l *loadTracker) work(id fleet.Ref) (count, unknown, workMS float64) {
	t, ok := l.targets[id]
	if !ok {
		return 0, 0, 0
	}
	others := l.others(t)
	othersMS := t.peersMS
	if l.hasTotal {
		// A total without work covers the own requests too.
		othersMS = max(othersMS-t.localSentMS, 0)
	}
	return float64(t.local + others), float64(min(t.unknown, others)), t.localMS + othersMS
}

// setPeer replaces the loads reported by a router.
func (l *loadTracker) setPeer(from fleet.VM, r peerLoads) {
	l.removePeer(from)
	l.peers[from] = r
	l.hasTotal = l.hasTotal || r.isTotal
	for _, load := range r.loads {
		l.target(load.Target).add(load, 1)
	}
}

// add adds a reported load, or removes it with a sign of -1.
func (t *targetLoad) add(load Load, sign int) {
	n := sign * int(load.Running)
	t.peers += n
	if load.WorkMS > 0 {
		t.peersMS += float64(sign) * float64(load.WorkMS)
	} else {
		t.unknown += n
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
		if t, known := l.targets[load.Target]; known {
			t.add(load, -1)
			l.tidy(load.Target, t)
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
func (b *Balancer) LocalLoad(id fleet.Ref) float64 {
	t, ok := b.loads.targets[id]
	if !ok {
		return 0
	}
	return float64(t.local)
}

// LocalLoads returns the load that this router puts on each target, for its next
// digest, and remembers it as reported. It also discards expired loads of other
// routers.
func (b *Balancer) LocalLoads(now time.Time) []Load {
	b.loads.expire(now)
	for id, t := range b.loads.targets {
		t.localSent, t.localSentMS = t.local, t.localMS
		b.loads.tidy(id, t)
	}
	return sortedLoads(b.loads.local())
}

// local returns the load that this router puts on each target.
func (l *loadTracker) local() map[fleet.Ref]Load {
	out := make(map[fleet.Ref]Load, len(l.targets))
	for id, t := range l.targets {
		if t.local > 0 {
			out[id] = Load{Target: id, Running: uint32(t.local), WorkMS: float32(t.localMS)}
		}
	}
	return out
}

// sortedLoads lists loads by target.
func sortedLoads(loads map[fleet.Ref]Load) []Load {
	out := make([]Load, 0, len(loads))
	for _, load := range loads {
		out = append(out, load)
	}
	slices.SortFunc(out, func(a, b Load) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// TotalLoads returns the loads of this router plus those reported by the given
// routers. Routers that reported a total are left out.
func (b *Balancer) TotalLoads(peers []fleet.VM) []Load {
	total := b.loads.local()
	for _, vm := range peers {
		r := b.loads.peers[vm]
		if r.isTotal {
			continue
		}
		for _, load := range r.loads {
			total[load.Target] = sum(total[load.Target], load)
		}
	}
	return sortedLoads(total)
}

// sum adds up two loads of a target. If the work of one is unknown, its requests count like
// those of the other.
func sum(a, b Load) Load {
	out := Load{Target: b.Target, Running: a.Running + b.Running, WorkMS: a.WorkMS + b.WorkMS}
	known := float32(0)
	for _, load := range []Load{a, b} {
		if load.WorkMS > 0 {
			known += float32(load.Running)
		}
	}
	if known > 0 {
		out.WorkMS *= float32(out.Running) / known
	}
	return out
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
