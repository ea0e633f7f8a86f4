// Package outlier takes targets out of use that fail requests, from what all
// routers see of them.
//
// A target may fail part of its requests while its health check passes, and
// then answers fast: chosen by load alone it draws more traffic the more it
// fails. Failures therefore count by their share in a sliding window, in which
// other routers' figures count like this router's own. A target that is out
// comes back by single trial requests.
package outlier

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// windowSlots of slotTime make up the sliding window.
	windowSlots = 6
	slotTime    = 500 * time.Millisecond
	// ejectOutcomes and ejectShare are the outcomes in the window, and the
	// share of failures among them, from which a target is out. Sound services
	// fail up to 14 in 100 requests of a kind by themselves.
	ejectOutcomes = 10
	ejectShare    = 0.3
	// ejectRun is the number of failures in a row after which a target is out
	// although few outcomes are known.
	ejectRun = 4
	// probation is the number of outcomes after a target's return in which
	// probationFailures put it out again: a target that fails half of its
	// requests passes every other trial.
	probation         = 12
	probationFailures = 2
	// unreachableRun is the number of failed connections in a row after which
	// a target is out.
	unreachableRun = 1
	// outFirst is the time for which a target is out first; it doubles up to
	// outMax while trials fail.
	outFirst = 500 * time.Millisecond
	outMax   = 4 * time.Second
	// mostOut is the share of the targets of a service that may be out.
	mostOut = 0.5
)

// Outcome is how a request at a target ended.
type Outcome uint8

// Outcomes.
const (
	// OK is a whole answer.
	OK Outcome = iota
	// Failed is an answer that is a failure of the target or broke off.
	Failed
	// Unreachable is a target to which no connection opens.
	Unreachable
)

// Counts is the outcomes at one target.
type Counts struct {
	OK     int
	Failed int
}

// Detector follows the targets. It is not safe for concurrent use.
type Detector struct {
	targets map[fleet.Ref]*target
	// begin is the time of the first outcome. Slots count from it, so that the
	// time of day may jump.
	begin time.Time
}

type target struct {
	slots [windowSlots]slot
	// unreachable counts failed connections in a row, failed all failures.
	unreachable int
	failed      int
	// outUntil is set while the target is out; trial is the time of the last
	// trial request.
	outUntil time.Time
	backoff  time.Duration
	trying   bool
	// since counts outcomes since the return while the target is on probation.
	since   Counts
	onTrust bool
	// own counts outcomes that other routers have not been told.
	own Counts
}

type slot struct {
	index int64
	count Counts
}

// New returns a detector that knows no failures.
func New() *Detector { return &Detector{targets: make(map[fleet.Ref]*target)} }

func (d *Detector) get(id fleet.Ref) *target {
	t, ok := d.targets[id]
	if !ok {
		t = new(target)
		d.targets[id] = t
	}
	return t
}

// Observe takes the outcome of one of this router's requests and reports
// whether the target goes out.
func (d *Detector) Observe(now time.Time, id fleet.Ref, o Outcome) (out bool) {
	t := d.get(id)
	c := Counts{}
	switch o {
	case OK:
		c.OK = 1
		t.unreachable, t.failed = 0, 0
	case Failed:
		c.Failed = 1
		t.failed++
	case Unreachable:
		c.Failed = 1
		t.failed++
		t.unreachable++
	}
	t.own.OK += c.OK
	t.own.Failed += c.Failed
	if t.out(now) || t.trying {
		return t.tried(now, o)
	}
	i := d.slotOf(now)
	t.add(i, c)
	return t.judge(now, i)
}

// slotOf returns the number of the slot of now.
func (d *Detector) slotOf(now time.Time) int64 {
	if d.begin.IsZero() {
		d.begin = now
	}
	return int64(now.Sub(d.begin) / slotTime)
}

