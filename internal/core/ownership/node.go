package ownership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Node is one router's part in the ownership of all resources: the holder of
// some and a voter of others. It is not safe for concurrent use.
type Node struct {
	params  Params
	self    fleet.VM
	process Process
	random  *rand.Rand

	view    View
	voter   *voter
	holders map[ID]*holder
	// order holds the IDs in the order of declaration, so that steps don't
	// depend on the order of a map.
	order []ID

	seq     uint64
	ticket  ConfirmationID
	sent    map[uint64]sentRequest
	pending map[fleet.VM][]Claim
	out     Actions
	// renewAt is the time of the next renewal of everything that is held.
	renewAt time.Time
	pruneAt time.Time
}

// sentRequest remembers a request until its reply may no longer come.
type sentRequest struct {
	to     fleet.VM
	at     time.Time
	claims []Claim
}

// NewNode returns a node that holds nothing. Now is the time at which the
// process started.
func NewNode(self fleet.VM, incarnation fleet.Incarnation, params Params, now time.Time, random *rand.Rand) *Node {
	return &Node{
		params:  params,
		self:    self,
		process: ProcessOf(incarnation),
		random:  random,
		voter:   newVoter(params, now),
		holders: make(map[ID]*holder),
		sent:    make(map[uint64]sentRequest),
		pending: make(map[fleet.VM][]Claim),
	}
}

// SetParams replaces the rules.
func (n *Node) SetParams(p Params) {
	n.params = p
	n.voter.params = p
}

// SetView takes a new view of the site.
func (n *Node) SetView(now time.Time, v View) Actions {
	keep := n.view.sameOrder(&v)
	n.view = v
	n.view.Index()
	n.place(now, keep)
	return n.Tick(now)
}

// place finds for each resource its ranking and voters, unless these are known
// not to have changed, and the router that should own it.
func (n *Node) place(now time.Time, keepRankings bool) {
	holders := make([]*holder, len(n.order))
	for i, id := range n.order {
		holders[i] = n.holders[id]
	}
	if !keepRankings {
		for _, h := range holders {
			h.rerank(&n.view)
		}
		balance(&n.view, holders)
	}
	preferred := prefer(&n.view, holders)
	for _, h := range holders {
		if n.view.HasList {
			n.setVoters(now, h, SelectVoters(&n.view, h.ranking, n.params.Voters))
		}
		h.rank = eligibleRank(&n.view, h.ranking, n.self)
		h.prefer(now, n.self, preferred[h.id])
	}
}

// SetResources replaces the resources that exist. One that is held and no
// longer exists is lost.
func (n *Node) SetResources(now time.Time, resources []Resource) Actions {
	keep := make(map[ID]bool, len(resources))
	changed := len(resources) != len(n.order)
	n.order = n.order[:0]
	for _, r := range resources {
		id := IDOf(r.Name)
		if keep[id] {
			continue
		}
		keep[id] = true
		n.order = append(n.order, id)
		h, ok := n.holders[id]
		if !ok {
			h = newHolder(r, now)
			n.holders[id] = h
		}
		changed = changed || !ok || h.resource != r
		h.resource = r
	}
	for id, h := range n.holders {
		if !keep[id] {
			n.lose(now, h)
			delete(n.holders, id)
		}
	}
	n.place(now, !changed)
	return n.Tick(now)
}

// setVoters takes the voters of a resource. A holder asks new ones at once.
func (n *Node) setVoters(now time.Time, h *holder, voters []fleet.VM) {
	lease := n.params.Lease
	if h.sets.setCurrent(voters, now.Add(lease/2), now.Add(n.params.VoterSetRetention)) {
		n.introduce(now, h, voters)
	}
}

// introduce asks voters that have granted nothing yet for a grant in the middle
// of a tenure.
func (n *Node) introduce(now time.Time, h *holder, voters []fleet.VM) {
	if h.phase != held {
		return
	}
	for _, vm := range voters {
		if _, ok := h.acks[vm]; !ok {
			n.claim(now, vm, h, ClaimAcquire)
		}
	}
}

// Holds reports whether this router holds an unlapsed lease.
func (n *Node) Holds(now time.Time, id ID) bool {
	h, ok := n.holders[id]
	return ok && h.holds(now, n.params)
}

// Term returns the number of this router's tenure, zero when it holds nothing.
func (n *Node) Term(id ID) uint64 {
	if h, ok := n.holders[id]; ok && h.phase == held {
		return h.term
	}
	return 0
}

// Owner returns the router that this one believes to own the resource: itself,
// the last one that it was told of, or else the candidate.
func (n *Node) Owner(now time.Time, id ID) (fleet.VM, bool) {
	h, ok := n.holders[id]
	switch {
	case !ok:
		return "", false
	case h.holds(now, n.params):
		return n.self, true
	case h.owner != "" && h.owner != n.self && n.believes(now, h):
		return h.owner, true
	}
	return h.preferred, h.preferred != ""
}

