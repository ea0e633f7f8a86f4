package slotqueue

import (
	"math"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// defaultWork is the assumed time of a request before one has ended.
	defaultWork = 50 * time.Millisecond
	// minWork is the least time of a request: one that fails at once tells nothing.
	minWork = time.Millisecond
	// workWeight is the weight of the last request in the mean time of a target: a change of
	// pace shows within some ten requests.
	workWeight = 0.12
	// maxWorkFactor bounds one time in relation to the mean. One request in 100 takes five
	// times as long and tells nothing of the pace.
	maxWorkFactor = 3
	// slowdownHalfLife is the age at which a reported slowdown counts half.
	slowdownHalfLife = 200 * time.Millisecond
	// maxSlowdownRatio bounds what a report may change: a target may report anything. Only
	// changes of it count, so that one which always lies changes nothing.
	maxSlowdownRatio = 2
	// foreignHalfLife is the age at which requests that were not granted count half.
	foreignHalfLife = 100 * time.Millisecond
	// maxForeignRatio times its slots is the most foreign load that a target is believed to
	// carry, so that one that reports too much still gets requests.
	maxForeignRatio = 0.8
)

// targetState is what the grantor knows of a target.
type targetState struct {
	ref     fleet.Ref
	slots   int
	granted int
	// granting holds the times of the grants while a decision is made.
	granting []time.Time
	health   health
	// foreign is the load that was not granted, as of foreignAt.
	foreign   float64
	foreignAt time.Time
	// work is the mean time of a request in seconds.
	work float64
	// slowdown is the last reported slowdown, as of slowdownAt, and meanSlowdown its mean.
	slowdown, meanSlowdown float64
	slowdownAt             time.Time
}

// limit returns the number of slots that may be granted without the allowance.
func (t *targetState) limit(now time.Time) int {
	return t.slots - int(math.Round(t.foreignLoad(now)))
}

// foreignLoad returns the load that was not granted.
func (t *targetState) foreignLoad(now time.Time) float64 {
	f := t.foreign * decay(now.Sub(t.foreignAt), foreignHalfLife)
	return min(f, maxForeignRatio*float64(t.slots))
}

// estimate returns the time that a request takes at the target now.
func (t *targetState) estimate(now time.Time) time.Duration {
	ratio := 1.0
	if t.slowdown > 0 && t.meanSlowdown > 0 {
		ratio = min(max(t.slowdown/t.meanSlowdown, 1.0/maxSlowdownRatio), maxSlowdownRatio)
		ratio = math.Pow(ratio, decay(now.Sub(t.slowdownAt), slowdownHalfLife))
	}
	return time.Duration(t.work * ratio * float64(time.Second))
}

// finish returns the time until a request that is sent now ends, also when it has to wait at
// the target.
func (t *targetState) finish(now time.Time) time.Duration {
	work := t.estimate(now)
	if over := t.granted + 1 - t.limit(now); over > 0 {
		work += work * time.Duration(over) / time.Duration(max(t.slots, 1))
	}
	return work + time.Duration(failCost*t.health.share(now)*float64(work))
}

// observe learns the time of a request, with ahead requests that waited at the target when it was
// granted. Each of these takes a slot's part of the time: in a busy spell, all requests wait.
func (t *targetState) observe(took time.Duration, ahead int) {
	alone := took.Seconds() / (1 + float64(ahead)/float64(max(t.slots, 1)))
	seconds := min(max(alone, minWork.Seconds()), maxWorkFactor*t.work)
	t.work += workWeight * (seconds - t.work)
}

// reported takes the figures of a response. They include the granted requests.
func (t *targetState) reported(now time.Time, f Figures) {
	if !f.valid() {
		return
	}
	t.foreign = max(float64(f.Running+f.Waiting-t.granted), 0)
	t.foreignAt = now
	if f.Slowdown > 0 {
		s := min(max(f.Slowdown, minSlowdown), maxSlowdown)
		if t.meanSlowdown == 0 {
			t.meanSlowdown = s
		}
		t.meanSlowdown += workWeight * (s - t.meanSlowdown)
		t.slowdown, t.slowdownAt = s, now
	}
}

// mayTake reports whether a target may be granted one more request, given when its grants were
// made.
func (t *targetState) mayTake(now time.Time, granted []time.Time) bool {
	if t.health.trial > 0 {
		return t.health.mayTry(now, granted)
	}
	return t.granted < max(t.limit(now), 0)+allowance && t.granted < t.slots+allowance
}
