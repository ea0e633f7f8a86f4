package ownership

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// voter grants resources to holders.
//
//	none   -> granted   a claim arrives and the voter doesn't abstain
//	granted -> granted  its holder renews
//	granted -> released its holder gives it back
//	granted -> granted  another claims after lapse and margin, or a newer
//	                    process of the holder claims
type voter struct {
	params Params
	booted time.Time
	grants map[ID]*grant
}

type grant struct {
	holder   fleet.VM
	process  Process
	seq      uint64
	term     uint64
	released bool
	// sets are those that the holder's last claim counts.
	sets []VoterSetHash
	// whole is true when the tenure of the present holder was granted here from
	// its beginning or was given back here, and complete when that was so of
	// the last tenure before. The present one counts once it was renewed.
	whole    bool
	renewed  bool
	complete bool
	expires  time.Time
	// work is what the holder's own work may amount to, inherited that of
	// earlier holders while this one has not said that its own includes it.
	work      backlog
	inherited backlog
}

// backlog is an amount of work that may run until a deadline.
type backlog struct {
	count   uint32
	until   time.Time
	pending uint32
	settled time.Time
}

// join returns the larger count of two backlogs that still matter at now, with
// the later deadline.
func (b backlog) join(other backlog, now time.Time) backlog {
	switch {
	case b.over(now):
		return other
	case other.over(now):
		return b
	}
	return backlog{
		count:   max(b.count, other.count),
		until:   later(b.until, other.until),
		pending: max(b.pending, other.pending),
		settled: later(b.settled, other.settled),
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// over reports whether all of the work has ended by now.
func (b backlog) over(now time.Time) bool { return b.count == 0 || !now.Before(b.until) }

func newVoter(params Params, booted time.Time) *voter {
	return &voter{params: params, booted: booted, grants: make(map[ID]*grant)}
}

// electorate is what the voter knows of the site when a claim arrives.
type electorate struct {
	hasList bool
	agreed  bool
	sets    *voterSets
}

// handle answers one claim.
func (v *voter) handle(now time.Time, from fleet.VM, req *Request, c Claim, e electorate) Vote {
	out := v.decide(now, from, req, c, e)
	if out.Code == Granted && c.Kind == ClaimRenew {
		out = Vote{Code: Granted}
	} else {
		out.History = v.memory(now)
	}
	if g := v.grants[c.ID]; out.Code == Granted && c.Kind != ClaimRelease {
		if c.VoterSets == nil {
			c.VoterSets = g.sets
		}
		g.sets = c.VoterSets
	}
	if e.sets != nil {
		out.MissingVoterSets = e.sets.missing(c.VoterSets)
	}
	return out
}

func (v *voter) decide(now time.Time, from fleet.VM, req *Request, c Claim, e electorate) Vote {
	g := v.grants[c.ID]
	own := g != nil && g.holder == from && g.process == req.Process
	if own && req.Seq <= g.seq {
		return Vote{Code: Stale}
	}
	known := c.VoterSets
	if own && known == nil {
		known = g.sets
	}
	switch {
	case c.Kind == ClaimRenew && e.sets != nil && e.sets.outdated(known):
		return Vote{Code: Abstained, RetryMS: milliseconds(v.params.Lease)}
	case c.Kind == ClaimRelease:
		return v.release(now, g, own, req, c)
	case own && !g.released:
		if c.begins() {
			g.complete, g.whole, g.renewed = g.remembered(), true, false
		}
		return v.renew(now, g, req, c)
	case v.abstains(now, c, e), c.Kind == ClaimRenew && !v.witnessed(now, g, c):
		return Vote{Code: Abstained, RetryMS: milliseconds(v.abstention(now))}
	case g != nil && !v.free(now, g, from, req):
		wait := g.expires.Add(v.params.DriftMargin).Sub(now)
		return Vote{Code: Held, Holder: g.holder, RetryMS: milliseconds(wait), Term: g.term}
	}
	next := v.switchTo(now, g, from, req, c.ID)
	next.whole = c.begins()
	return v.renew(now, next, req, c)
}

// remembered reports whether the voter remembers the whole of the last tenure
// that it knows of.
func (g *grant) remembered() bool {
	if g.renewed {
		return g.whole
	}
	return g.complete
}

// begins reports whether a claim asks for a new tenure. A holder that asks a
// voter for its first grant in the middle of a tenure names the term.
func (c *Claim) begins() bool { return c.Kind == ClaimAcquire && c.Term == 0 }

// witnessed reports whether the voter can tell that the tenure which a claim
// renews was not interrupted by another holder. A holder that was paused may
// believe in a tenure that ended long ago.
func (v *voter) witnessed(now time.Time, g *grant, c Claim) bool {
	if g == nil {
		return v.memory(now) == HistoryComplete
	}
	return c.Term > g.term
}

func (v *voter) memory(now time.Time) History {
	age := now.Sub(v.booted) - v.params.Lease - v.params.DriftMargin
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
// tenure, may not know of voters that were replaced before it started.
func (v *voter) abstains(now time.Time, c Claim, e electorate) bool {
	age := now.Sub(v.booted)
	if !e.hasList || age < v.params.Lease+v.params.DriftMargin {
		return true
	}
	return c.begins() && age < v.params.VoterSetRetention && !e.agreed
}

// abstention returns the time after which asking again makes sense.
func (v *voter) abstention(now time.Time) time.Duration {
	age := now.Sub(v.booted)
	return max(v.params.Lease+v.params.DriftMargin-age, v.params.Lease/4)
}

// free reports whether a grant no longer binds the voter.
func (v *voter) free(now time.Time, g *grant, from fleet.VM, req *Request) bool {
	if g.released || (g.holder == from && req.Process.After(g.process)) {
		return true
	}
	return now.After(g.expires.Add(v.params.DriftMargin))
}

func (v *voter) switchTo(now time.Time, old *grant, from fleet.VM, req *Request, id ID) *grant {
	g := &grant{holder: from, process: req.Process}
	if old != nil {
		g.term = old.term
		g.complete = old.remembered()
		g.inherited = old.work.join(old.inherited, now)
	}
	v.grants[id] = g
	return g
}

func (v *voter) renew(now time.Time, g *grant, req *Request, c Claim) Vote {
	g.seq = req.Seq
	g.expires = now.Add(v.params.Lease)
	if c.Kind == ClaimRenew {
		g.work = v.backlog(now.Add(v.params.Lease+v.params.DriftMargin), c)
		g.inherited = backlog{}
		g.term = max(g.term, c.Term)
		g.renewed = true
	} else {
		// The sender does not know what it or others admitted before.
		g.inherited = g.work.join(g.inherited, now)
		g.work = backlog{}
	}
	out := Vote{Code: Granted, Term: g.term, TermComplete: g.complete}
	if !g.inherited.over(now) {
		out.Residual = g.inherited.count
		out.ResidualMS = milliseconds(g.inherited.until.Sub(now))
		if g.inherited.settled.After(now) {
			out.Pending = g.inherited.pending
			out.PendingMS = milliseconds(g.inherited.settled.Sub(now))
		}
	}
	return out
}

// backlog returns the work of a claim whose sender admits no more from end on.
// Pending work may begin as late as the pause limit allows.
func (v *voter) backlog(end time.Time, c Claim) backlog {
	b := backlog{count: c.MaxInFlight, until: end.Add(v.params.MaxRunTime)}
	if c.Pending > 0 {
		b.pending = c.Pending
		b.settled = end.Add(v.params.MaxPause)
		b.until = b.settled.Add(v.params.MaxRunTime)
	}
	return b
}

func (v *voter) release(now time.Time, g *grant, own bool, req *Request, c Claim) Vote {
	if !own {
		return Vote{Code: Stale}
	}
	g.seq = req.Seq
	g.released = true
	if c.Term > 0 {
		g.whole, g.renewed = true, true
		g.term = max(g.term, c.Term)
		g.work = v.backlog(now, c)
		g.inherited = backlog{}
	}
	return Vote{Code: Granted, Term: g.term}
}

// prune forgets grants that can no longer matter: all that their holders and
// those before admitted has ended. A holder may come back to a voter that it
// has not asked for long, which then still knows its tenure.
func (v *voter) prune(now time.Time) {
	keep := v.params.Lease + v.params.DriftMargin + v.params.MaxPause + v.params.MaxRunTime
	for id, g := range v.grants {
		if now.Sub(g.expires) > keep {
			delete(v.grants, id)
		}
	}
}
