package ownership

import (
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// claim queues a claim for one voter; flush sends all claims for the same
// voter in one request.
func (n *Node) claim(now time.Time, to fleet.VM, h *holder, kind ClaimKind) {
	c := Claim{ID: h.id, Kind: kind, MaxInFlight: h.ceiling, Pending: h.pending, Term: h.term}
	if sets := h.sets.hashes(now); kind != ClaimRenew || !slices.Equal(sets, h.acks[to].sets) {
		c.VoterSets = sets
	}
	n.pending[to] = append(n.pending[to], c)
}

// flush sends what is queued and returns the actions so far.
func (n *Node) flush(now time.Time) Actions {
	n.flushTo(now)
	out := n.out
	n.out = Actions{}
	return out
}

// flushTo turns queued claims into requests. This router's own vote is taken
// on the spot.
func (n *Node) flushTo(now time.Time) {
	for len(n.pending) > 0 {
		to := n.nextPending()
		claims := n.pending[to]
		delete(n.pending, to)
		n.seq++
		req := &Request{Seq: n.seq, Process: n.process, Claims: claims}
		n.sent[req.Seq] = sentRequest{to: to, at: now, claims: claims}
		n.noteNamed(to, req)
		if to == n.self {
			n.replied(now, n.self, n.vote(now, n.self, req))
			continue
		}
		n.out.Messages = append(n.out.Messages, Message{To: to, Request: req})
	}
}

// noteNamed remembers the last claim that named voter sets to a voter: only its
// grant tells which sets the voter holds on to.
func (n *Node) noteNamed(to fleet.VM, req *Request) {
	for _, c := range req.Claims {
		h, ok := n.holders[c.ID]
		if !ok || c.VoterSets == nil {
			continue
		}
		h.named[to] = req.Seq
		if a, ok := h.acks[to]; ok {
			a.sets = nil
			h.acks[to] = a
		}
	}
}

func (n *Node) nextPending() fleet.VM {
	vms := make([]fleet.VM, 0, len(n.pending))
	for vm := range n.pending {
		vms = append(vms, vm)
	}
	return slices.Min(vms)
}

// HandleRequest answers the claims of another router.
func (n *Node) HandleRequest(now time.Time, from fleet.VM, req *Request) Actions {
	reply := n.vote(now, from, req)
	n.out.Messages = append(n.out.Messages, Message{To: from, Reply: reply})
	return n.flush(now)
}

func (n *Node) vote(now time.Time, from fleet.VM, req *Request) *Reply {
	reply := &Reply{Seq: req.Seq, Votes: make([]Vote, len(req.Claims))}
	for i, c := range req.Claims {
		if c.Kind == ClaimHandOver {
			n.invited(now, from, c)
			reply.Votes[i] = Vote{Code: Granted}
			continue
		}
		reply.Votes[i] = n.voter.handle(now, from, req, c, n.electorate(c.ID))
	}
	return reply
}

func (n *Node) electorate(id ID) electorate {
	e := electorate{hasList: n.view.HasList, agreed: n.view.Agreed}
	if h, ok := n.holders[id]; ok {
		e.sets = &h.sets
	}
	return e
}

// invited tries at once to acquire a resource that its holder hands over.
func (n *Node) invited(now time.Time, from fleet.VM, c Claim) {
	h, ok := n.holders[c.ID]
	if !ok || h.phase != idle || from == n.self {
		return
	}
	h.eagerUntil = now.Add(n.params.Lease / 4)
	h.renewAt = now
	h.tries = 0
}

// HandleReply takes a voter's answer.
func (n *Node) HandleReply(now time.Time, from fleet.VM, reply *Reply) Actions {
	n.replied(now, from, reply)
	return n.flush(now)
}

func (n *Node) replied(now time.Time, from fleet.VM, reply *Reply) {
	s, ok := n.sent[reply.Seq]
	if !ok || s.to != from || len(s.claims) != len(reply.Votes) {
		return
	}
	delete(n.sent, reply.Seq)
	for i, c := range s.claims {
		if h, ok := n.holders[c.ID]; ok {
			n.judged(now, from, h, c, reply.Seq, s.at, reply.Votes[i])
		}
	}
}

// judged takes the verdict on one claim.
func (n *Node) judged(now time.Time, from fleet.VM, h *holder, c Claim, seq uint64, sentAt time.Time, v Vote) {
	for _, set := range v.MissingVoterSets {
		n.learn(now, h, set)
	}
	if c.Kind == ClaimRelease || c.Kind == ClaimHandOver || !h.current(c, seq) {
		return
	}
	if v.Code == Granted {
		h.granted(from, grantedClaim{claim: c, seq: seq, sentAt: sentAt, last: n.seq, verdict: v})
		n.attestNow(now, h, from)
	} else if v.Code != Stale {
		delete(h.acks, from)
	}
	switch h.phase {
	case acquiring:
		n.judgedAcquiring(now, h, v)
	case held:
		n.judgedHeld(now, h, v)
	case idle, leaving:
	}
}

// learn takes a voter set that a voter told of. A holder asks its voters at
// once.
func (n *Node) learn(now time.Time, h *holder, set []fleet.VM) {
	lease := n.params.Lease
	if h.sets.learn(set, now.Add(lease/2), now.Add(lease), now.Add(2*lease)) {
		n.introduce(now, h, set)
	}
}

// attestNow asks the voters that count to renew, so that one that was just
// introduced counts soon.
func (n *Node) attestNow(now time.Time, h *holder, introduced fleet.VM) {
	after := h.acks[introduced].introduced
	if after == 0 {
		return
	}
	for _, vm := range h.sets.all() {
		if a, ok := h.acks[vm]; ok && a.introduced == 0 && a.seq <= after {
			n.claim(now, vm, h, ClaimRenew)
		}
	}
}

// current reports whether a claim belongs to the present phase of the holder.
// A grant of the acquisition may come after those that decided it.
func (h *holder) current(c Claim, seq uint64) bool {
	switch h.phase {
	case acquiring:
		return c.begins() && seq > h.firstSeq
	case held:
		return c.Term == h.term || c.begins() && seq > h.firstSeq
	default:
		return false
	}
}

func (n *Node) judgedAcquiring(now time.Time, h *holder, v Vote) {
	if h.acquired() && now.Before(h.leaseEnd(now, n.params)) {
		n.gain(now, h)
		return
	}
	if v.Code != Held && v.Code != Abstained {
		return
	}
	wait := duration(v.RetryMS)
	if now.Before(h.eagerUntil) {
		wait = min(wait, n.params.Lease/64)
	}
	if n.hopeless(h) {
		n.giveUp(now, h)
		h.renewAt = now.Add(wait)
		return
	}
	if at := now.Add(wait); h.askAt.IsZero() || at.Before(h.askAt) {
		h.askAt = at
	}
}

// hopeless reports whether the voters that have not answered yet and those
// that granted can't make a majority any more.
func (n *Node) hopeless(h *holder) bool {
	waiting := make(map[fleet.VM]bool)
	for _, s := range n.sent {
		for _, c := range s.claims {
			if c.ID == h.id && c.Kind == ClaimAcquire && !s.at.Before(h.since) {
				waiting[s.to] = true
			}
		}
	}
	return !h.sets.majority(func(vm fleet.VM) bool {
		_, granted := h.acks[vm]
		return granted || waiting[vm]
	})
}

func (n *Node) gain(now time.Time, h *holder) {
	residual := h.residual(now, n.params)
	h.term = h.lastTerm() + 1
	h.lastOwn = h.term
	h.phase, h.since = held, now
	h.tries = 0
	h.eagerUntil = time.Time{}
	h.ceiling, h.pending = uint32(residual.Count), uint32(residual.Pending)
	if !residual.Known {
		h.ceiling = unknownAmount
	}
	n.emit(Event{Kind: Acquired, ID: h.id, Residual: residual, Term: h.term})
}

func (n *Node) judgedHeld(now time.Time, h *holder, v Vote) {
	if v.Code == Held && !h.holds(now, n.params) {
		n.lose(now, h)
		return
	}
	n.advance(now, h)
}
