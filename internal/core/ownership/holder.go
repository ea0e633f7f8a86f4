package ownership

import (
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// phase is the state of a holder.
//
//	idle      -> acquiring  this router is the candidate and its wait is over
//	acquiring -> held       a majority has granted
//	acquiring -> idle       no majority in time; partial grants go back
//	held      -> idle       the lease lapsed, or voters promised it to another
//	held      -> leaving    another router should hold the resource
//	leaving   -> idle       the user stopped admitting and released
type phase uint8

const (
	idle phase = iota
	acquiring
	held
	leaving
)

// holder is one router's side of one resource.
type holder struct {
	resource Resource
	id       ID
	ranking  Ranking
	sets     voterSets
	// rank is this router's place among the eligible ones, or -1.
	rank int

	phase phase
	term  uint64
	// firstSeq is the last sequence number before the acquisition.
	firstSeq uint64
	// announced is true once the voters were told the term of this tenure.
	announced bool
	// heldAt is the time at which this router lost the resource.
	heldAt time.Time
	// lastOwn is the term of this router's last tenure.
	lastOwn uint64
	// since is the time at which the phase began.
	since time.Time
	// acks holds the latest grants by voter.
	acks map[fleet.VM]ack
	// named is the number of the last request that named sets to a voter.
	named   map[fleet.VM]uint64
	ceiling uint32
	pending uint32
	// renewAt is the time of the next renewal or of the next try.
	renewAt time.Time
	// askAt is the time at which voters that refused an acquisition are asked
	// again, zero for none.
	askAt time.Time
	// eagerUntil is the end of a time of quick tries after an invitation.
	eagerUntil time.Time
	tries      int

	// preferred is the router that should hold the resource, and preferredAt
	// the time since when.
	preferred   fleet.VM
	preferredAt time.Time
	handOvers   int

	// owner is the last known owner by another router's word.
	owner     fleet.VM
	ownerTerm uint64
	ownerAt   time.Time

	waiting []ConfirmationID
	round   round
}

// ack is the latest grant of one voter.
type ack struct {
	seq    uint64
	sentAt time.Time
	// introduced is, for a voter that was asked while the resource was held
	// already, the last sequence number before its first grant; zero once the
	// other voters have attested the tenure after that.
	introduced uint64
	// sets are those that the voter knows the holder to count.
	sets    []VoterSetHash
	verdict Vote
}

// round is one confirmation in progress.
type round struct {
	tickets []ConfirmationID
	// after is the last sequence number before the round began.
	after uint64
	askAt time.Time
}

func (r *round) active() bool { return len(r.tickets) > 0 }

func newHolder(r Resource, now time.Time) *holder {
	return &holder{
		resource: r,
		id:       IDOf(r.Name),
		acks:     make(map[fleet.VM]ack),
		named:    make(map[fleet.VM]uint64),
		since:    now,
		ownerAt:  now,
	}
}

// rerank ranks the routers of a view anew.
func (h *holder) rerank(v *View) { h.ranking = Rank(h.resource, v) }

// moveToFront makes vm the head of the ranking.
func (h *holder) moveToFront(v *View, vm fleet.VM) {
	at := slices.IndexFunc(h.ranking, func(i int32) bool { return v.Routers[i].VM == vm })
	if at > 0 {
		head := h.ranking[at]
		copy(h.ranking[1:at+1], h.ranking[:at])
		h.ranking[0] = head
	}
}

// prefer takes the router that should own the resource.
func (h *holder) prefer(now time.Time, self, preferred fleet.VM) {
	if preferred != h.preferred {
		h.preferred, h.preferredAt = preferred, now
	}
	switch {
	case h.rank < 0:
	case preferred == self:
		h.rank = 0
	case h.rank == 0:
		h.rank = 1
	}
}

// leaseEnd returns the time at which the lease lapses unless it is renewed.
func (h *holder) leaseEnd(now time.Time, p Params) time.Time {
	var end time.Time
	for _, set := range h.sets.sets {
		if h.phase == held && set.grace(now) {
			continue
		}
		sent := make([]time.Time, 0, len(set.voters))
		for _, vm := range set.voters {
			if a, ok := h.acks[vm]; ok && a.introduced == 0 {
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

// holds reports whether the lease is in force.
func (h *holder) holds(now time.Time, p Params) bool {
	return h.phase == held && now.Before(h.leaseEnd(now, p))
}

// grantedClaim is a claim that a voter granted.
type grantedClaim struct {
	claim   Claim
	seq     uint64
	sentAt  time.Time
	last    uint64
	verdict Vote
}

// granted notes a grant of a voter. Last is the last sequence number so far.
func (h *holder) granted(voter fleet.VM, g grantedClaim) {
	old, known := h.acks[voter]
	if known && old.seq >= g.seq {
		return
	}
	a := ack{seq: g.seq, sentAt: g.sentAt, introduced: old.introduced, sets: old.sets, verdict: g.verdict}
	if g.claim.VoterSets != nil && h.named[voter] == g.seq {
		a.sets = g.claim.VoterSets
	}
	if !known && h.phase == held && g.claim.Kind == ClaimAcquire && !g.claim.begins() {
		a.introduced = g.last
	}
	h.acks[voter] = a
	h.attest()
}

// attest admits introduced voters once a majority of the others of some set has
// granted after their introduction.
func (h *holder) attest() {
	for vm, a := range h.acks {
		if a.introduced == 0 {
			continue
		}
		attested := h.sets.anyMajority(func(other fleet.VM) bool {
			o := h.acks[other]
			return o.introduced == 0 && o.seq > a.introduced
		})
		if attested {
			a.introduced = 0
			h.acks[vm] = a
		}
	}
}

// acquired reports whether a majority has granted the acquisition.
func (h *holder) acquired() bool {
	return h.sets.majority(func(vm fleet.VM) bool { _, ok := h.acks[vm]; return ok })
}

// residual sums up what the voters know of earlier owners' work. An amount is
// known only when a majority of the voters can't have forgotten any.
func (h *holder) residual(now time.Time, p Params) Residual {
	last := h.lastTerm()
	attested := func(least History) bool {
		return h.sets.majority(func(vm fleet.VM) bool {
			a, ok := h.acks[vm]
			complete := a.verdict.TermComplete && a.verdict.Term == last
			return ok && (a.verdict.History >= least || complete)
		})
	}
	out := Residual{Known: attested(HistoryComplete), Until: now, PendingUntil: now}
	for _, a := range h.acks {
		out.Count = max(out.Count, int(a.verdict.Residual))
		out.Until = later(out.Until, now.Add(duration(a.verdict.ResidualMS)))
		out.Pending = max(out.Pending, int(a.verdict.Pending))
		out.PendingUntil = later(out.PendingUntil, now.Add(duration(a.verdict.PendingMS)))
	}
	if !out.Known {
		out.Until = now.Add(p.MaxRunTime + p.Lease)
	}
	// The first owner after a start of the whole site has no predecessor.
	if last > 0 && !attested(HistoryDispatched) {
		out.Pending = unknownAmount
		out.PendingUntil = now.Add(p.MaxPause)
		out.Until = later(out.Until, out.PendingUntil.Add(p.MaxRunTime))
	}
	return out
}

// unknownAmount stands for an amount of work that nobody remembers.
const unknownAmount = 1 << 20

func (h *holder) lastTerm() uint64 {
	term := h.lastOwn
	for _, a := range h.acks {
		term = max(term, a.verdict.Term)
	}
	return max(term, h.ownerTerm)
}

// confirmed reports whether a majority has granted a renewal that was sent
// after the round began.
func (h *holder) confirmed(now time.Time) bool {
	return h.round.active() && h.sets.confirmingMajority(now, func(vm fleet.VM) bool {
		a := h.acks[vm]
		return a.introduced == 0 && a.seq > h.round.after
	})
}

// takeTickets returns all confirmations that wait or are in progress.
func (h *holder) takeTickets() []ConfirmationID {
	out := slices.Concat(h.round.tickets, h.waiting)
	h.round, h.waiting = round{}, nil
	return out
}
