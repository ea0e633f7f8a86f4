// Package outlier ejects targets whose requests fail, based on the outcomes
// that all routers observe.
//
// A target may fail part of its requests while its health check passes, and
// failures are often fast: if it were chosen by load alone, it would draw more
// traffic the more it fails. A target is therefore ejected by the ratio of
// failures in a sliding window, in which the outcomes seen by other routers
// count like local ones. An ejected target returns to use through single trial
// requests.
package outlier

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// windowSlots slots of slotDuration make up the sliding window.
	windowSlots  = 6
	slotDuration = 500 * time.Millisecond
	// minOutcomes is the number of outcomes in the window, and
	// ejectFailureRatio the ratio of failures among them, from which a target
	// is ejected. Healthy services fail up to 14 in 100 requests of a kind by
	// themselves.
	minOutcomes       = 10
	ejectFailureRatio = 0.3
	// ejectConsecutive is the number of consecutive failures after which a
	// target is ejected even if few outcomes are known.
	ejectConsecutive = 4
	// probationOutcomes is the number of outcomes after the return of a target
	// in which probationFailures eject it again. A target that fails half of
	// its requests passes every other trial, so a passed trial alone does not
	// show that it recovered.
	probationOutcomes = 12
	probationFailures = 2
	// ejectUnreachable is the number of consecutive failed connections after
	// which a target is ejected.
	ejectUnreachable = 1
	// minEjection is the length of the first ejection. It doubles up to
	// maxEjection while trials fail.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// trustedSuccesses successes in a row, the last one within trustedFor, outweigh what
	// other routers report of a target.
	trustedSuccesses = 3
	trustedFor       = time.Second
	// maxEjectedRatio is the share of the targets of a service that may be
	// ejected.
	maxEjectedRatio = 0.5
)

// Outcome is how a request at a target ended.
type Outcome uint8

// Outcomes of a request.
const (
	// OK is a complete response.
	OK Outcome = iota
	// Failed is a failure response of the target, or a response that broke off.
	Failed
	// Unreachable means that no connection to the target could be opened.
	Unreachable
)

// Counts holds the numbers of successful and failed requests at one target.
type Counts struct {
	OK     int
	Failed int
}

// Detector tracks the outcomes of requests per target. It is not safe for
// concurrent use.
type Detector struct {
	targets map[fleet.Ref]*target
	// start is the time of the first outcome. Slots are counted from it, so
	// that they do not depend on the wall clock, which may jump.
	start time.Time
}

// target is the state of one target.
type target struct {
	slots [windowSlots]slot
	// unreachable counts consecutive failed connections, failed all consecutive
	// failures.
	unreachable int
	failed      int
	// ejectedUntil is the end of the last ejection, zero once a trial has
	// passed, backoff the length of that ejection. trialPending is set while a
	// trial request runs.
	ejectedUntil time.Time
	backoff      time.Duration
	trialPending bool
	// sinceReturn counts outcomes since the return while the target is on
	// probation.
	sinceReturn Counts
	onProbation bool
	// local counts outcomes that were not sent to other routers yet.
	local Counts
	// okInRow counts this router's successes since its last failure, the last of which was
	// at okAt.
	okInRow int
	okAt    time.Time
}

// slot counts the outcomes of one slot of the window.
type slot struct {
	index int64
	count Counts
}

// New returns a detector that has seen no failures.
func New() *Detector { return &Detector{targets: make(map[fleet.Ref]*target)} }

// get returns the state of a target and creates it on first use.
func (d *Detector) get(id fleet.Ref) *target {
	t, ok := d.targets[id]
	if !ok {
		t = new(target)
		d.targets[id] = t
	}
	return t
}

// Observe records the outcome of a request that this router sent and reports
// whether it ejects the target.
func (d *Detector) Observe(now time.Time, id fleet.Ref, o Outcome) (ejected bool) {
	t := d.get(id)
	c := Counts{}
	switch o {
	case OK:
		c.OK = 1
		t.unreachable, t.failed = 0, 0
		t.okInRow++
		t.okAt = now
	case Failed:
		c.Failed = 1
		t.failed++
	case Unreachable:
		c.Failed = 1
		t.failed++
		t.unreachable++
	}
	if o != OK {
		t.okInRow = 0
	}
	t.local.OK += c.OK
	t.local.Failed += c.Failed
	switch {
	case t.trialPending, t.ejected(now) && o == OK:
		return t.trialEnded(now, o)
	case t.ejected(now):
		return false // no trial: sent before the ejection, or while too many targets were ejected
	}
	i := d.slotOf(now)
	t.add(i, c)
	return t.evaluate(now, i)
}

// slotOf returns the number of the slot that now falls in. A time before the first outcome counts
// as that one: a router may be held up after it has read the clock.
func (d *Detector) slotOf(now time.Time) int64 {
	if d.start.IsZero() {
		d.start = now
	}
	return max(int64(now.Sub(d.start)/slotDuration), 0)
}

// trusted reports whether this router's own requests show that the target is sound for it,
// whatever others report: their path to the target may have failed.
func (t *target) trusted(now time.Time) bool {
	return t.okInRow >= trustedSuccesses && now.Sub(t.okAt) < trustedFor
}

