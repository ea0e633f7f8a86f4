package ownership

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// voter grants resources to holders. The state of a grant changes as follows:
//
//	none    -> granted   a claim arrives and the voter does not abstain
//	granted -> granted   the holder renews
//	granted -> released  the holder gives the resource back
//	granted -> granted   another router claims after expiry and drift margin, or a
//	                     newer process of the holder claims
type voter struct {
	params    Params
	startedAt time.Time
	grants    map[ID]*grant
}

// grant is what a voter has granted for one resource, and what it knows about
// the work behind it.
type grant struct {
	holder   fleet.VM
	process  Process
	seq      uint64
	term     uint64
	released bool
	// sets are the voter sets of the holder's last granted claim.
	sets []VoterSetHash
	// currentComplete is true if the voter granted the holder's term from its
	// beginning or the holder released the resource to it. The term counts only
	// once it was renewed or released here. previousComplete says the same of
	// the term before.
	currentComplete  bool
	renewed          bool
	previousComplete bool
	expires          time.Time
	// ownWork is the work that the holder reported. inheritedWork is that of
	// earlier holders, kept until the holder's own report includes it.
	ownWork       backlog
	inheritedWork backlog
}

// backlog is a number of requests that may run until a deadline. Of these,
// pending may not have reached the target before pendingUntil.
type backlog struct {
	count        uint32
	deadline     time.Time
	pending      uint32
	pendingUntil time.Time
}

