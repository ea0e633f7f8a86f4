package ownership

import (
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// phase is the state of a holder.
//
//	idle        -> acquiring    this router is the candidate and its wait is over
//	acquiring   -> held         a majority has granted
//	acquiring   -> idle         no majority in time; partial grants are released
//	held        -> idle         the lease expired, or voters granted it to another router
//	held        -> handingOver  another router should hold the resource
//	handingOver -> idle         the caller stopped admitting and released
type phase uint8

const (
	idle phase = iota
	acquiring
	held
	handingOver
)

// holder is this router's state as holder or candidate for one resource.
type holder struct {
	resource Resource
	id       ID
	ranking  Ranking
	sets     voterSets
	// rank is this router's position among the eligible ones, or -1.
	rank int

	phase phase
	term  uint64
	// acquireSeq is the last request number before the acquisition began.
	acquireSeq uint64
	// termAnnounced is true once the number of this term was sent to the
	// voters.
	termAnnounced bool
	// lostAt is the time at which this router last lost the resource.
	lostAt time.Time
	// lastOwnTerm is the number of this router's last term.
	lastOwnTerm uint64
	// phaseSince is the time at which the phase began.
	phaseSince time.Time
	// acks holds the latest grant of each voter.
	acks map[fleet.VM]ack
	// listedSeq is, by voter, the number of the last request that listed voter
	// sets.
	listedSeq map[fleet.VM]uint64
	// maxInFlight and pending are sent with each claim; see Claim.
	maxInFlight uint32
	pending     uint32
	// nextTryAt is the earliest time of the next acquisition.
	nextTryAt time.Time
	// retryAt is the time at which voters that refused the acquisition are
	// asked again, zero for never.
	retryAt time.Time
	// fastRetryUntil is the end of the period of quick retries after an
	// invitation.
	fastRetryUntil time.Time
	// attempts is the number of failed acquisitions in a row, up to a limit.
	attempts int

	// preferred is the router that should hold the resource, since
	// preferredSince.
	preferred      fleet.VM
	preferredSince time.Time
	// handOvers is the number of hand-overs that this router has started.
	handOvers int

	// owner is the last owner that another router reported, with its term and
	// the time of the report.
	owner       fleet.VM
	ownerTerm   uint64
	ownerSeenAt time.Time

	// queued are confirmations that wait for the next round.
	queued []ConfirmationID
	round  round
}

// ack is the latest grant of one voter.
type ack struct {
	seq    uint64
	sentAt time.Time
	// provisionalSeq is not zero while the grant is provisional and does not
	// count. The grant of a voter that was added in the middle of a term is
	// provisional until a majority of other voters has renewed after it, which
	// proves that the term was not interrupted. The value is the last request
	// number at the time of the first grant.
	provisionalSeq uint64
	// sets are the voter sets that the voter has stored for this holder, nil if
	// unknown.
	sets []VoterSetHash
	vote Vote
}

// round is a confirmation round in progress.
type round struct {
	ids []ConfirmationID
	// startSeq is the last request number before the round began.
	startSeq uint64
	retryAt  time.Time
}

// active reports whether a round is in progress.
func (r *round) active() bool { return len(r.ids) > 0 }

// newHolder returns the state of a resource that this router does not hold.
func newHolder(r Resource, now time.Time) *holder {
	return &holder{
		resource:    r,
		id:          IDOf(r.Name),
		acks:        make(map[fleet.VM]ack),
		listedSeq:   make(map[fleet.VM]uint64),
		phaseSince:  now,
		ownerSeenAt: now,
	}
}

// rerank ranks the routers of a view for this resource.
func (h *holder) rerank(v *View) { h.ranking = Rank(h.resource, v) }

// moveToFront makes vm the head of the ranking. The others keep their order.
func (h *holder) moveToFront(v *View, vm fleet.VM) {
	at := slices.IndexFunc(h.ranking, func(i int32) bool { return v.Routers[i].VM == vm })
	if at > 0 {
		head := h.ranking[at]
		copy(h.ranking[1:at+1], h.ranking[:at])
		h.ranking[0] = head
	}
}

// setPreferred sets the router that should own the resource and adjusts this
// router's rank: 0 only for the preferred one.
func (h *holder) setPreferred(now time.Time, self, preferred fleet.VM) {
	if preferred != h.preferred {
		h.preferred, h.preferredSince = preferred, now
	}
	switch {
	case h.rank < 0:
	case preferred == self:
		h.rank = 0
	case h.rank == 0:
		h.rank = 1
	}
}

// leaseEnd returns the time at which the lease ends unless it is renewed: every
// voter set that counts needs a majority of grants younger than one lease,
// measured from when the claim was sent. It is zero if a set has no majority.
func (h *holder) leaseEnd(now time.Time, p Params) time.Time {
	var end time.Time
	for _, set := range h.sets.sets {
		if h.phase == held && set.inGrace(now) {
			continue
		}
		sent := make([]time.Time, 0, len(set.voters))
		for _, vm := range set.voters {
			if a, ok := h.acks[vm]; ok && a.provisionalSeq == 0 {
				sent = append(sent, a.sentAt)
			}
		}
		need := quorum(len(set.voters))
		if len(sent) < need {
			return time.Time{}
		}
		slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
		setEnd := sent[need-1].Add(p.Lease)
		if end.IsZero() || setEnd.Before(end) {
			end = setEnd
		}
	}
	return end
}

// holds reports whether this router holds the resource and its lease is valid.
func (h *holder) holds(now time.Time, p Params) bool {
	return h.phase == held && now.Before(h.leaseEnd(now, p))
}

// grantedClaim is a claim that a voter granted, with the request that carried
// it. lastSeq is the number of the latest request sent when the vote arrived.
type grantedClaim struct {
	claim   Claim
	seq     uint64
	sentAt  time.Time
	lastSeq uint64
	vote    Vote
}

// recordGrant records a voter's grant unless a later one is known.
func (h *holder) recordGrant(voter fleet.VM, g grantedClaim) {
	old, known := h.acks[voter]
	if known && old.seq >= g.seq {
		return
	}
	a := ack{seq: g.seq, sentAt: g.sentAt, provisionalSeq: old.provisionalSeq, sets: old.sets, vote: g.vote}
	if g.claim.VoterSets != nil && h.listedSeq[voter] == g.seq {
		a.sets = g.claim.VoterSets
	}
	if !known && h.phase == held && g.claim.Kind == ClaimAcquire && !g.claim.startsTerm() {
		a.provisionalSeq = g.lastSeq
	}
	h.acks[voter] = a
	h.promoteProvisional()
}

// promoteProvisional makes provisional grants count once a majority of the
// other voters of some set has granted after them.
func (h *holder) promoteProvisional() {
	for vm, a := range h.acks {
		if a.provisionalSeq == 0 {
			continue
		}
		confirmed := h.sets.anyMajority(func(other fleet.VM) bool {
			o := h.acks[other]
			return o.provisionalSeq == 0 && o.seq > a.provisionalSeq
		})
		if confirmed {
			a.provisionalSeq = 0
			h.acks[vm] = a
		}
	}
}

// acquired reports whether a majority has granted the acquisition.
func (h *holder) acquired() bool {
	return h.sets.majority(func(vm fleet.VM) bool { _, ok := h.acks[vm]; return ok })
}

// residual combines what the voters report about earlier owners' work. The
// count is known only if a majority of the voters cannot have forgotten any of
// it.
func (h *holder) residual(now time.Time, p Params) Residual {
	last := h.highestTerm()
	majorityHas := func(minimum History) bool {
		return h.sets.majority(func(vm fleet.VM) bool {
			a, ok := h.acks[vm]
			complete := a.vote.TermComplete && a.vote.Term == last
			return ok && (a.vote.History >= minimum || complete)
		})
	}
	out := Residual{Known: majorityHas(HistoryComplete), Until: now, PendingUntil: now}
	for _, a := range h.acks {
		out.Count = max(out.Count, int(a.vote.Residual))
		out.Until = later(out.Until, now.Add(duration(a.vote.ResidualMS)))
		out.Pending = max(out.Pending, int(a.vote.Pending))
		out.PendingUntil = later(out.PendingUntil, now.Add(duration(a.vote.PendingMS)))
	}
	if !out.Known {
		out.Until = now.Add(p.MaxRunTime + p.Lease)
	}
	// The first owner after the whole site has started has no predecessor.
	if last > 0 && !majorityHas(HistoryDispatched) {
		out.Pending = unknownAmount
		out.PendingUntil = now.Add(p.MaxPause)
		out.Until = later(out.Until, out.PendingUntil.Add(p.MaxRunTime))
	}
	return out
}

// unknownAmount stands for a number of requests that no voter knows; it exceeds
// the capacity of any target.
const unknownAmount = 1 << 20

// highestTerm returns the highest term that this router knows of.
func (h *holder) highestTerm() uint64 {
	term := h.lastOwnTerm
	for _, a := range h.acks {
		term = max(term, a.vote.Term)
	}
	return max(term, h.ownerTerm)
}

// confirmed reports whether a majority has granted a renewal that was sent
// after the round began.
func (h *holder) confirmed(now time.Time) bool {
	return h.round.active() && h.sets.confirmingMajority(now, func(vm fleet.VM) bool {
		a := h.acks[vm]
		return a.provisionalSeq == 0 && a.seq > h.round.startSeq
	})
}

// takeConfirmations removes and returns all confirmations that are queued or in
// progress.
func (h *holder) takeConfirmations() []ConfirmationID {
	out := slices.Concat(h.round.ids, h.queued)
	h.round, h.queued = round{}, nil
	return out
}
