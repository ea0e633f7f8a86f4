// Package ratelimit keeps the request rates that targets name as their limit, and
// divides each of them among all routers.
//
// A target in need names in its responses how many requests a second it takes from all
// routers together. Its load comes in slivers: hundreds of routers each send it less
// than the limit, and their sum is many times as much. A share of the limit for each
// router would be of no use either, as one of two requests a second among a hundred
// routers is one request in a minute, whoever has a request for the target. One router
// therefore grants the requests to a target one by one, to whichever router asks.
package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Process is one process of a target, distinguished from earlier ones by the low bits
// of its Born value.
type Process struct {
	Target fleet.Ref
	Born   uint32
}

// Report is what is known of the limit of a target's process.
type Report struct {
	Process Process
	// Limited is true if the process names a limit, and Rate is that limit in requests
	// a second.
	Limited bool
	Rate    float64
	// At is the time of the response that the report is from. For a response without
	// a limit it is the time at which its request was sent.
	At time.Time
}

// MaxReportAge is the age up to which reports are exchanged and the end of a limit is
// remembered.
const MaxReportAge = 10 * time.Second

const (
	// announceInterval is the time after which a limit that still holds is announced
	// again, for routers that missed it or have started since.
	announceInterval = time.Second
	// unconfirmedTTL is the time after which a limit is dropped that no response has
	// confirmed.
	unconfirmedTTL = 10 * time.Minute
)

// Tracker holds the limits of targets, from their responses to this router and from the
// reports of other routers. It is not safe for concurrent use.
type Tracker struct {
	entries map[Process]*entry
}

// entry is the state of one process.
type entry struct {
	report Report
	// announcedAt is the time at which the limit was last announced by any router, and
	// due is true if this router has to announce it.
	announcedAt time.Time
	due         bool
}

// New returns a tracker without limits.
func New() *Tracker { return &Tracker{entries: make(map[Process]*entry)} }

// Limit returns the limit of a process in requests a second, and false if it names none.
func (t *Tracker) Limit(p Process) (float64, bool) {
	e, ok := t.entries[p]
	if !ok || !e.report.Limited {
		return 0, false
	}
	return e.report.Rate, true
}

// Report returns what is known of the limit of a process, and false if nothing is.
func (t *Tracker) Report(p Process) (Report, bool) {
	e, ok := t.entries[p]
	if !ok {
		return Report{}, false
	}
	return e.report, true
}

// Named records a response that names a limit, and reports whether that changes the
// limit.
func (t *Tracker) Named(now time.Time, p Process, rate float64) bool {
	return t.update(now, Report{Process: p, Limited: true, Rate: rate, At: now}, true)
}

// NotNamed records a response without a limit to a request that was sent at sentAt, and
// reports whether that ends the limit. A request that was under way when the limit was
// named does not.
func (t *Tracker) NotNamed(now time.Time, p Process, sentAt time.Time) bool {
	if _, limited := t.Limit(p); !limited {
		return false
	}
	return t.update(now, Report{Process: p, At: sentAt}, true)
}

// Reported applies the report of another router, and reports whether that changes the
// limit.
func (t *Tracker) Reported(now time.Time, r Report) bool { return t.update(now, r, false) }

// update applies a report unless a later one is known:
//
//	none or ended  -> limited   a response, or a report of one, names a limit
//	limited        -> limited   the same, with this or another rate
//	limited        -> ended     a response to a request sent after the limit was last
//	                            named, or a report of one, names none
func (t *Tracker) update(now time.Time, r Report, own bool) (changed bool) {
	e, ok := t.entries[r.Process]
	if !ok {
		if now.Sub(r.At) > MaxReportAge {
			return false
		}
		e = new(entry)
		t.entries[r.Process] = e
	} else if !r.At.After(e.report.At) {
		return false
	}
	changed = e.report.Limited != r.Limited || e.report.Rate != r.Rate
	e.report = r
	switch {
	case !own:
		e.due = false
		e.announcedAt = now
	case changed || r.Limited && now.Sub(e.announcedAt) >= announceInterval:
		e.due = true
	}
	return changed
}

// TakeDue returns the reports that this router has to announce.
func (t *Tracker) TakeDue(now time.Time) []Report {
	var out []Report
	for _, e := range t.entries {
		if e.due {
			e.due, e.announcedAt = false, now
			out = append(out, e.report)
		}
	}
	sortReports(out)
	return out
}

// Reports returns all reports, for a router that has started.
func (t *Tracker) Reports() []Report {
	out := make([]Report, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.report)
	}
	sortReports(out)
	return out
}

// sortReports sorts reports by process, for repeatable messages.
func sortReports(reports []Report) {
	slices.SortFunc(reports, func(a, b Report) int {
		if a.Process.Target != b.Process.Target {
			return int(int64(a.Process.Target) - int64(b.Process.Target))
		}
		return int(int64(a.Process.Born) - int64(b.Process.Born))
	})
}

// Count returns the number of processes that name a limit.
func (t *Tracker) Count() int {
	n := 0
	for _, e := range t.entries {
		if e.report.Limited {
			n++
		}
	}
	return n
}

// Forget drops what earlier processes of a target named.
func (t *Tracker) Forget(target fleet.Ref) {
	for p := range t.entries {
		if p.Target == target {
			delete(t.entries, p)
		}
	}
}

// Expire drops the entries that no longer matter.
func (t *Tracker) Expire(now time.Time) {
	for p, e := range t.entries {
		ttl := MaxReportAge
		if e.report.Limited {
			ttl = unconfirmedTTL
		}
		if now.Sub(e.report.At) > ttl {
			delete(t.entries, p)
		}
	}
}

// IsRate reports whether a number is a limit that a target can name.
func IsRate(rate float64) bool { return rate >= 0 && !math.IsInf(rate, 1) }