// ObserveRemote takes outcomes at a target that another router saw.
func (d *Detector) ObserveRemote(now time.Time, id fleet.Ref, c Counts) (out bool) {
	t := d.get(id)
	i := d.slotOf(now)
	t.add(i, c)
	if t.out(now) {
		return false
	}
	return t.judge(now, i)
}

// add counts outcomes in a slot.
func (t *target) add(i int64, c Counts) {
	s := &t.slots[i%windowSlots]
	if s.index != i {
		*s = slot{index: i}
	}
	s.count.OK += c.OK
	s.count.Failed += c.Failed
	if t.onTrust {
		t.since.OK += c.OK
		t.since.Failed += c.Failed
	}
}

// total adds up the window that ends with a slot.
func (t *target) total(i int64) Counts {
	var sum Counts
	for _, s := range t.slots {
		if i-s.index < windowSlots {
			sum.OK += s.count.OK
			sum.Failed += s.count.Failed
		}
	}
	return sum
}

// judge moves a target that is in use out when its failures ask for it:
//
//	in -> out  unreachableRun connections failed in a row
//	in -> out  ejectRun requests failed in a row
//	in -> out  of ejectOutcomes or more, ejectShare failed
//	in -> out  probationFailures requests failed soon after the return
func (t *target) judge(now time.Time, slot int64) bool {
	relapsed := t.onTrust && t.since.Failed >= probationFailures
	if t.unreachable < unreachableRun && t.failed < ejectRun && !t.total(slot).excessive() && !relapsed {
		if t.onTrust && t.since.OK+t.since.Failed >= probation {
			t.onTrust, t.since, t.backoff = false, Counts{}, 0
		}
		return false
	}
	t.onTrust, t.since = false, Counts{}
	t.backoff = min(max(2*t.backoff, outFirst), outMax)
	t.outUntil = now.Add(t.backoff)
	return true
}

// excessive reports whether too many of enough outcomes are failures.
func (c Counts) excessive() bool {
	all := c.OK + c.Failed
	return all >= ejectOutcomes && float64(c.Failed) >= ejectShare*float64(all)
}

// tried takes the outcome of a trial request:
//
//	out -> in   the trial brought an answer
//	out -> out  it failed; the next trial comes after twice the time
func (t *target) tried(now time.Time, o Outcome) (out bool) {
	t.trying = false
	if o == OK {
		*t = target{own: t.own, backoff: t.backoff, onTrust: true}
		return false
	}
	t.backoff = min(max(2*t.backoff, outFirst), outMax)
	t.outUntil = now.Add(t.backoff)
	return true
}

func (t *target) out(now time.Time) bool { return now.Before(t.outUntil) }

// State is whether a target may be used.
type State uint8

// States.
const (
	InUse State = iota
	// Trial targets may get one request to see whether they are back.
	Trial
	Ejected
)

// State returns whether a target may be used now.
func (d *Detector) State(now time.Time, id fleet.Ref) State {
	t, ok := d.targets[id]
	switch {
	case !ok || t.outUntil.IsZero():
		return InUse
	case t.out(now) || t.trying:
		return Ejected
	default:
		return Trial
	}
}

// StartTrial notes that a trial request is sent.
func (d *Detector) StartTrial(id fleet.Ref) { d.get(id).trying = true }

// CancelTrial notes that a request ended without showing how the target is.
func (d *Detector) CancelTrial(id fleet.Ref) { d.get(id).trying = false }

// Reset forgets a target's failures, because it started anew.
func (d *Detector) Reset(id fleet.Ref) { delete(d.targets, id) }

// MayEject reports whether so many of a service's targets may be out.
func MayEject(out, all int) bool { return float64(out) <= mostOut*float64(all) }

// TakeLocalCounts returns this router's outcomes since the last call.
func (d *Detector) TakeLocalCounts() map[fleet.Ref]Counts {
	out := make(map[fleet.Ref]Counts)
	for id, t := range d.targets {
		if t.own != (Counts{}) {
			out[id] = t.own
			t.own = Counts{}
		}
	}
	return out
}
