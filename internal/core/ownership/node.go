package ownership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Node is one router's state machine for the ownership of all resources. It is
// the holder of some resources and a voter for others. It does no I/O: callers
// pass in the time and messages and carry out the returned Actions. A Node is
// not safe for concurrent use.
type Node struct {
	params  Params
	self    fleet.VM
	process Process
	random  *rand.Rand

	view    View
	voter   *voter
	holders map[ID]*holder
	// order holds the IDs in the order of declaration, so that a run does not
	// depend on map order.
	order []ID

	seq uint64
	// lastConfirmation is the last identifier that Confirm returned.
	lastConfirmation ConfirmationID
	// sent holds the requests that a reply may still come for, by number.
	sent map[uint64]sentRequest
	// queued holds claims that have not been sent yet, by voter.
	queued map[fleet.VM][]Claim
	// actions collects what the current call returns.
	actions Actions
	// renewAt is the time of the next renewal of all resources that are held.
	renewAt time.Time
	pruneAt time.Time
}

// sentRequest is a request that a reply may still come for.
type sentRequest struct {
	to     fleet.VM
	at     time.Time
	claims []Claim
}

// NewNode returns a node that holds nothing. Now is the time at which the
// process started; random spreads the retries.
func NewNode(self fleet.VM, incarnation fleet.Incarnation, params Params, now time.Time, random *rand.Rand) *Node {
	return &Node{
		params:  params,
		self:    self,
		process: ProcessOf(incarnation),
		random:  random,
		voter:   newVoter(params, now),
		holders: make(map[ID]*holder),
		sent:    make(map[uint64]sentRequest),
		queued:  make(map[fleet.VM][]Claim),
	}
}

// SetParams replaces the limits of the protocol.
func (n *Node) SetParams(p Params) {
	n.params = p
	n.voter.params = p
}

// SetView replaces the view of the site.
func (n *Node) SetView(now time.Time, v View) Actions {
	keep := n.view.sameRanking(&v)
	n.view = v
	n.view.Index()
	n.updatePlacement(now, keep)
	return n.Tick(now)
}

// updatePlacement computes for each resource its ranking, its voters and its
// preferred owner. With keepRankings, the rankings are known not to have
// changed.
func (n *Node) updatePlacement(now time.Time, keepRankings bool) {
	holders := make([]*holder, len(n.order))
	for i, id := range n.order {
		holders[i] = n.holders[id]
	}
	if !keepRankings {
		for _, h := range holders {
			h.rerank(&n.view)
		}
		balanceRankings(&n.view, holders)
	}
	preferred := preferredOwners(&n.view, holders)
	for _, h := range holders {
		if n.view.HasList {
			n.setVoters(now, h, SelectVoters(&n.view, h.ranking, n.params.Voters))
		}
		h.rank = eligibleRank(&n.view, h.ranking, n.self)
		h.setPreferred(now, n.self, preferred[h.id])
	}
}

// SetResources replaces the list of resources. A resource that is held and no
// longer listed is lost.
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
			n.loseLease(now, h)
			delete(n.holders, id)
		}
	}
	n.updatePlacement(now, !changed)
	return n.Tick(now)
}

// setVoters sets the voters of a resource. While this router holds the
// resource, it asks new voters for grants at once.
func (n *Node) setVoters(now time.Time, h *holder, voters []fleet.VM) {
	lease := n.params.Lease
	if h.sets.setCurrent(voters, now.Add(lease/2), now.Add(n.params.VoterSetRetention)) {
		n.requestMidTermGrants(now, h, voters)
	}
}

// requestMidTermGrants asks voters that have not granted this term yet for a
// grant, while this router holds the resource.
func (n *Node) requestMidTermGrants(now time.Time, h *holder, voters []fleet.VM) {
	if h.phase != held {
		return
	}
	for _, vm := range voters {
		if _, ok := h.acks[vm]; !ok {
			n.queueClaim(now, vm, h, ClaimAcquire)
		}
	}
}

