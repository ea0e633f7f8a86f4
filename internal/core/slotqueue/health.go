package slotqueue

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// A target that broke trialStreak requests in a row is tried with one request at a time, and
	// gets none for minFailPause from pauseStreak on, which doubles up to maxFailPause while it
	// goes on. One that fails at once looks idle, and would otherwise get more than the others.
	trialStreak  = 2
	pauseStreak  = 3
	minFailPause = 100 * time.Millisecond
	maxFailPause = 200 * time.Millisecond
	// trialGrowth times as many requests are tried after each response.
	trialGrowth = 3
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
	// A grant that is older than overdueFactor times the mean time of a request counts as a
	// failure at once. One request in 100 takes five times as long.
	overdueFactor = 6
	// failWeight is the weight of the last request in the share of failures, and failCost what
	// a certain failure counts in times of a request. A target that gets no requests is
	// forgiven by half in failHalfLife.
	failWeight   = 0.1
	failCost     = 15
	failHalfLife = time.Second
	// unreliableShare more failures than unreliableFactor times those of the best target make a
	// request wait for another one, if that may still be in time.
	unreliableShare  = 0.08
	unreliableFactor = 2
	// doubtfulShare is the share of failures from which a request that may not be repeated waits
	// as long as another target may serve it at all.
	doubtfulShare = 0.5
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
	// target is not on trial. It grows with each response.
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
	if h.streak > 0 && from == h.failedFrom || h.trial > 0 && granted.Before(h.trialSince) {
		return // it tells nothing new
	}
	h.streak, h.failedFrom = h.streak+1, from
	switch {
	case h.streak < trialStreak:
	case h.streak < pauseStreak:
		h.try(now)
	default:
		h.repeatable = true
		h.try(now.Add(min(minFailPause<<min(h.streak-pauseStreak, 8), maxFailPause)))
	}
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
// target once it has shown to serve slots at once.
func (h *health) answered(now, granted time.Time, slots int) {
	h.observe(now, 0)
	h.answeredAt = now
	if h.trial == 0 {
		h.streak = 0
	}
	if h.trial == 0 || granted.Before(h.trialSince) {
		return
	}
	h.repeatable = false
	if h.trial *= trialGrowth; h.trial >= slots {
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

// isOverdue reports whether a request that was granted at a time is likely to have failed, given
// the mean time of one, and counts it as a failure.
func (h *health) isOverdue(now, granted time.Time, work time.Duration) bool {
	if now.Sub(granted) <= overdueFactor*work {
		return false
	}
	h.observe(now, 1)
	return true
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
