// Package health tells how many requests a target may run at once, from its
// own reports, its completions and its first-token times.
//
// A target that is cold bears little load and falls over under full load. It
// may turn cold at any moment without a word. The state machine therefore
// lets slots grow by completions only and takes them away at the first sign.
package health

import (
	"math"
	"time"
)

// State is the state of a target in the view of its owner.
type State string

// States of a target.
const (
	// Unknown: the owner has no report of this target yet.
	Unknown State = "unknown"
	Cold    State = "cold"
	Warming State = "warming"
	Warm    State = "warm"
	// Suspect: the target fails probes or requests, or got slow at once.
	Suspect State = "suspect"
	// Leaving: operators take the target out; running work ends.
	Leaving State = "leaving"
	// Out: the target does not answer.
	Out State = "out"
)

// Limits are what configuration tells of a target.
type Limits struct {
	// Capacity is the number of requests that the warm target bears.
	Capacity int
	// ColdSlots is the number that it bears while it is cold.
	ColdSlots int
	// Leaving is true while operators take the target out.
	Leaving bool
}

// Report is the part of a target's load report that tells of its health.
type Report struct {
	// TakenAt is the earliest time, on the owner's clock, at which the report's
	// figures may have been true.
	TakenAt     time.Time
	Incarnation uint64
	// Slots is what the target says it bears, zero when it says nothing.
	Slots int
	Cold  bool
}

// Numbers of failed probes after which a target is suspect and out.
const (
	suspectAfter = 2
	outAfter     = 5
)

// Target is the health of one target. It is not safe for concurrent use.
type Target struct {
	limits Limits
	slots  int
	// ramp limits the slots of a target that came back into service, whatever
	// it says of itself; zero for no limit.
	ramp        int
	since       time.Time
	known       bool
	incarnation uint64
	failures    int
	suspect     bool
	completions completions
	latency     latency
}

// NewTarget returns the health of a target that nothing is known of yet.
func NewTarget(l Limits, now time.Time) *Target {
	t := &Target{limits: l}
	t.Reset(now)
	return t
}

// Reset forgets everything, as when a tenure begins.
func (t *Target) Reset(now time.Time) {
	*t = Target{limits: t.limits, since: now, slots: t.limits.ColdSlots}
}

// SetLimits takes new limits from configuration.
func (t *Target) SetLimits(l Limits) {
	if t.limits.Leaving && !l.Leaving {
		t.StartRamp(l.ColdSlots)
	}
	t.limits = l
	t.slots = min(t.slots, l.Capacity)
}

// Slots returns the number of requests that the target may run now:
//
//	unknown, cold, suspect  the cold limit
//	warming                 grows by one with each completion
//	warm                    the capacity
//	leaving, out            none
//
// A target that comes back into service warms up by completions even when it
// says that it is warm.
func (t *Target) Slots() int {
	switch t.State() {
	case Leaving, Out:
		return 0
	case Suspect:
		return min(t.slots, t.limits.ColdSlots)
	default:
		return t.ramped()
	}
}

// StartRamp limits the slots of a target that warms up, zero for no limit. Each
// completion raises the limit by one.
func (t *Target) StartRamp(slots int) {
	if slots > 0 {
		t.ramp = slots
	}
}

func (t *Target) ramped() int {
	if t.ramp == 0 {
		return t.slots
	}
	return min(t.slots, t.ramp)
}

// State returns the target's state.
func (t *Target) State() State {
	switch {
	case t.limits.Leaving:
		return Leaving
	case t.failures >= outAfter:
		return Out
	case t.suspect || t.failures >= suspectAfter:
		return Suspect
	case !t.known:
		return Unknown
	case t.ramped() >= t.limits.Capacity:
		return Warm
	case t.ramped() <= t.limits.ColdSlots:
		return Cold
	default:
		return Warming
	}
}

