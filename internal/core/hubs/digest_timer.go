package hubs

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// MaxRelayedAge is the greatest age of a load relayed through hubs while all routers
// send their digests: memberLeadTime, sumDelay and DigestPeriod, two transfers
// between data centres, and a margin.
const MaxRelayedAge = 450 * time.Millisecond

const (
	// DigestPeriod is the time between a router's digests. Requests run for
	// about a second, so that about four digests include each of them.
	DigestPeriod = 250 * time.Millisecond
	// memberLeadTime is how long before its hub's digest a member sends its
	// own: a few round trips within a data centre.
	memberLeadTime = 60 * time.Millisecond
	// sumDelay is the time from a hub's digest to the other hubs until it sends
	// the sum to its members: a round trip between data centres and a margin.
	sumDelay = 50 * time.Millisecond
	// leadGrace is how long the other hubs wait for a late digest of the lead
	// hub before they send their own.
	leadGrace = 50 * time.Millisecond
	// minDigestInterval is the least time between two digests of a router,
	// whatever it receives.
	minDigestInterval = DigestPeriod / 2
)

// DigestTimer determines when a router sends its digests. If every router kept its
// own time, a load would wait half a period on average at each hop through the
// hubs. All routers therefore synchronise with one of the hubs, the lead: the other
// hubs send when it does, each hub sends the sum to its members once the digests of
// the other data centres have arrived, and members send so that their digests
// arrive just before the next round. A router that receives nothing sends once per
// period.
type DigestTimer struct {
	tree *Tree
	// lastSent is the time of the last digest, nextDigest that of the next one,
	// and nextSum that of a hub's next sum to its members, zero if none is due.
	lastSent   time.Time
	nextDigest time.Time
	nextSum    time.Time
}

// NewDigestTimer returns the timer of a router that starts at now. Its first digest
// is due one period later.
func NewDigestTimer(now time.Time, tree *Tree) *DigestTimer {
	return &DigestTimer{tree: tree, nextDigest: now.Add(DigestPeriod)}
}

// SetTree replaces the dissemination tree.
func (t *DigestTimer) SetTree(tree *Tree) {
	t.tree = tree
	if !tree.IsHub() {
		t.nextSum = time.Time{}
	}
}

// NextDue returns the time at which the next digest or sum is due.
func (t *DigestTimer) NextDue() time.Time {
	if !t.nextSum.IsZero() && t.nextSum.Before(t.nextDigest) {
		return t.nextSum
	}
	return t.nextDigest
}

// Due tells what a router has to send now.
type Due struct {
	// Own is the router's own digest: to all routers of a mesh, from a member to
	// its hub, or from a hub to the other hubs.
	Own bool
	// Sum is a hub's digest of all loads to its members.
	Sum bool
}

// TakeDue returns what is due and schedules the next digests.
func (t *DigestTimer) TakeDue(now time.Time) Due {
	var due Due
	if !t.nextSum.IsZero() && !now.Before(t.nextSum) {
		due.Sum = true
		t.nextSum = time.Time{}
	}
	if now.Before(t.nextDigest) {
		return due
	}
	due.Own = true
	t.lastSent = now
	t.nextDigest = now.Add(DigestPeriod)
	if t.tree.IsHub() {
		t.nextSum = now.Add(sumDelay)
		if !t.tree.isLead() {
			t.nextDigest = t.nextDigest.Add(leadGrace)
		}
	}
	return due
}

// DigestReceived records the arrival of another router's digest and reports whether
// that changes when the next one is due.
func (t *DigestTimer) DigestReceived(now time.Time, from fleet.VM) bool {
	switch {
	case t.tree.IsHub() && from == t.tree.leadHub:
		return t.reschedule(now)
	case t.tree.Parent() == from && from != "":
		return t.reschedule(now.Add(DigestPeriod - sumDelay - memberLeadTime))
	}
	return false
}

// reschedule moves the next digest, unless that is too close to the last one.
func (t *DigestTimer) reschedule(next time.Time) bool {
	if next.Before(t.lastSent.Add(minDigestInterval)) {
		return false
	}
	t.nextDigest = next
	return true
}
