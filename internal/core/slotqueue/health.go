package slotqueue

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// A target that broke pauseStreak requests in a row gets none for minFailPause, which
	// doubles up to maxFailPause while it goes on. One that fails at once looks idle, and would
	// otherwise get more than the others.
	pauseStreak  = 2
	minFailPause = 100 * time.Millisecond
	maxFailPause = 800 * time.Millisecond
	// A target that turned a request away gets none for minRejectPause, which doubles up to
	// maxRejectPause. Without a pause it would turn away the whole queue, since each rejection
	// frees a slot at once.
	minRejectPause = 20 * time.Millisecond
	maxRejectPause = 640 * time.Millisecond
	// trialGrace is how long after a pause for failures only requests that may be repeated try
	// a target.
	trialGrace = 300 * time.Millisecond
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
	// streak is the number of requests that were broken in a row. Those of one router count
	// once, as its path to the target may have failed.
	streak     int
	failedFrom fleet.VM
	// rejections is the number of pauses for rejections in a row.
	rejections int
	// trial is the number of requests that may be granted at once since trialSince, zero if the
	// target is not on trial. It doubles with each response.
	trial      int
	trialSince time.Time
	// repeatable is true until a response shows that the target does not break requests.
	repeatable bool
	// failShare is the share of requests that failed lately, as of failShareAt.
	failShare   float64
	failShareAt time.Time
	// answeredAt is the time of the last response.
	answeredAt time.Time
}

// broke records that the target broke a request of a router, which was granted at a time.
func (h *health) broke(now, granted time.Time, from fleet.VM) {
	h.observe(now, 1)
	if h.streak > 0 && from == h.failedFrom || h.streak >= pauseStreak && granted.Before(h.trialSince) {
		return // it tells nothing new
	}
	h.streak, h.failedFrom = h.streak+1, from
	if h.streak < pauseStreak {
		h.try(now)
		return
	}
	h.repeatable = true
	h.try(now.Add(min(minFailPause<<min(h.streak-pauseStreak, 8), maxFailPause)))
}

// rejected records that the target turned a request away, which was granted at a time.
func (h *health) rejected(now, granted time.Time) {
	if granted.Before(h.trialSince) {
		return
	}
	h.rejections++
	h.try(now.Add(min(minRejectPause<<min(h.rejections-1, 8), maxRejectPause)))
}

// try puts the target on trial from a time.
func (h *health) try(since time.Time) {
	h.trial = 1
	if since.After(h.trialSince) {
		h.trialSince = since
	}
}

// answered records a response to a request that was granted at a time. It ends the trial of a
// target once it has shown to serve slots at once. A response may itself tell of an error.
func (h *health) answered(now, granted time.Time, slots int, isError bool) {
	if isError {
		h.observe(now, 1)
	} else {
		h.observe(now, 0)
	}
	h.answeredAt = now
	if h.trial == 0 || granted.Before(h.trialSince) {
		return
	}
	h.repeatable = false
	if h.trial *= 2; h.trial >= slots {
		h.trial, h.streak, h.rejections = 0, 0, 0
	}
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

// paused reports whether the target gets no requests.
func (h *health) paused(now time.Time) bool { return h.trial > 0 && now.Before(h.trialSince) }

// mayTry reports whether a target that is on trial may get a request, given when its grants were
// made.
func (h *health) mayTry(now time.Time, granted []time.Time) bool {
	if h.paused(now) {
		return false
	}
	trying := 0
	for _, at := range granted {
		if !at.Before(h.trialSince) {
			trying++
		}
	}
	return trying < h.trial
}

// wantsRepeatable reports whether a target only gets requests that may be repeated.
func (h *health) wantsRepeatable(now time.Time) bool {
	return h.trial > 0 && h.repeatable && now.Sub(h.trialSince) < trialGrace
}

// silent reports whether a target answers nothing, given when its grants were made and the mean
// time of a request.
func (h *health) silent(now time.Time, granted []time.Time, work time.Duration) bool {
	limit := time.Duration(silentFactor*float64(work)) + silentSlack
	if h.answeredAt.After(now.Add(-limit)) {
		return false
	}
	overdue := 0
	for _, at := range granted {
		if now.Sub(at) > limit {
			overdue++
		}
	}
	return overdue >= silentGrants
}
