package ownership

import (
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// advance begins, widens and ends confirmation rounds.
func (n *Node) advance(now time.Time, h *holder) {
	for {
		if h.confirmed(now) && h.holds(now, n.params) {
			n.emit(Event{Kind: Confirmed, ID: h.id, Term: h.term, Confirmations: h.round.tickets})
			h.round = round{}
		}
		if h.round.active() {
			if !now.Before(h.round.askAt) {
				n.askAgain(now, h)
			}
			return
		}
		if len(h.waiting) == 0 {
			return
		}
		n.beginRound(now, h)
		if h.round.active() {
			return
		}
	}
}

// beginRound asks the nearest voters that make a majority with this router.
func (n *Node) beginRound(now time.Time, h *holder) {
	n.flushTo(now)
	h.round = round{tickets: h.waiting, after: n.seq, askAt: now.Add(n.params.ConfirmRetry)}
	h.waiting = nil
	for _, vm := range n.nearestMajority(now, h) {
		n.claim(now, vm, h, ClaimRenew)
	}
	n.flushTo(now)
}

func (n *Node) askAgain(now time.Time, h *holder) {
	h.round.askAt = now.Add(n.params.ConfirmRetry)
	for _, vm := range h.sets.all() {
		if a := h.acks[vm]; a.seq <= h.round.after {
			n.claim(now, vm, h, n.renewKind(h, vm))
		}
	}
}

// nearestMajority returns voters that have granted lately and suffice for a
// majority, this router first; all voters when several sets count.
func (n *Node) nearestMajority(now time.Time, h *holder) []fleet.VM {
	all := h.sets.all()
	if len(h.sets.sets) > 1 {
		return slices.DeleteFunc(all, func(vm fleet.VM) bool { return n.renewKind(h, vm) != ClaimRenew })
	}
	slices.SortStableFunc(all, func(a, b fleet.VM) int { return n.askOrder(now, h, a) - n.askOrder(now, h, b) })
	return all[:quorum(len(all))]
}

// askOrder sorts voters: this router, then those that granted lately.
func (n *Node) askOrder(now time.Time, h *holder, vm fleet.VM) int {
	a, ok := h.acks[vm]
	switch {
	case !ok || a.introduced != 0:
		return 3
	case vm == n.self:
		return 0
	case now.Sub(a.sentAt) < n.params.Lease/2:
		return 1
	default:
		return 2
	}
}