// Incarnation returns the last known incarnation, zero when none is known.
func (t *Target) Incarnation() uint64 { return t.incarnation }

// ApplyReport takes a load report and reports whether the target has lost its
// warm state, and with it its cache.
func (t *Target) ApplyReport(now time.Time, r Report) (lost bool) {
	t.failures = 0
	if r.Incarnation != 0 && r.Incarnation < t.incarnation {
		return false
	}
	if t.ObserveIncarnation(now, r.Incarnation) {
		return true
	}
	if r.TakenAt.Before(t.since) {
		return false
	}
	t.suspect = false
	t.known = true
	if r.Slots == 0 {
		return false
	}
	borne := min(r.Slots, t.limits.Capacity)
	// The report may be older than the last completions, each of which the
	// target has counted since.
	if r.Cold {
		borne = min(borne+t.completions.after(r.TakenAt), t.limits.Capacity)
	}
	t.slots = max(borne, min(t.limits.ColdSlots, r.Slots))
	return false
}

// ObserveIncarnation takes the incarnation that an answer or a report shows. One that differs
// from the last means that the target started anew, cold.
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
		t.turnCold(now)
	}
	return lost
}

// turnCold starts the ramp anew. Reports taken before count no more.
func (t *Target) turnCold(now time.Time) {
	t.slots = t.limits.ColdSlots
	t.since = now
	t.latency = latency{}
	t.completions = completions{}
}

// RecordOverload notes that the target refused a request for its load: it bears
// less than was believed.
func (t *Target) RecordOverload(now time.Time) { t.turnCold(now) }

// RecordCompletion notes a whole answer.
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

// RecordFailure notes a probe, or a request that the target gave no answer to.
func (t *Target) RecordFailure() { t.failures++ }

// RecordFirstToken takes the time to the first token of a request and reports whether
// it is a step up that makes the target suspect.
func (t *Target) RecordFirstToken(d time.Duration) (step bool) {
	if !t.latency.add(d) || t.suspect {
		return false
	}
	t.suspect = true
	return true
}

// ClearSuspicion ends the suspicion of a step in first-token times, once a report that
// was taken later has shown the target's state.
func (t *Target) ClearSuspicion() { t.suspect = false }

// latency notices a step in first-token times by a running mean and deviation.
type latency struct {
	count     int
	mean, dev float64
	high      int
}

const (
	// latencyWarmup is the number of samples before steps are judged.
	latencyWarmup = 20
	latencyWeight = 0.1
	// A sample is high above stepFactor times the mean and stepDeviations
	// deviations; stepRun high samples in a row are a step.
	stepFactor     = 3
	stepDeviations = 6
	stepRun        = 3
)

func (l *latency) add(d time.Duration) (step bool) {
	v := d.Seconds()
	l.count++
	if l.count == 1 {
		l.mean = v
		return false
	}
	if l.count > latencyWarmup && v > stepFactor*l.mean && v > l.mean+stepDeviations*l.dev {
		l.high++
		return l.high == stepRun
	}
	l.high = 0
	l.dev += latencyWeight * (math.Abs(v-l.mean) - l.dev)
	l.mean += latencyWeight * (v - l.mean)
	return false
}

// completions counts completions of the last seconds by time.
type completions struct {
	buckets [bucketCount]bucket
}

type bucket struct {
	index int64
	count int
}

const (
	bucketCount = 32
	bucketTime  = 100 * time.Millisecond
)

func indexOf(t time.Time) int64 { return t.UnixNano() / int64(bucketTime) }

func (c *completions) add(now time.Time) {
	i := indexOf(now)
	b := &c.buckets[i%bucketCount]
	if b.index != i {
		*b = bucket{index: i}
	}
	b.count++
}

// after counts the completions in buckets that begin after t.
func (c *completions) after(t time.Time) int {
	from, total := indexOf(t), 0
	for _, b := range c.buckets {
		if b.index > from {
			total += b.count
		}
	}
	return total
}