// merge combines two backlogs that may describe the same requests: the larger
// counts with the later deadlines. A backlog that has ended is ignored.
func (b backlog) merge(other backlog, now time.Time) backlog {
	switch {
	case b.ended(now):
		return other
	case other.ended(now):
		return b
	}
	return backlog{
		count:        max(b.count, other.count),
		deadline:     later(b.deadline, other.deadline),
		pending:      max(b.pending, other.pending),
		pendingUntil: later(b.pendingUntil, other.pendingUntil),
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ended reports whether all of the work has ended by now.
func (b backlog) ended(now time.Time) bool { return b.count == 0 || !now.Before(b.deadline) }

// newVoter returns a voter without grants. startedAt is the start of the
// process.
func newVoter(params Params, startedAt time.Time) *voter {
	return &voter{params: params, startedAt: startedAt, grants: make(map[ID]*grant)}
}

// voterContext is what the voter knows about the site when a claim arrives:
// whether the VM list was read, whether all routers agree on it, and the voter
// sets of the resource.
type voterContext struct {
	hasList bool
	agreed  bool
	sets    *voterSets
}

// handle answers one claim and records its voter sets if it was granted.
func (v *voter) handle(now time.Time, from fleet.VM, req *Request, c Claim, vc voterContext) Vote {
	out := v.decide(now, from, req, c, vc)
	if out.Code == Granted && c.Kind == ClaimRenew {
		out = Vote{Code: Granted}
	} else {
		out.History = v.history(now)
	}
	if g := v.grants[c.ID]; out.Code == Granted && c.Kind != ClaimRelease {
		if c.VoterSets == nil {
			c.VoterSets = g.sets
		}
		g.sets = c.VoterSets
	}
	if vc.sets != nil {
		out.MissingVoterSets = vc.sets.unlisted(c.VoterSets)
	}
	return out
}

// decide grants or refuses one claim.
func (v *voter) decide(now time.Time, from fleet.VM, req *Request, c Claim, vc voterContext) Vote {
	g := v.grants[c.ID]
	fromHolder := g != nil && g.holder == from && g.process == req.Process
	if fromHolder && req.Seq <= g.seq {
		return Vote{Code: Stale}
	}
	listed := c.VoterSets
	if fromHolder && listed == nil {
		listed = g.sets
	}
	switch {
	case c.Kind == ClaimRenew && vc.sets != nil && vc.sets.reliesOnDropped(listed):
		return Vote{Code: Abstained, RetryMS: milliseconds(v.params.Lease)}
	case c.Kind == ClaimRelease:
		return v.release(now, g, fromHolder, req, c)
	case fromHolder && !g.released:
		if c.startsTerm() {
			g.previousComplete, g.currentComplete, g.renewed = g.lastTermComplete(), true, false
		}
		return v.renew(now, g, req, c)
	case v.abstains(now, c, vc), c.Kind == ClaimRenew && !v.uninterrupted(now, g, c):
		return Vote{Code: Abstained, RetryMS: milliseconds(v.retryDelay(now))}
	case g != nil && !v.available(now, g, from, req):
		wait := g.expires.Add(v.params.DriftMargin).Sub(now)
		return Vote{Code: Held, Holder: g.holder, RetryMS: milliseconds(wait), Term: g.term}
	}
	next := v.replaceGrant(now, g, from, req, c.ID)
	next.currentComplete = c.startsTerm()
	return v.renew(now, next, req, c)
}

// lastTermComplete reports whether the voter has the complete history of the
// last term that it knows of.
func (g *grant) lastTermComplete() bool {
	if g.renewed {
		return g.currentComplete
	}
	return g.previousComplete
}

// startsTerm reports whether the claim asks for a new term. A holder that asks
// a voter for its first grant in the middle of a term sends the number of the
// term.
func (c *Claim) startsTerm() bool { return c.Kind == ClaimAcquire && c.Term == 0 }

// uninterrupted reports whether the voter can tell that no other router held
// the resource since the term of the claim began. A holder that was paused may
// try to renew a term that ended long ago.
func (v *voter) uninterrupted(now time.Time, g *grant, c Claim) bool {
	if g == nil {
		return v.history(now) == HistoryComplete
	}
	return c.Term > g.term
}

// history tells what the voter may have forgotten, from the time since it
// started.
func (v *voter) history(now time.Time) History {
	age := now.Sub(v.startedAt) - v.params.Lease - v.params.DriftMargin
	switch {
	case age > v.params.MaxRunTime:
		return HistoryComplete
	case age > v.params.MaxPause:
		return HistoryDispatched
	default:
		return HistoryPartial
	}
}

// abstains reports whether the voter may have forgotten a grant or, for a new
// term, may not know voter sets that were replaced before it started.
func (v *voter) abstains(now time.Time, c Claim, vc voterContext) bool {
	age := now.Sub(v.startedAt)
	if !vc.hasList || age < v.params.Lease+v.params.DriftMargin {
		return true
	}
	return c.startsTerm() && age < v.params.VoterSetRetention && !vc.agreed
}

// retryDelay returns the time after which a claim may succeed that the voter
// abstained from.
func (v *voter) retryDelay(now time.Time) time.Duration {
	age := now.Sub(v.startedAt)
	return max(v.params.Lease+v.params.DriftMargin-age, v.params.Lease/4)
}

// available reports whether a grant no longer prevents one to the sender.
func (v *voter) available(now time.Time, g *grant, from fleet.VM, req *Request) bool {
	if g.released || (g.holder == from && req.Process.After(g.process)) {
		return true
	}
	return now.After(g.expires.Add(v.params.DriftMargin))
}

// replaceGrant replaces the grant of a resource with one to a new holder, which
// inherits the work of the previous holders.
func (v *voter) replaceGrant(now time.Time, old *grant, from fleet.VM, req *Request, id ID) *grant {
	g := &grant{holder: from, process: req.Process}
	if old != nil {
		g.term = old.term
		g.previousComplete = old.lastTermComplete()
		g.inheritedWork = old.ownWork.merge(old.inheritedWork, now)
	}
	v.grants[id] = g
	return g
}

// renew extends a grant, records the work reported with the claim, and returns
// the vote with the inherited work.
func (v *voter) renew(now time.Time, g *grant, req *Request, c Claim) Vote {
	g.seq = req.Seq
	g.expires = now.Add(v.params.Lease)
	if c.Kind == ClaimRenew {
		g.ownWork = v.backlog(now.Add(v.params.Lease+v.params.DriftMargin), c)
		g.inheritedWork = backlog{}
		g.term = max(g.term, c.Term)
		g.renewed = true
	} else {
		// The sender does not know what it or others admitted before.
		g.inheritedWork = g.ownWork.merge(g.inheritedWork, now)
		g.ownWork = backlog{}
	}
	out := Vote{Code: Granted, Term: g.term, TermComplete: g.previousComplete}
	if !g.inheritedWork.ended(now) {
		out.Residual = g.inheritedWork.count
		out.ResidualMS = milliseconds(g.inheritedWork.deadline.Sub(now))
		if g.inheritedWork.pendingUntil.After(now) {
			out.Pending = g.inheritedWork.pending
			out.PendingMS = milliseconds(g.inheritedWork.pendingUntil.Sub(now))
		}
	}
	return out
}

// backlog returns the work of a claim whose sender admits nothing more after
// end. Pending work may start up to MaxPause later.
func (v *voter) backlog(end time.Time, c Claim) backlog {
	b := backlog{count: c.MaxInFlight, deadline: end.Add(v.params.MaxRunTime)}
	if c.Pending > 0 {
		b.pending = c.Pending
		b.pendingUntil = end.Add(v.params.MaxPause)
		b.deadline = b.pendingUntil.Add(v.params.MaxRunTime)
	}
	return b
}

// release ends a grant and records the work that still runs.
func (v *voter) release(now time.Time, g *grant, fromHolder bool, req *Request, c Claim) Vote {
	if !fromHolder {
		return Vote{Code: Stale}
	}
	g.seq = req.Seq
	g.released = true
	if c.Term > 0 {
		g.currentComplete, g.renewed = true, true
		g.term = max(g.term, c.Term)
		g.ownWork = v.backlog(now, c)
		g.inheritedWork = backlog{}
	}
	return Vote{Code: Granted, Term: g.term}
}

// prune removes grants that no longer matter, because all work of their holders
// and of those before has ended. Grants are kept longer than the lease because
// a holder may return to a voter that it has not asked for a while, and the
// voter must still know its term.
func (v *voter) prune(now time.Time) {
	keep := v.params.Lease + v.params.DriftMargin + v.params.MaxPause + v.params.MaxRunTime
	for id, g := range v.grants {
		if now.Sub(g.expires) > keep {
			delete(v.grants, id)
		}
	}
}