// ownerBelief is the number of lease times for which word of an owner that is
// alive is believed.
const ownerBelief = 4

// ownerTrust is the time in which an owner that is not heard of loses its
// lease.
func (n *Node) ownerTrust() time.Duration { return n.params.Lease + n.params.DriftMargin }

// believes reports whether the last word of an owner still counts: for a lease
// time whatever the list says, and longer while that router is known to be
// alive.
func (n *Node) believes(now time.Time, h *holder) bool {
	unseen := now.Sub(h.ownerAt)
	return unseen < n.ownerTrust() || unseen < ownerBelief*n.ownerTrust() && n.view.eligible(h.owner)
}

// ObserveOwner takes word of a resource's owner, such as from its digest.
func (n *Node) ObserveOwner(now time.Time, id ID, owner fleet.VM, term uint64) {
	h, ok := n.holders[id]
	if !ok || owner == n.self {
		return
	}
	if term < h.ownerTerm && now.Sub(h.ownerAt) < n.ownerTrust() {
		return
	}
	h.owner, h.ownerTerm, h.ownerAt = owner, term, now
}

// SetInFlight tells the number of requests that this router's work for a held
// resource may amount to, work of earlier owners included, and the part of it
// that may not have reached the target yet. A higher number counts for the
// voters once a confirmation that was asked for later is given.
func (n *Node) SetInFlight(id ID, ceiling, pending int) {
	if h, ok := n.holders[id]; ok {
		h.ceiling = uint32(max(ceiling, 0))
		h.pending = uint32(max(pending, 0))
	}
}

// Confirm asks a majority of the voters whether this router still holds the
// resource. The answer comes as an event with the returned ticket. One round
// serves all confirmations that wait when it begins.
func (n *Node) Confirm(now time.Time, id ID) (ConfirmationID, Actions) {
	n.ticket++
	t := n.ticket
	h, ok := n.holders[id]
	if !ok || !h.holds(now, n.params) {
		n.emit(Event{Kind: Refused, ID: id, Confirmations: []ConfirmationID{t}})
		return t, n.flush(now)
	}
	h.waiting = append(h.waiting, t)
	n.advance(now, h)
	return t, n.flush(now)
}

// Release gives a resource back after a HandOver event. Ceiling is the number
// of requests that still run.
func (n *Node) Release(now time.Time, id ID, ceiling, pending int) Actions {
	h, ok := n.holders[id]
	if !ok || h.phase != leaving {
		return n.flush(now)
	}
	n.SetInFlight(id, ceiling, pending)
	for _, vm := range h.sets.all() {
		n.claim(now, vm, h, ClaimRelease)
	}
	if h.preferred != "" && h.preferred != n.self {
		n.claim(now, h.preferred, h, ClaimHandOver)
		h.owner, h.ownerTerm, h.ownerAt = h.preferred, h.term, now
	}
	n.toIdle(now, h, n.ownerTrust())
	return n.flush(now)
}

// Tick moves the node on as time passes.
func (n *Node) Tick(now time.Time) Actions {
	renew := !now.Before(n.renewAt)
	if renew {
		n.renewAt = now.Add(n.params.Lease / renewals)
	}
	for _, id := range n.order {
		n.step(now, n.holders[id], renew)
	}
	if !now.Before(n.pruneAt) {
		n.prune(now)
	}
	return n.flush(now)
}

// pruneShare is the number of times in a lease that what is over is forgotten.
const pruneShare = 10

func (n *Node) prune(now time.Time) {
	n.pruneAt = now.Add(n.params.Lease / pruneShare)
	for _, h := range n.holders {
		h.sets.prune(now)
	}
	n.voter.prune(now)
	for seq, s := range n.sent {
		if now.Sub(s.at) > 2*n.params.Lease {
			delete(n.sent, seq)
		}
	}
}

func (n *Node) step(now time.Time, h *holder, renew bool) {
	switch h.phase {
	case idle:
		if n.mayTry(now, h) {
			n.acquire(now, h)
		}
	case acquiring:
		n.stepAcquiring(now, h)
	case held:
		n.stepHeld(now, h, renew)
	case leaving:
	}
}

// stepAcquiring asks voters again whose promise to another has lapsed by now,
// and gives up when that takes too long.
func (n *Node) stepAcquiring(now time.Time, h *holder) {
	if now.Sub(h.since) > n.params.Lease/2 {
		n.giveUp(now, h)
		return
	}
	if h.askAt.IsZero() || now.Before(h.askAt) {
		return
	}
	h.askAt = time.Time{}
	for _, vm := range h.sets.all() {
		if _, granted := h.acks[vm]; !granted {
			n.claim(now, vm, h, ClaimAcquire)
		}
	}
}