// Holds reports whether this router holds the resource with a valid lease.
func (n *Node) Holds(now time.Time, id ID) bool {
	h, ok := n.holders[id]
	return ok && h.holds(now, n.params)
}

// Term returns the number of this router's current term, zero if it does not
// hold the resource.
func (n *Node) Term(id ID) uint64 {
	if h, ok := n.holders[id]; ok && h.phase == held {
		return h.term
	}
	return 0
}

// Owner returns the router believed to own the resource: this one while it
// holds the lease, else the last owner that was reported, else the preferred
// one. It is false if none is known.
func (n *Node) Owner(now time.Time, id ID) (fleet.VM, bool) {
	h, ok := n.holders[id]
	switch {
	case !ok:
		return "", false
	case h.holds(now, n.params):
		return n.self, true
	case h.owner != "" && h.owner != n.self && n.trustsOwner(now, h):
		return h.owner, true
	}
	return h.preferred, h.preferred != ""
}

// ownerTrustFactor is the number of owner timeouts for which the last report of
// an owner is trusted while that router is alive.
const ownerTrustFactor = 4

// ownerTimeout is the time within which an owner that is not heard from loses
// its lease.
func (n *Node) ownerTimeout() time.Duration { return n.params.Lease + n.params.DriftMargin }

// trustsOwner reports whether the last report of an owner still counts: for one
// owner timeout in any case, and longer while that router is eligible.
func (n *Node) trustsOwner(now time.Time, h *holder) bool {
	sinceSeen := now.Sub(h.ownerSeenAt)
	return sinceSeen < n.ownerTimeout() || sinceSeen < ownerTrustFactor*n.ownerTimeout() && n.view.eligible(h.owner)
}

// ObserveOwner records the owner of a resource that another router reported,
// for example in a digest. A report of an older term is ignored unless the last
// one has timed out.
func (n *Node) ObserveOwner(now time.Time, id ID, owner fleet.VM, term uint64) {
	h, ok := n.holders[id]
	if !ok || owner == n.self {
		return
	}
	if term < h.ownerTerm && now.Sub(h.ownerSeenAt) < n.ownerTimeout() {
		return
	}
	h.owner, h.ownerTerm, h.ownerSeenAt = owner, term, now
}

// SetMaxInFlight sets an upper bound of this router's requests in flight for a
// held resource, including those of earlier owners, and the part of it that may
// not have reached the target yet. The voters are sure to know a higher number
// only after a later call of Confirm has been confirmed.
func (n *Node) SetMaxInFlight(id ID, maxInFlight, pending int) {
	if h, ok := n.holders[id]; ok {
		h.maxInFlight = uint32(max(maxInFlight, 0))
		h.pending = uint32(max(pending, 0))
	}
}

// Confirm asks a majority of the voters whether this router still holds the
// resource. The result is an event with the returned ID. All confirmations that
// are queued when a round begins share that round.
func (n *Node) Confirm(now time.Time, id ID) (ConfirmationID, Actions) {
	n.lastConfirmation++
	c := n.lastConfirmation
	h, ok := n.holders[id]
	if !ok || !h.holds(now, n.params) {
		n.emit(Event{Kind: Refused, ID: id, Confirmations: []ConfirmationID{c}})
		return c, n.flush(now)
	}
	h.queued = append(h.queued, c)
	n.advanceRounds(now, h)
	return c, n.flush(now)
}

// Release gives a resource back after a HandOver event and invites the
// preferred owner to acquire it. MaxInFlight and pending describe the requests
// that still run, as for SetMaxInFlight.
func (n *Node) Release(now time.Time, id ID, maxInFlight, pending int) Actions {
	h, ok := n.holders[id]
	if !ok || h.phase != handingOver {
		return n.flush(now)
	}
	n.SetMaxInFlight(id, maxInFlight, pending)
	for _, vm := range h.sets.all() {
		n.queueClaim(now, vm, h, ClaimRelease)
	}
	if h.preferred != "" && h.preferred != n.self {
		n.queueClaim(now, h.preferred, h, ClaimHandOver)
		h.owner, h.ownerTerm, h.ownerSeenAt = h.preferred, h.term, now
	}
	n.toIdle(now, h, n.ownerTimeout())
	return n.flush(now)
}