// Withhold takes the last failure of a target back from the outcomes for other routers.
func (d *Detector) Withhold(id fleet.Ref) {
	if t := d.get(id); t.local.Failed > 0 {
		t.local.Failed--
	}
}

// Report adds a failure that was withheld to the outcomes for other routers.
func (d *Detector) Report(id fleet.Ref) { d.get(id).local.Failed++ }

// ObserveRemote adds outcomes that another router saw at a target and reports
// whether they eject it.
func (d *Detector) ObserveRemote(now time.Time, id fleet.Ref, c Counts) (ejected bool) {
	t := d.get(id)
	i := d.slotOf(now)
	t.add(i, c)
	if t.ejected(now) {
		return false
	}
	return t.evaluate(now, i)
}

// add counts outcomes in a slot of the window and, on probation, in those since
// the return.
func (t *target) add(i int64, c Counts) {
	s := &t.slots[i%windowSlots]
	if s.index < i {
		*s = slot{index: i}
	}
	s.count.OK += c.OK
	s.count.Failed += c.Failed
	if t.onProbation {
		t.sinceReturn.OK += c.OK
		t.sinceReturn.Failed += c.Failed
	}
}

// total returns the sum of the window that ends with a slot.
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

// evaluate ejects a target in use, and reports that it did, if
//
//   - ejectUnreachable consecutive connections failed,
//   - ejectConsecutive consecutive requests failed,
//   - ejectFailureRatio of at least minOutcomes outcomes in the window failed, or
//   - probationFailures requests failed while the target is on probation.
//
// A trusted target stays in use. Reports tell neither when a request failed nor whether the
// target has returned since.
func (t *target) evaluate(now time.Time, slot int64) bool {
	relapsed := t.onProbation && t.sinceReturn.Failed >= probationFailures
	failing := t.unreachable >= ejectUnreachable || t.failed >= ejectConsecutive || t.total(slot).exceedsFailureRatio() || relapsed
	if !failing || t.trusted(now) {
		if t.onProbation && t.sinceReturn.passesProbation() {
			t.onProbation, t.sinceReturn, t.backoff = false, Counts{}, 0
		}
		return false
	}
	t.onProbation, t.sinceReturn = false, Counts{}
	t.backoff = min(max(2*t.backoff, minEjection), maxEjection)
	t.ejectedUntil = now.Add(t.backoff)
	return true
}

// exceedsFailureRatio reports whether there are enough outcomes and too many of
// them are failures.
func (c Counts) exceedsFailureRatio() bool {
	total := c.OK + c.Failed
	return total >= minOutcomes && float64(c.Failed) >= ejectFailureRatio*float64(total)
}

// passesProbation reports whether there are enough outcomes since the return of a target.
// More failures than are allowed then do not add to them.
func (c Counts) passesProbation() bool {
	return c.OK+min(c.Failed, probationFailures-1) >= probationOutcomes
}

// trialEnded takes the outcome of a trial request. After a success the target
// is in use again, on probation; after a failure it stays ejected for twice the
// time.
func (t *target) trialEnded(now time.Time, o Outcome) (ejected bool) {
	t.trialPending = false
	if o == OK {
		*t = target{local: t.local, backoff: t.backoff, onProbation: true}
		return false
	}
	t.backoff = min(max(2*t.backoff, minEjection), maxEjection)
	t.ejectedUntil = now.Add(t.backoff)
	return true
}

func (t *target) ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// State tells whether a target may be used.
type State uint8

// States of a target.
const (
	// InUse targets get requests.
	InUse State = iota
	// Trial targets may get a single request that tests whether they recovered.
	Trial
	// Ejected targets get no requests.
	Ejected
)

// State returns the state of a target. A target without outcomes is in use.
func (d *Detector) State(now time.Time, id fleet.Ref) State {
	t, ok := d.targets[id]
	switch {
	case !ok || t.ejectedUntil.IsZero():
		return InUse
	case t.ejected(now) || t.trialPending:
		return Ejected
	default:
		return Trial
	}
}

// StartTrial records that a trial request is sent. The target counts as ejected
// until the trial ends.
func (d *Detector) StartTrial(id fleet.Ref) { d.get(id).trialPending = true }

// CancelTrial records that a request ended in a way that shows nothing about
// the target. If it was a trial, another one may be sent.
func (d *Detector) CancelTrial(id fleet.Ref) { d.get(id).trialPending = false }

// Reset drops the state of a target, for example because it has restarted.
func (d *Detector) Reset(id fleet.Ref) { delete(d.targets, id) }

// MayEject reports whether that many of the targets of a service may be ejected
// at once.
func MayEject(ejected, total int) bool { return float64(ejected) <= maxEjectedRatio*float64(total) }

// TakeLocalCounts returns the outcomes of this router since the last call,
// without targets that had none.
func (d *Detector) TakeLocalCounts() map[fleet.Ref]Counts {
	counts := make(map[fleet.Ref]Counts)
	for id, t := range d.targets {
		if t.local != (Counts{}) {
			counts[id] = t.local
			t.local = Counts{}
		}
	}
	return counts
}
