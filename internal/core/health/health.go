// Package health derives the number of requests that a target may run at once
// from its load reports, its completed requests and its first-token times.
//
// A cold target handles little load and fails under full load, and a target may
// become cold at any moment without announcing it. The state machine therefore
// adds slots only as requests complete and removes them at the first sign of
// trouble.
package health

import (
	"math"
	"time"
)

// State is the state of a target as its owner sees it.
type State string

// States of a target.
const (
	// Unknown: the owner has not received a report of this target yet.
	Unknown State = "unknown"
	// Cold: the target runs with the cold slots or fewer.
	Cold State = "cold"
	// Warming: its slots grow with each completed request.
	Warming State = "warming"
	// Warm: it runs with its full capacity.
	Warm State = "warm"
	// Suspect: probes or requests fail, or first-token times rose abruptly.
	Suspect State = "suspect"
	// Leaving: operators take the target out of service; running requests end.
	Leaving State = "leaving"
	// Out: the target does not respond.
	Out State = "out"
)

// Limits are the limits that the configuration sets for a target.
type Limits struct {
	// Capacity is the number of concurrent requests of a warm target.
	Capacity int
	// ColdSlots is the number of concurrent requests of a cold target.
	ColdSlots int
	// Leaving is true while operators take the target out of service.
	Leaving bool
}

// Report is the part of a load report that concerns health.
type Report struct {
	// TakenAt is the earliest time, on the clock of the owner, at which the
	// values of the report may have been true.
	TakenAt time.Time
	// Incarnation identifies the process of the target and rises with each
	// restart, zero when it is not known.
	Incarnation uint64
	// Slots is the number of concurrent requests that the target accepts, zero
	// when it reports none.
	Slots int
	// Cold is true while the target reports that it is cold.
	Cold bool
}

// Numbers of consecutive failed probes or requests after which a target is
// Suspect and Out.
const (
	suspectFailures = 2
	outFailures     = 5
)

// Target tracks the health of one target. It is not safe for concurrent use.
type Target struct {
	limits Limits
	slots  int
	// ramp limits the slots of a target that came back into service, whatever
	// it reports itself; zero for no limit.
	ramp        int
	validSince  time.Time
	known       bool
	incarnation uint64
	failures    int
	suspect     bool
	completions completions
	latency     latencyTracker
}

// NewTarget returns the health of a target of which nothing is known yet.
func NewTarget(l Limits, now time.Time) *Target {
	t := &Target{limits: l}
	t.Reset(now)
	return t
}

// Reset discards everything known except the limits, as at the start of an
// ownership term.
func (t *Target) Reset(now time.Time) {
	*t = Target{limits: t.limits, validSince: now, slots: t.limits.ColdSlots}
}

// SetLimits replaces the limits. A target that is no longer Leaving starts from
// its cold slots.
func (t *Target) SetLimits(l Limits) {
	if t.limits.Leaving && !l.Leaving {
		t.StartRamp(l.ColdSlots)
	}
	t.limits = l
	t.slots = min(t.slots, l.Capacity)
}

// Slots returns the number of requests that the target may run at once:
//
//	unknown, warming  the cold slots, one more with each completed request
//	cold, suspect     at most the cold slots
//	warm              the capacity
//	leaving, out      zero
//
// A target that came back into service warms up by completed requests even if
// it reports that it is warm.
func (t *Target) Slots() int {
	switch t.State() {
	case Leaving, Out:
		return 0
	case Suspect:
		return min(t.slots, t.limits.ColdSlots)
	default:
		return t.rampedSlots()
	}
}

// StartRamp limits the slots of a target that warms up; zero changes nothing.
// Each completed request raises the limit by one, until it reaches the
// capacity.
func (t *Target) StartRamp(slots int) {
	if slots > 0 {
		t.ramp = slots
	}
}

// rampedSlots returns the slots, limited by the ramp if there is one.
func (t *Target) rampedSlots() int {
	if t.ramp == 0 {
		return t.slots
	}
	return min(t.slots, t.ramp)
}

// State returns the state of the target.
func (t *Target) State() State {
	switch {
	case t.limits.Leaving:
		return Leaving
	case t.failures >= outFailures:
		return Out
	case t.suspect || t.failures >= suspectFailures:
		return Suspect
	case !t.known:
		return Unknown
	case t.rampedSlots() >= t.limits.Capacity:
		return Warm
	case t.rampedSlots() <= t.limits.ColdSlots:
		return Cold
	default:
		return Warming
	}
}

// Incarnation returns the highest known incarnation, zero when none is known.
func (t *Target) Incarnation() uint64 { return t.incarnation }

