package slotqueue

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// A target that failed pauseStreak requests in a row gets none for minFailPause, which
	// doubles up to maxFailPause while it goes on. One that fails at once looks idle, and would
	// otherwise get more than the others. Single failures are left to failCost: a service may
	// answer with a share of errors at all its targets.
	pauseStreak  = 2
	minFailPause = 200 * time.Millisecond
	maxFailPause = 3200 * time.Millisecond
	// probationSuccesses is the number of responses after which a target that has failed is
	// used as before, for each failure in a row, at most maxProbation.
	probationSuccesses = 2
	maxProbation       = 8
	// trialGrace is how long after a pause only requests that may be repeated try a target.
	trialGrace = 2 * time.Second
	// A target is silent once silentGrants grants are older than silentFactor times the mean
	// time of a request, and silentSlack, and none was returned since.
	silentGrants = 2
	silentFactor = 2.5
	silentSlack  = 20 * time.Millisecond
	// failWeight is the weight of the last request in the share of failures, and failCost what
	// a certain failure counts in times of a request. A target that gets no requests is
	// forgiven by half in failHalfLife.
	failWeight   = 0.05
	failCost     = 30
	failHalfLife = 2 * time.Second
	// unreliableShare more failures than unreliableFactor times those of the best target make a
	// request wait for another one, if that may still be in time.
	unreliableShare  = 0.04
	unreliableFactor = 2
)

// health is what is known of the failures of a target.
type health struct {
	// streak is the number of failures in a row. Those of requests of one router count once,
	// as its path to the target may have failed.
	streak     int
	failedFrom fleet.VM
	// pausedUntil is the end of the last pause.
	pausedUntil time.Time
	// probation is the number of responses until the target is used as before.
	probation int
	// failShare is the share of requests that failed lately, as of failShareAt.
	failShare   float64
	failShareAt time.Time
	// answeredAt is the time of the last response.
	answeredAt time.Time
}

// failed records a failure of a request of a router.
func (h *health) failed(now time.Time, from fleet.VM) {
	h.observe(now, 1)
	if h.streak > 0 && from == h.failedFrom && now.Sub(h.pausedUntil) < maxFailPause {
		return
	}
	h.streak, h.failedFrom = h.streak+1, from
	if h.streak < pauseStreak {
		return
	}
	h.probation = min(probationSuccesses*h.streak, maxProbation)
	pause := min(minFailPause<<min(h.streak-pauseStreak, 8), maxFailPause)
	h.pausedUntil = now.Add(pause)
}

// share returns the share of requests that failed lately.
func (h *health) share(now time.Time) float64 {
	return h.failShare * decay(now.Sub(h.failShareAt), failHalfLife)
}

// observe counts a request that failed (1) or not (0).
func (h *health) observe(now time.Time, failed float64) {
	h.failShare = (1-failWeight)*h.share(now) + failWeight*failed
	h.failShareAt = now
}

// answered records a response.
func (h *health) answered(now time.Time) {
	h.observe(now, 0)
	h.answeredAt = now
	if h.probation > 0 {
		h.probation--
	}
	if h.probation == 0 {
		h.streak = 0
	}
}

// onTrial reports whether the target has failed and has not yet shown that it serves again.
func (h *health) onTrial() bool { return h.probation > 0 }

// paused reports whether the target gets no requests.
func (h *health) paused(now time.Time) bool { return h.onTrial() && now.Before(h.pausedUntil) }

// mayTry reports whether a target that is on trial may get a request.
func (h *health) mayTry(now time.Time, repeatable bool) bool {
	return !now.Before(h.pausedUntil) && (repeatable || now.Sub(h.pausedUntil) >= trialGrace)
}

// silent reports whether a target answers nothing, given when its grants were made and the mean
// time of a request.
func (h *health) silent(now time.Time, granted []time.Time, work time.Duration) bool {
	limit := time.Duration(silentFactor*float64(work)) + silentSlack
	overdue := 0
	for _, at := range granted {
		if now.Sub(at) > limit && h.answeredAt.Before(now.Add(-limit)) {
			overdue++
		}
	}
	return overdue >= silentGrants
}
