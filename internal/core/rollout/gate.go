package rollout

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// spendTime is the time over which a router spends a grant: it must be over before the
	// next reply, or others wait for what this one does not use.
	spendTime = 400 * time.Millisecond
	// maxDrawShare is the highest share of requests that a canary draws for the new version.
	maxDrawShare = 0.5
)

// Rule says to which versions one send may go.
type Rule struct {
	// only is the one version that may be chosen, if exact is true.
	only  string
	exact bool
	// without are the versions that may not be chosen.
	without []string
	// Reserved is true if a grant is held for the send, toOld if it may begin at an old version,
	// which counts as under way. The rule must be used or given back.
	Reserved bool
	toOld    bool
}

// Allows reports whether a target of a version may be chosen.
func (r *Rule) Allows(version string) bool {
	if r.exact {
		return version == r.only
	}
	return !slices.Contains(r.without, version)
}

// Restricts reports whether the rule excludes any version.
func (r *Rule) Restricts() bool { return r.exact || len(r.without) > 0 }

// Gate is what a router knows of the roll-out of a service, and decides where its requests may
// go. A router that hears nothing sends nothing to the new version.
type Gate struct {
	order Order
	rng   *rand.Rand
	// reply is the last one that counts, and validUntil the time until which its grant and
	// its phase Cutover do.
	reply Reply
	heard bool
	// excluded are versions that get nothing, until a reply names others.
	excluded   []string
	validUntil time.Time
	// sent and new count sends since the order, reserved grants that are held.
	// pending counts rules that allow the old versions and were not used yet.
	sent, new, reserved, pending int64
	// withdrawn is true once the order was deleted: nothing goes to the new version then.
	withdrawn bool
	// rate is the number of requests a second.
	rate     float64
	ratedAt  time.Time
	sentThen int64
}

// NewGate returns the gate of a router that has just learned of an order.
func NewGate(now time.Time, order Order, rng *rand.Rand) *Gate {
	return &Gate{order: order, rng: rng, ratedAt: now}
}

// Order returns the order.
func (g *Gate) Order() Order { return g.order }

// Withdraw records that the order was deleted.
func (g *Gate) Withdraw() { g.withdrawn = true }

// Withdrawn reports whether the order was deleted.
func (g *Gate) Withdrawn() bool { return g.withdrawn }

// Opens reports whether a send under a rule may still begin at the new version. A request may have
// waited for a target since the rule was made.
func (g *Gate) Opens(now time.Time, r Rule) bool {
	switch {
	case g.ended(Done) || g.CuttingOver(now):
		return true
	default:
		return r.Reserved && g.heard && !g.withdrawn && g.reply.Phase == Canary && now.Before(g.validUntil)
	}
}

// Reply returns the last reply that counts, and whether there is one.
func (g *Gate) Reply() (Reply, bool) { return g.reply, g.heard }

// ended reports whether the roll-out is known to have ended in a phase.
func (g *Gate) ended(p Phase) bool { return g.heard && g.reply.Phase == p }

// Counts returns the requests of the service and those to the new version since the order.
func (g *Gate) Counts() (sent, toNew int64) { return g.sent, g.new }

// Take takes a reply to a report that was sent at a given time. One of an earlier controller, or
// that was overtaken, counts no more. It returns false if the reply is not taken.
func (g *Gate) Take(askedAt time.Time, r *Reply) bool {
	if !g.order.Same(r.Order) {
		return false
	}
	if g.heard && (r.Term < g.reply.Term || r.Term == g.reply.Term && r.Seq <= g.reply.Seq) {
		return false
	}
	if g.heard && g.reply.Phase.Final() && r.Phase != g.reply.Phase {
		return false // what has ended stays so
	}
	g.reply, g.heard, g.excluded = *r, true, r.Excluded
	g.validUntil = askedAt.Add(time.Duration(r.ValidMs) * time.Millisecond)
	return true
}

// CuttingOver reports whether new requests go to the new version now.
func (g *Gate) CuttingOver(now time.Time) bool {
	return g.heard && !g.withdrawn && g.reply.Phase == Cutover && now.Before(g.validUntil)
}

// Left returns the number of requests that may be sent to the new version now.
func (g *Gate) Left(now time.Time) int64 {
	if !g.heard || g.withdrawn || g.reply.Phase != Canary || !now.Before(g.validUntil) {
		return 0
	}
	return max(g.reply.Limit-g.new-g.reserved, 0)
}

// Rule returns where the next send may go. pinned is the version at which a stream must go on,
// empty for a request that may begin anywhere.
func (g *Gate) Rule(now time.Time, pinned string) Rule {
	switch {
	case g.heard && g.reply.Phase == Done:
		return g.allExcept(g.reply.Base...)
	case g.CuttingOver(now):
		if pinned != "" && !g.reply.Closed {
			return g.beginsOld(g.allExcept())
		}
		return g.allExcept(g.reply.Base...)
	}
	left := g.Left(now)
	if left == 0 || pinned != "" && pinned != g.order.To {
		return g.OldOnly()
	}
	if pinned == "" && g.rng.Float64() >= g.drawShare(now, left) {
		return g.OldOnly()
	}
	g.reserved++
	return Rule{only: g.order.To, exact: true, Reserved: true}
}

// drawShare returns the share of requests that are drawn for the new version, so that a grant is
// used up within spendTime at random.
func (g *Gate) drawShare(now time.Time, left int64) float64 {
	if elapsed := now.Sub(g.ratedAt); elapsed >= rateWindow {
		g.rate = float64(g.sent-g.sentThen) / elapsed.Seconds()
		g.ratedAt, g.sentThen = now, g.sent
	}
	expected := max(g.rate*spendTime.Seconds(), 1)
	return min(float64(left)/expected, maxDrawShare)
}

// OldOnly returns the rule for a send for which no target of the new version can be chosen.
func (g *Gate) OldOnly() Rule { return g.beginsOld(g.allExcept(g.order.To)) }

// beginsOld counts a rule that allows the old versions.
func (g *Gate) beginsOld(r Rule) Rule {
	g.pending++
	r.toOld = true
	return r
}

// allExcept returns a rule that excludes versions beside those that get nothing in any phase.
func (g *Gate) allExcept(versions ...string) Rule {
	return Rule{without: append(slices.Clone(g.excluded), versions...)}
}

// Release gives a rule back.
func (g *Gate) Release(r Rule) {
	if r.Reserved {
		g.reserved--
	}
	if r.toOld {
		g.pending--
	}
}

// Started records a send to a version under a rule.
func (g *Gate) Started(r Rule, version string) {
	g.Release(r)
	g.sent++
	if version == g.order.To {
		g.new++
	}
}
