package ownership

import (
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// advanceRounds completes, retries and starts confirmation rounds. A round that
// this router's own vote completes is followed by the next one at once.
func (n *Node) advanceRounds(now time.Time, h *holder) {
	for {
		if h.confirmed(now) && h.holds(now, n.params) {
			n.emit(Event{Kind: Confirmed, ID: h.id, Term: h.term, Confirmations: h.round.ids})
			h.round = round{}
		}
		if h.round.active() {
			if !now.Before(h.round.retryAt) {
				n.retryRound(now, h)
			}
			return
		}
		if len(h.queued) == 0 {
			return
		}
		n.beginRound(now, h)
		if h.round.active() {
			return
		}
	}
}

// beginRound starts a round with the voters that are the quickest majority.
func (n *Node) beginRound(now time.Time, h *holder) {
	n.flushTo(now)
	h.round = round{ids: h.queued, startSeq: n.seq, retryAt: now.Add(n.params.ConfirmRetry)}
	h.queued = nil
	for _, vm := range n.nearestMajority(now, h) {
		n.queueClaim(now, vm, h, ClaimRenew)
	}
	n.flushTo(now)
}

// retryRound asks all voters that have not confirmed in this round yet.
func (n *Node) retryRound(now time.Time, h *holder) {
	h.round.retryAt = now.Add(n.params.ConfirmRetry)
	for _, vm := range h.sets.all() {
		if a := h.acks[vm]; a.seq <= h.round.startSeq {
			n.queueClaim(now, vm, h, n.claimKindFor(h, vm))
		}
	}
}

// nearestMajority returns a majority of the voters: this router first, then
// those that granted recently, nearest first. When several voter sets count, it
// returns all voters whose grants count.
func (n *Node) nearestMajority(now time.Time, h *holder) []fleet.VM {
	all := h.sets.all()
	if len(h.sets.sets) > 1 {
		return slices.DeleteFunc(all, func(vm fleet.VM) bool { return n.claimKindFor(h, vm) != ClaimRenew })
	}
	slices.SortStableFunc(all, func(a, b fleet.VM) int { return n.voterPriority(now, h, a) - n.voterPriority(now, h, b) })
	return all[:quorum(len(all))]
}

// voterPriority returns the sort key for asking voters, lowest first.
func (n *Node) voterPriority(now time.Time, h *holder, vm fleet.VM) int {
	a, ok := h.acks[vm]
	switch {
	case !ok || a.provisionalSeq != 0:
		return 3
	case vm == n.self:
		return 0
	case now.Sub(a.sentAt) < n.params.Lease/2:
		return 1
	default:
		return 2
	}
}