func (n *Node) stepHeld(now time.Time, h *holder, renew bool) {
	if !h.holds(now, n.params) {
		n.lose(now, h)
		return
	}
	if n.shouldHandOver(now, h) {
		n.leave(h)
		return
	}
	switch {
	case !h.announced:
		n.announce(now, h)
	case renew:
		n.renew(now, h)
	}
	n.advance(now, h)
}

// announce tells the term of a new tenure to all voters, so that they remember
// it as one that was begun.
func (n *Node) announce(now time.Time, h *holder) {
	h.announced = true
	for _, vm := range h.sets.all() {
		n.claim(now, vm, h, n.renewKind(h, vm))
	}
}

// renew asks a majority of the voters, and all of them while the lease is not
// far from its end. Voters that granted just now, such as in a confirmation,
// are left out. Those that have given no grant that counts are always asked,
// so that they can stand in when another voter dies.
func (n *Node) renew(now time.Time, h *holder) {
	majority := n.nearestMajority(now, h)
	urgent := h.leaseEnd(now, n.params).Sub(now) < n.params.Lease/2
	for _, vm := range h.sets.all() {
		a, ok := h.acks[vm]
		counts := ok && a.introduced == 0
		due := now.Sub(a.sentAt) > n.params.Lease/renewals/2
		if !counts || due && (urgent || slices.Contains(majority, vm)) {
			n.claim(now, vm, h, n.renewKind(h, vm))
		}
	}
}

// renewals is the number of renewals in one lease time.
const renewals = 4

// renewKind returns the claim that renews a grant of vm, or asks for one when
// vm has given none yet.
func (n *Node) renewKind(h *holder, vm fleet.VM) ClaimKind {
	if a, ok := h.acks[vm]; ok && a.introduced == 0 {
		return ClaimRenew
	}
	return ClaimAcquire
}

// mayTry reports whether this router should try to acquire: it ranks first or
// was the last owner, and no other owner that is alive was heard of lately; or
// those before it have had their time.
func (n *Node) mayTry(now time.Time, h *holder) bool {
	if h.rank < 0 || !n.view.HasList || now.Before(h.renewAt) {
		return false
	}
	if now.Before(h.eagerUntil) {
		return true
	}
	if h.owner != "" && h.owner != n.self && n.believes(now, h) {
		return false
	}
	unseen := now.Sub(h.ownerAt)
	if h.rank == 0 || now.Sub(h.heldAt) < n.ownerTrust() {
		return true
	}
	return unseen > time.Duration(h.rank)*2*n.ownerTrust()
}

func (n *Node) acquire(now time.Time, h *holder) {
	h.phase, h.since, h.askAt = acquiring, now, time.Time{}
	h.announced, h.firstSeq = false, n.seq
	h.ceiling, h.pending = 0, 0
	clear(h.acks)
	for _, vm := range h.sets.all() {
		n.claim(now, vm, h, ClaimAcquire)
	}
}

// giveUp returns partial grants, so that another candidate may win.
func (n *Node) giveUp(now time.Time, h *holder) {
	for _, vm := range h.sets.all() {
		if _, granted := h.acks[vm]; granted {
			n.claim(now, vm, h, ClaimRelease)
		}
	}
	n.toIdle(now, h, n.backoff(h))
}

// backoff grows with each try and is spread by chance, so that candidates with
// different views don't meet again and again.
func (n *Node) backoff(h *holder) time.Duration {
	h.tries = min(h.tries+1, 5)
	limit := n.params.Lease / 8 * time.Duration(h.tries)
	return time.Duration(n.random.Int64N(int64(limit) + 1))
}

func (n *Node) toIdle(now time.Time, h *holder, wait time.Duration) {
	h.phase, h.since = idle, now
	h.term = 0
	h.renewAt = now.Add(wait)
	clear(h.acks)
}

func (n *Node) lose(now time.Time, h *holder) {
	if h.phase != held {
		return
	}
	n.emit(Event{Kind: Lost, ID: h.id})
	h.heldAt = now
	if tickets := h.takeTickets(); len(tickets) > 0 {
		n.emit(Event{Kind: Refused, ID: h.id, Confirmations: tickets})
	}
	n.toIdle(now, h, n.params.Lease/8)
}

// shouldHandOver reports whether another router should hold the resource: at
// once when this one may not, else after the other has ranked first for long.
func (n *Node) shouldHandOver(now time.Time, h *holder) bool {
	if h.preferred == "" || h.preferred == n.self {
		return false
	}
	if h.rank < 0 {
		return true
	}
	wait := n.params.RebalanceAfter << min(h.handOvers, 6)
	return now.Sub(h.preferredAt) > wait && now.Sub(h.since) > wait
}

func (n *Node) leave(h *holder) {
	h.phase = leaving
	h.handOvers++
	if tickets := h.takeTickets(); len(tickets) > 0 {
		n.emit(Event{Kind: Refused, ID: h.id, Confirmations: tickets})
	}
	n.emit(Event{Kind: HandOver, ID: h.id})

}

func (n *Node) emit(e Event) { n.out.Events = append(n.out.Events, e) }
