package ownership

import (
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// queueClaim queues a claim for one voter. All claims queued for a voter go out
// in one request. A renewal lists its voter sets only if they differ from those
// of the last claim that the voter granted.
func (n *Node) queueClaim(now time.Time, to fleet.VM, h *holder, kind ClaimKind) {
	c := Claim{ID: h.id, Kind: kind, MaxInFlight: h.maxInFlight, Pending: h.pending, Term: h.term}
	if sets := h.sets.hashes(now); kind != ClaimRenew || !slices.Equal(sets, h.acks[to].sets) {
		c.VoterSets = sets
	}
	n.queued[to] = append(n.queued[to], c)
}

// flush sends the queued claims and returns the actions collected so far.
func (n *Node) flush(now time.Time) Actions {
	n.flushTo(now)
	out := n.actions
	n.actions = Actions{}
	return out
}

// flushTo turns queued claims into requests. Claims to this router's own voter
// are answered directly, without a message.
func (n *Node) flushTo(now time.Time) {
	for len(n.queued) > 0 {
		to := n.nextQueued()
		claims := n.queued[to]
		delete(n.queued, to)
		n.seq++
		req := &Request{Seq: n.seq, Process: n.process, Claims: claims}
		n.sent[req.Seq] = sentRequest{to: to, at: now, claims: claims}
		n.recordListedSets(to, req)
		if to == n.self {
			n.processReply(now, n.self, n.vote(now, n.self, req))
			continue
		}
		n.actions.Messages = append(n.actions.Messages, Message{To: to, Request: req})
	}
}

// recordListedSets records the latest request that listed voter sets to a
// voter. Only the grant of that request shows which sets the voter has stored.
func (n *Node) recordListedSets(to fleet.VM, req *Request) {
	for _, c := range req.Claims {
		h, ok := n.holders[c.ID]
		if !ok || c.VoterSets == nil {
			continue
		}
		h.listedSeq[to] = req.Seq
		if a, ok := h.acks[to]; ok {
			a.sets = nil
			h.acks[to] = a
		}
	}
}

// nextQueued returns the voter to send to next, in name order so that a run can
// be reproduced.
func (n *Node) nextQueued() fleet.VM {
	vms := make([]fleet.VM, 0, len(n.queued))
	for vm := range n.queued {
		vms = append(vms, vm)
	}
	return slices.Min(vms)
}

// HandleRequest answers the claims of another router.
func (n *Node) HandleRequest(now time.Time, from fleet.VM, req *Request) Actions {
	reply := n.vote(now, from, req)
	n.actions.Messages = append(n.actions.Messages, Message{To: from, Reply: reply})
	return n.flush(now)
}

// vote lets this router's voter decide on each claim of a request.
func (n *Node) vote(now time.Time, from fleet.VM, req *Request) *Reply {
	reply := &Reply{Seq: req.Seq, Votes: make([]Vote, len(req.Claims))}
	for i, c := range req.Claims {
		if c.Kind == ClaimHandOver {
			n.handleInvitation(now, from, c)
			reply.Votes[i] = Vote{Code: Granted}
			continue
		}
		reply.Votes[i] = n.voter.handle(now, from, req, c, n.voterContext(c.ID))
	}
	return reply
}

// voterContext collects what the voter needs to know about the site.
func (n *Node) voterContext(id ID) voterContext {
	vc := voterContext{hasList: n.view.HasList, agreed: n.view.Agreed}
	if h, ok := n.holders[id]; ok {
		vc.sets = &h.sets
	}
	return vc
}

// handleInvitation makes this router try at once to acquire a resource that its
// holder hands over.
func (n *Node) handleInvitation(now time.Time, from fleet.VM, c Claim) {
	h, ok := n.holders[c.ID]
	if !ok || h.phase != idle || from == n.self {
		return
	}
	h.fastRetryUntil = now.Add(n.params.Lease / 4)
	h.nextTryAt = now
	h.attempts = 0
}

// HandleReply processes a voter's reply.
func (n *Node) HandleReply(now time.Time, from fleet.VM, reply *Reply) Actions {
	n.processReply(now, from, reply)
	return n.flush(now)
}

// processReply matches a reply with the request that was sent and processes its
// votes. Replies that are unknown, repeated or from another router are ignored.
func (n *Node) processReply(now time.Time, from fleet.VM, reply *Reply) {
	s, ok := n.sent[reply.Seq]
	if !ok || s.to != from || len(s.claims) != len(reply.Votes) {
		return
	}
	delete(n.sent, reply.Seq)
	for i, c := range s.claims {
		if h, ok := n.holders[c.ID]; ok {
			n.processVote(now, from, h, c, reply.Seq, s.at, reply.Votes[i])
		}
	}
}

// processVote processes the vote on one claim.
func (n *Node) processVote(now time.Time, from fleet.VM, h *holder, c Claim, seq uint64, sentAt time.Time, v Vote) {
	for _, set := range v.MissingVoterSets {
		n.learnVoterSet(now, h, set)
	}
	if c.Kind == ClaimRelease || c.Kind == ClaimHandOver || !h.isCurrent(c, seq) {
		return
	}
	if v.Code == Granted {
		h.recordGrant(from, grantedClaim{claim: c, seq: seq, sentAt: sentAt, lastSeq: n.seq, vote: v})
		n.renewForProvisional(now, h, from)
	} else if v.Code != Stale {
		delete(h.acks, from)
	}
	switch h.phase {
	case acquiring:
		n.processVoteAcquiring(now, h, v)
	case held:
		n.processVoteHeld(now, h, v)
	case idle, handingOver:
	}
}

// learnVoterSet adds a voter set that a voter reported. While this router holds
// the resource, it asks the voters of the new set for grants at once.
func (n *Node) learnVoterSet(now time.Time, h *holder, set []fleet.VM) {
	lease := n.params.Lease
	if h.sets.learn(set, now.Add(lease/2), now.Add(lease), now.Add(2*lease)) {
		n.requestMidTermGrants(now, h, set)
	}
}

// renewForProvisional renews the grants that count, so that the provisional
// grant of a voter that was just added soon counts as well.
func (n *Node) renewForProvisional(now time.Time, h *holder, added fleet.VM) {
	addedSeq := h.acks[added].provisionalSeq
	if addedSeq == 0 {
		return
	}
	for _, vm := range h.sets.all() {
		if a, ok := h.acks[vm]; ok && a.provisionalSeq == 0 && a.seq <= addedSeq {
			n.queueClaim(now, vm, h, ClaimRenew)
		}
	}
}

// isCurrent reports whether the claim with sequence number seq belongs to the
// current phase. A grant of the acquisition may arrive after the majority that
// completed it.
func (h *holder) isCurrent(c Claim, seq uint64) bool {
	switch h.phase {
	case acquiring:
		return c.startsTerm() && seq > h.acquireSeq
	case held:
		return c.Term == h.term || c.startsTerm() && seq > h.acquireSeq
	default:
		return false
	}
}

// processVoteAcquiring starts the term once a majority has granted, or
// schedules the next attempt after a refusal.
func (n *Node) processVoteAcquiring(now time.Time, h *holder, v Vote) {
	if h.acquired() && now.Before(h.leaseEnd(now, n.params)) {
		n.becomeHolder(now, h)
		return
	}
	if v.Code != Held && v.Code != Abstained {
		return
	}
	wait := duration(v.RetryMS)
	if now.Before(h.fastRetryUntil) {
		wait = min(wait, n.params.Lease/64)
	}
	if n.majorityOutOfReach(h) {
		n.giveUp(now, h)
		h.nextTryAt = now.Add(wait)
		return
	}
	if at := now.Add(wait); h.retryAt.IsZero() || at.Before(h.retryAt) {
		h.retryAt = at
	}
}

// majorityOutOfReach reports whether the voters that granted and those that
// have not answered yet are too few for a majority.
func (n *Node) majorityOutOfReach(h *holder) bool {
	waiting := make(map[fleet.VM]bool)
	for _, s := range n.sent {
		for _, c := range s.claims {
			if c.ID == h.id && c.Kind == ClaimAcquire && !s.at.Before(h.phaseSince) {
				waiting[s.to] = true
			}
		}
	}
	return !h.sets.majority(func(vm fleet.VM) bool {
		_, granted := h.acks[vm]
		return granted || waiting[vm]
	})
}

// becomeHolder starts a new term and reports it with the residual work.
func (n *Node) becomeHolder(now time.Time, h *holder) {
	residual := h.residual(now, n.params)
	h.term = h.highestTerm() + 1
	h.lastOwnTerm = h.term
	h.phase, h.phaseSince = held, now
	h.attempts = 0
	h.fastRetryUntil = time.Time{}
	h.maxInFlight, h.pending = uint32(residual.Count), uint32(residual.Pending)
	if !residual.Known {
		h.maxInFlight = unknownAmount
	}
	n.emit(Event{Kind: Acquired, ID: h.id, Residual: residual, Term: h.term})
}

// processVoteHeld ends the term if voters granted the resource to another
// router and the lease is over; otherwise it continues the confirmation round.
func (n *Node) processVoteHeld(now time.Time, h *holder, v Vote) {
	if v.Code == Held && !h.holds(now, n.params) {
		n.loseLease(now, h)
		return
	}
	n.advanceRounds(now, h)
}