// Tick does what is due at now: acquisitions, renewals, retries and expiry.
func (n *Node) Tick(now time.Time) Actions {
	renew := !now.Before(n.renewAt)
	if renew {
		n.renewAt = now.Add(n.params.Lease / renewalsPerLease)
	}
	for _, id := range n.order {
		n.step(now, n.holders[id], renew)
	}
	if !now.Before(n.pruneAt) {
		n.prune(now)
	}
	return n.flush(now)
}

// prunesPerLease is the number of times per lease that expired state is
// removed.
const prunesPerLease = 10

// prune removes expired voter sets, grants and requests when it is due.
func (n *Node) prune(now time.Time) {
	n.pruneAt = now.Add(n.params.Lease / prunesPerLease)
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

// step does what is due for one resource.
func (n *Node) step(now time.Time, h *holder, renew bool) {
	switch h.phase {
	case idle:
		if n.shouldAcquire(now, h) {
			n.acquire(now, h)
		}
	case acquiring:
		n.stepAcquiring(now, h)
	case held:
		n.stepHeld(now, h, renew)
	case handingOver:
	}
}

// stepAcquiring asks voters again whose grant to another router has expired by
// now, and gives up when the acquisition takes too long.
func (n *Node) stepAcquiring(now time.Time, h *holder) {
	if now.Sub(h.phaseSince) > n.params.Lease/2 {
		n.giveUp(now, h)
		return
	}
	if h.retryAt.IsZero() || now.Before(h.retryAt) {
		return
	}
	h.retryAt = time.Time{}
	for _, vm := range h.sets.all() {
		if _, granted := h.acks[vm]; !granted {
			n.queueClaim(now, vm, h, ClaimAcquire)
		}
	}
}

// stepHeld checks and renews the lease, or starts a hand-over.
func (n *Node) stepHeld(now time.Time, h *holder, renew bool) {
	if !h.holds(now, n.params) {
		n.loseLease(now, h)
		return
	}
	if n.shouldHandOver(now, h) {
		n.startHandOver(h)
		return
	}
	switch {
	case !h.termAnnounced:
		n.announceTerm(now, h)
	case renew:
		n.renew(now, h)
	}
	n.advanceRounds(now, h)
}

// announceTerm sends the number of a new term to all voters, so that they
// record that the term has begun.
func (n *Node) announceTerm(now time.Time, h *holder) {
	h.termAnnounced = true
	for _, vm := range h.sets.all() {
		n.queueClaim(now, vm, h, n.claimKindFor(h, vm))
	}
}

// renew asks a majority of the voters for renewals, and all voters once less
// than half of the lease remains. Voters that granted recently, for example a
// confirmation, are skipped. Voters without a grant that counts are always
// asked, so that they can replace a voter that fails.
func (n *Node) renew(now time.Time, h *holder) {
	majority := n.nearestMajority(now, h)
	urgent := h.leaseEnd(now, n.params).Sub(now) < n.params.Lease/2
	for _, vm := range h.sets.all() {
		a, ok := h.acks[vm]
		counts := ok && a.provisionalSeq == 0
		due := now.Sub(a.sentAt) > n.params.Lease/renewalsPerLease/2
		if !counts || due && (urgent || slices.Contains(majority, vm)) {
			n.queueClaim(now, vm, h, n.claimKindFor(h, vm))
		}
	}
}

// renewalsPerLease is the number of renewals in one lease time.
const renewalsPerLease = 4

// claimKindFor returns the claim that renews the grant of vm, or requests one
// if vm has none that counts.
func (n *Node) claimKindFor(h *holder, vm fleet.VM) ClaimKind {
	if a, ok := h.acks[vm]; ok && a.provisionalSeq == 0 {
		return ClaimRenew
	}
	return ClaimAcquire
}

// shouldAcquire reports whether this router should try to acquire the resource:
// after an invitation; if no other owner is trusted and this router ranks first
// or lost the resource a moment ago; or if the routers that rank before it have
// had time to acquire it.
func (n *Node) shouldAcquire(now time.Time, h *holder) bool {
	if h.rank < 0 || !n.view.HasList || now.Before(h.nextTryAt) {
		return false
	}
	if now.Before(h.fastRetryUntil) {
		return true
	}
	if h.owner != "" && h.owner != n.self && n.trustsOwner(now, h) {
		return false
	}
	sinceSeen := now.Sub(h.ownerSeenAt)
	if h.rank == 0 || now.Sub(h.lostAt) < n.ownerTimeout() {
		return true
	}
	return sinceSeen > time.Duration(h.rank)*2*n.ownerTimeout()
}

// acquire asks all voters for a new term.
func (n *Node) acquire(now time.Time, h *holder) {
	h.phase, h.phaseSince, h.retryAt = acquiring, now, time.Time{}
	h.termAnnounced, h.acquireSeq = false, n.seq
	h.maxInFlight, h.pending = 0, 0
	clear(h.acks)
	for _, vm := range h.sets.all() {
		n.queueClaim(now, vm, h, ClaimAcquire)
	}
}

// giveUp releases partial grants, so that another candidate can win.
func (n *Node) giveUp(now time.Time, h *holder) {
	for _, vm := range h.sets.all() {
		if _, granted := h.acks[vm]; granted {
			n.queueClaim(now, vm, h, ClaimRelease)
		}
	}
	n.toIdle(now, h, n.backoff(h))
}

// backoff returns a random wait whose upper limit grows with each attempt, so
// that candidates with different views do not collide repeatedly.
func (n *Node) backoff(h *holder) time.Duration {
	h.attempts = min(h.attempts+1, 5)
	limit := n.params.Lease / 8 * time.Duration(h.attempts)
	return time.Duration(n.random.Int64N(int64(limit) + 1))
}

// toIdle ends a phase. The next acquisition starts after wait at the earliest.
func (n *Node) toIdle(now time.Time, h *holder, wait time.Duration) {
	h.phase, h.phaseSince = idle, now
	h.term = 0
	h.nextTryAt = now.Add(wait)
	clear(h.acks)
}

// loseLease ends the term of a resource that is held and refuses its
// confirmations.
func (n *Node) loseLease(now time.Time, h *holder) {
	if h.phase != held {
		return
	}
	n.emit(Event{Kind: Lost, ID: h.id})
	h.lostAt = now
	if confirmations := h.takeConfirmations(); len(confirmations) > 0 {
		n.emit(Event{Kind: Refused, ID: h.id, Confirmations: confirmations})
	}
	n.toIdle(now, h, n.params.Lease/8)
}

// shouldHandOver reports whether another router should hold the resource: at
// once if this one is not eligible, else after the other one has been preferred
// for long enough. The wait doubles with each hand-over.
func (n *Node) shouldHandOver(now time.Time, h *holder) bool {
	if h.preferred == "" || h.preferred == n.self {
		return false
	}
	if h.rank < 0 {
		return true
	}
	wait := n.params.RebalanceAfter << min(h.handOvers, 6)
	return now.Sub(h.preferredSince) > wait && now.Sub(h.phaseSince) > wait
}

// startHandOver refuses open confirmations and asks the caller to release.
func (n *Node) startHandOver(h *holder) {
	h.phase = handingOver
	h.handOvers++
	if confirmations := h.takeConfirmations(); len(confirmations) > 0 {
		n.emit(Event{Kind: Refused, ID: h.id, Confirmations: confirmations})
	}
	n.emit(Event{Kind: HandOver, ID: h.id})

}

// emit adds an event to what the current call returns.
func (n *Node) emit(e Event) { n.actions.Events = append(n.actions.Events, e) }
