// Package overload limits the requests that a service's targets hold at once, so
// that work beyond their capacity is refused instead of waiting in their queues.
//
// It answers a load pattern that feeds on itself. Part of the engines fail during a
// burst and the others get more requests than they can run. A queue forms, and it
// stays after the burst: each response is late, costs as much engine time as one in
// time, and holds up the next. Adding requests to such a queue serves no caller
// sooner. With a limit the queue drains within the latency objective, callers in
// excess learn at once that their request did not run, and they return when the
// engines have room again.
//
// The number of requests that an engine can hold in time depends on the lengths of
// prompts and responses, on its memory and on its speed, none of which is known in
// advance. A Limiter therefore starts from the number of slots and follows the
// ratio of first bytes that come late.
package overload

import (
	"time"
)

const (
	// initialLimit is the limit per slot until latencies are known, and maxLimit
	// its upper bound. The part above 1 is a queue that keeps an engine busy while
	// the routers learn that a request has ended.
	initialLimit = 1.0
	maxLimit     = 1.1
	// minLimit is the lower bound of the limit per slot.
	minLimit = 0.3
	// windowLength is the time over which late first bytes are counted. A window
	// with fewer than minSamples of them continues.
	windowLength = 500 * time.Millisecond
	minSamples   = 8
	// highLateRatio and lowLateRatio are the ratios of late first bytes above
	// which the limit falls and below which it rises.
	highLateRatio = 0.35
	lowLateRatio  = 0.15
	// decrease multiplies the limit after a window with many late first bytes,
	// increase is added per slot after one with few.
	decrease = 0.85
	increase = 0.05
	// rankStep is the reduction of the limit for each priority rank below the
	// highest, as a ratio of it. At most maxRankSteps ranks count, so that the
	// lowest ones are still served.
	rankStep     = 0.03
	maxRankSteps = 3
	// returningBonus raises the limit for callers that were refused before, as a
	// ratio of it, so that nobody is turned away again and again.
	returningBonus = 0.06
	// minRetryRatio and maxRetryRatio bound Retry-After, as ratios of the time
	// that a caller has left. Callers reduce a longer one to a third.
	minRetryRatio = 0.08
	maxRetryRatio = 0.33
	// pressureHalfLife is the time after which the remembered share of refused
	// requests has fallen to half.
	pressureHalfLife = time.Second
)

// FirstByte describes how long a target took to start a response.
type FirstByte struct {
	// Latency is the time from the request's arrival at the router, and Objective
	// the latency up to which the response is in time.
	Latency   time.Duration
	Objective time.Duration
	// LoadPerSlot is the load of the target when it was chosen.
	LoadPerSlot float64
}

// Caller describes the request to admit.
type Caller struct {
	// Rank is the request's priority, 0 for the most urgent.
	Rank int
	// Returning is true for a caller that was refused before.
	Returning bool
}

// Limiter holds the limit of one service. It is not safe for concurrent use.
type Limiter struct {
	limit float64
	// windowStart is the start of the current window, and samples, late and
	// lateLoad count its first bytes, the late ones, and the sum of the loads
	// behind the late ones.
	windowStart time.Time
	samples     int
	late        int
	lateLoad    float64
	// refusedRatio is the smoothed share of refused requests as of decidedAt.
	refusedRatio float64
	decidedAt    time.Time
}

// New returns a limiter that has seen no latencies.
func New() *Limiter { return &Limiter{limit: initialLimit} }

// LoadPerSlot returns the load per slot from which a target gets no further
// request of this caller.
func (l *Limiter) LoadPerSlot(c Caller) float64 {
	limit := l.limit * (1 - rankStep*float64(min(max(c.Rank, 0), maxRankSteps)))
	if c.Returning {
		limit += l.limit * returningBonus
	}
	return limit
}

// Observe takes the latency of a first byte. At the end of each window the limit
// falls below the load at which first bytes came late, or rises:
//
//	late ratio above highLateRatio   limit = decrease x min(limit, mean load of the late ones)
//	late ratio below lowLateRatio    limit = limit + increase
//	otherwise                        limit stays
func (l *Limiter) Observe(now time.Time, f FirstByte) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.samples++
	if f.Latency > f.Objective {
		l.late++
		l.lateLoad += f.LoadPerSlot
	}
	if now.Sub(l.windowStart) < windowLength || l.samples < minSamples {
		return
	}
	switch ratio := float64(l.late) / float64(l.samples); {
	case ratio > highLateRatio:
		l.limit = decrease * min(l.limit, l.lateLoad/float64(l.late))
	case ratio < lowLateRatio:
		l.limit += increase
	}
	l.limit = min(max(l.limit, minLimit), maxLimit)
	l.windowStart, l.samples, l.late, l.lateLoad = now, 0, 0, 0
}

// Decided records whether a request was admitted or refused.
func (l *Limiter) Decided(now time.Time, refused bool) {
	const weight = 0.05
	l.refusedRatio = (1 - weight) * l.decayed(now)
	if refused {
		l.refusedRatio += weight
	}
	l.decidedAt = now
}

// decayed returns the share of refused requests, less the longer ago the last one
// was decided.
func (l *Limiter) decayed(now time.Time) float64 {
	halves := now.Sub(l.decidedAt).Seconds() / pressureHalfLife.Seconds()
	return l.refusedRatio / (1 + max(halves, 0))
}

// RetryAfter returns when a refused caller should return, given the time that it
// has left and a uniform random number in [0, 1). The more callers are refused, the
// later they return and the wider they are spread.
func (l *Limiter) RetryAfter(now time.Time, left time.Duration, draw float64) time.Duration {
	span := (maxRetryRatio - minRetryRatio) * min(4*l.decayed(now), 1)
	return time.Duration(float64(left) * (minRetryRatio + span*draw))
}
