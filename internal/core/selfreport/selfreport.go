// Package selfreport keeps what targets say of themselves in their responses: that
// they are leaving, and that they want no requests for a while.
//
// Both are known to the router that got the response earlier than to the platform's
// log, and hold for that router even if the log never says so. A target that is
// leaving gets nothing more until it has restarted. A pause ends by itself, so that a
// wrong or huge value does not take a target out for good.
package selfreport

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// maxPause is the longest pause that is kept.
	maxPause = 2 * time.Minute
	// leavingTTL is how long a target counts as leaving after it last said so.
	// Targets end some seconds after they began to leave.
	leavingTTL = 10 * time.Minute
)

// State tells whether a target takes requests.
type State uint8

// States of a target.
const (
	// Accepting targets take requests.
	Accepting State = iota
	// Paused targets take requests again when their pause has ended.
	Paused
	// Leaving targets take no more requests.
	Leaving
)

// Tracker holds the reports of targets. It is not safe for concurrent use.
type Tracker struct {
	reports map[fleet.Ref]*report
}

// report is what one process of a target said.
type report struct {
	// born distinguishes the processes of a target.
	born         int64
	pausedUntil  time.Time
	leavingUntil time.Time
}

// New returns a tracker without reports.
func New() *Tracker { return &Tracker{reports: make(map[fleet.Ref]*report)} }

// report returns the report of a target's process. What an earlier process said is
// dropped.
func (t *Tracker) report(id fleet.Ref, born int64) *report {
	r, ok := t.reports[id]
	if !ok || r.born != born {
		r = &report{born: born}
		t.reports[id] = r
	}
	return r
}

// ReportLeaving records that a target's process is leaving. It returns false if that
// is known.
func (t *Tracker) ReportLeaving(now time.Time, id fleet.Ref, born int64) bool {
	r := t.report(id, born)
	isNew := !now.Before(r.leavingUntil)
	r.leavingUntil = now.Add(leavingTTL)
	return isNew
}

// ReportPause records that a target's process wants no requests for a time. A later
// report can extend a pause but not shorten it; one that is not positive has no
// effect.
func (t *Tracker) ReportPause(now time.Time, id fleet.Ref, born int64, pause time.Duration) {
	if pause <= 0 {
		return
	}
	r := t.report(id, born)
	if until := now.Add(min(pause, maxPause)); until.After(r.pausedUntil) {
		r.pausedUntil = until
	}
}

// State returns the state of a target's process.
func (t *Tracker) State(now time.Time, id fleet.Ref, born int64) State {
	r, ok := t.reports[id]
	switch {
	case !ok || r.born != born:
		return Accepting
	case now.Before(r.leavingUntil):
		return Leaving
	case now.Before(r.pausedUntil):
		return Paused
	default:
		return Accepting
	}
}

// PausedUntil returns the end of a target's pause, zero if it has none.
func (t *Tracker) PausedUntil(now time.Time, id fleet.Ref, born int64) time.Time {
	if t.State(now, id, born) != Paused {
		return time.Time{}
	}
	return t.reports[id].pausedUntil
}

// Expire drops the reports that no longer hold.
func (t *Tracker) Expire(now time.Time) {
	for id, r := range t.reports {
		if !now.Before(r.leavingUntil) && !now.Before(r.pausedUntil) {
			delete(t.reports, id)
		}
	}
}
