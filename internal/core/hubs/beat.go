package hubs

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// MaxRelayedAge is the most that a figure which came along the tree is old while
// all routers talk: guard, gather and Period, two ways between data centres and
// some to spare.
const MaxRelayedAge = 450 * time.Millisecond

const (
	// DigestPeriod is the time between a router's digests. Requests run for about a
	// second, so that four digests see each of them.
	DigestPeriod = 250 * time.Millisecond
	// guard is how long before its hub's digest a member sends its own: a few
	// round trips within a data centre.
	guard = 60 * time.Millisecond
	// gather is how long after its digest to the other hubs a hub sends the sum
	// to its members: a round trip between data centres and some to spare.
	gather = 50 * time.Millisecond
	// slip is how long a hub waits for a late digest of the lead.
	slip = 50 * time.Millisecond
	// spacing is the least time between two digests of a router, whatever it
	// hears.
	spacing = DigestPeriod / 2
)

// DigestTimer tells a router when to send its digests. Along a tree a figure waits at
// each hop, for half a period on average when every router keeps its own time.
// So all follow the lead, one of the hubs: hubs send when it does, the sums go
// to the members when those of the other data centres are there, and members
// send so that theirs arrive just before the next round. A router that hears
// nothing goes on at its own period.
type DigestTimer struct {
	tree *Tree
	// sent is the time of the last digest, next that of the coming one, and sum
	// that of a hub's digest to its members, zero for none.
	sent time.Time
	next time.Time
	sum  time.Time
}

// NewDigestTimer returns the beat of a router that starts now.
func NewDigestTimer(now time.Time, tree *Tree) *DigestTimer {
	return &DigestTimer{tree: tree, next: now.Add(DigestPeriod)}
}

// SetTree takes new paths.
func (b *DigestTimer) SetTree(tree *Tree) {
	b.tree = tree
	if !tree.IsHub() {
		b.sum = time.Time{}
	}
}

// NextDue returns the time at which something is due.
func (b *DigestTimer) NextDue() time.Time {
	if !b.sum.IsZero() && b.sum.Before(b.next) {
		return b.sum
	}
	return b.next
}

// Due is what a router sends now.
type Due struct {
	// Own is its digest: to all in a mesh, to the hub, or from hub to hub.
	Own bool
	// Sum is a hub's digest to its members.
	Sum bool
}

// TakeDue returns what is due and plans the next digests.
func (b *DigestTimer) TakeDue(now time.Time) Due {
	var due Due
	if !b.sum.IsZero() && !now.Before(b.sum) {
		due.Sum = true
		b.sum = time.Time{}
	}
	if now.Before(b.next) {
		return due
	}
	due.Own = true
	b.sent = now
	b.next = now.Add(DigestPeriod)
	if b.tree.IsHub() {
		b.sum = now.Add(gather)
		if !b.tree.leads() {
			b.next = b.next.Add(slip)
		}
	}
	return due
}

// DigestReceived takes the arrival of another router's digest and reports whether that
// changes when the next one is due.
func (b *DigestTimer) DigestReceived(now time.Time, from fleet.VM) bool {
	switch {
	case b.tree.IsHub() && from == b.tree.lead:
		return b.plan(now)
	case b.tree.Parent() == from && from != "":
		return b.plan(now.Add(DigestPeriod - gather - guard))
	}
	return false
}

// plan moves the next digest, but not too close to the last one.
func (b *DigestTimer) plan(next time.Time) bool {
	if next.Before(b.sent.Add(spacing)) {
		return false
	}
	b.next = next
	return true
}