// ApplyReport takes a load report and reports whether it shows that the target
// restarted and lost its warm state, and with it its cache.
func (t *Target) ApplyReport(now time.Time, r Report) (lost bool) {
	t.failures = 0
	if r.Incarnation != 0 && r.Incarnation < t.incarnation {
		return false
	}
	if t.ObserveIncarnation(now, r.Incarnation) {
		return true
	}
	if r.TakenAt.Before(t.validSince) {
		return false
	}
	t.suspect = false
	t.known = true
	if r.Slots == 0 {
		return false
	}
	slots := min(r.Slots, t.limits.Capacity)
	// The report may be older than the last completions. The target has added
	// a slot for each of them since.
	if r.Cold {
		slots = min(slots+t.completions.after(r.TakenAt), t.limits.Capacity)
	}
	t.slots = max(slots, min(t.limits.ColdSlots, r.Slots))
	return false
}

// ObserveIncarnation takes the incarnation of a response or report and reports
// whether the target restarted. A restarted target is cold. Zero and older
// incarnations are ignored.
func (t *Target) ObserveIncarnation(now time.Time, incarnation uint64) (lost bool) {
	if incarnation == 0 || incarnation == t.incarnation {
		return false
	}
	if incarnation < t.incarnation {
		return false
	}
	lost = t.incarnation != 0
	t.incarnation = incarnation
	if lost {
		t.markCold(now)
	}
	return lost
}

// markCold returns to the cold slots. Reports taken earlier are ignored from
// then on.
func (t *Target) markCold(now time.Time) {
	t.slots = t.limits.ColdSlots
	t.validSince = now
	t.latency = latencyTracker{}
	t.completions = completions{}
}

// RecordOverload notes that the target refused a request because of its load:
// it handles less than was assumed.
func (t *Target) RecordOverload(now time.Time) { t.markCold(now) }

// RecordCompletion notes a complete response.
func (t *Target) RecordCompletion(now time.Time) {
	t.completions.add(now)
	if t.ramp > 0 {
		t.ramp++
	}
	if t.ramp >= t.limits.Capacity {
		t.ramp = 0
	}
	if t.State() == Suspect || t.slots >= t.limits.Capacity {
		return
	}
	t.slots++
}

// RecordFailure notes a failed probe, or a request without a response.
func (t *Target) RecordFailure() { t.failures++ }

// RecordFirstToken takes the time to the first token of a request and reports
// whether it makes the target suspect, because first-token times rose abruptly.
func (t *Target) RecordFirstToken(d time.Duration) (step bool) {
	if !t.latency.add(d) || t.suspect {
		return false
	}
	t.suspect = true
	return true
}

// ClearSuspicion ends the suspicion that first-token times raised, once a later
// report has shown the state of the target.
func (t *Target) ClearSuspicion() { t.suspect = false }

// latencyTracker detects an abrupt rise of first-token times from their running
// mean and deviation in seconds. high counts consecutive high samples.
type latencyTracker struct {
	count     int
	mean, dev float64
	high      int
}

const (
	// latencyWarmup is the number of samples before a rise is detected.
	latencyWarmup = 20
	// latencyWeight is the weight of a new sample in mean and deviation.
	latencyWeight = 0.1
	// A sample is high if it exceeds stepFactor times the mean, and the mean by
	// more than stepDeviations deviations. stepSamples consecutive high samples
	// are an abrupt rise.
	stepFactor     = 3
	stepDeviations = 6
	stepSamples    = 3
)

// add takes a sample and reports whether it completes an abrupt rise. High
// samples do not change mean and deviation.
func (l *latencyTracker) add(d time.Duration) (step bool) {
	v := d.Seconds()
	l.count++
	if l.count == 1 {
		l.mean = v
		return false
	}
	if l.count > latencyWarmup && v > stepFactor*l.mean && v > l.mean+stepDeviations*l.dev {
		l.high++
		return l.high == stepSamples
	}
	l.high = 0
	l.dev += latencyWeight * (math.Abs(v-l.mean) - l.dev)
	l.mean += latencyWeight * (v - l.mean)
	return false
}

// completions counts completed requests of the last bucketCount x
// bucketDuration by time.
type completions struct {
	buckets [bucketCount]bucket
}

type bucket struct {
	index int64
	count int
}

const (
	bucketCount    = 32
	bucketDuration = 100 * time.Millisecond
)

func bucketIndex(t time.Time) int64 { return t.UnixNano() / int64(bucketDuration) }

func (c *completions) add(now time.Time) {
	i := bucketIndex(now)
	b := &c.buckets[i%bucketCount]
	if b.index != i {
		*b = bucket{index: i}
	}
	b.count++
}

// after returns the number of completions in buckets that begin after t.
func (c *completions) after(t time.Time) int {
	from, total := bucketIndex(t), 0
	for _, b := range c.buckets {
		if b.index > from {
			total += b.count
		}
	}
	return total
}
