package forward

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/ratelimit"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
)

// processOf returns the process behind an available target.
func processOf(t *sitestate.AvailableTarget) ratelimit.Process {
	return ratelimit.Process{Target: t.ID.Ref(), Born: uint32(t.Born)}
}

// takeLimit records whether the response of a send names a limit, and reports whether
// that changes the limit of its target. The caller holds the lock.
func (s *Service) takeLimit(now time.Time, send *send) (changed bool) {
	resp := send.resp
	if !resp.NamesRequest {
		return false
	}
	p := processOf(&send.choice.Target)
	if resp.Limited {
		changed = s.limits.Named(now, p, resp.RateLimit)
	} else {
		changed = s.limits.NotNamed(now, p, send.startedAt)
	}
	s.countLimited()
	return changed
}

// countLimited updates the number of targets that name a limit. The caller holds the
// lock.
func (s *Service) countLimited() {
	gauge := s.metrics.limitedTargets
	gauge.Inc(int64(s.limits.Count()) - gauge.Count())
}

// logLimit logs that the limit of a target has changed.
func logLimit(entry *logrus.Entry, limited bool, rate float64) {
	if limited {
		entry.WithField("rate_limit", rate).Info("Target names a request limit.")
	} else {
		entry.Info("Target names no request limit any more.")
	}
}

// limitOf returns the limit that a target names in requests a second, and false if it
// names none.
func (s *Service) limitOf(t *sitestate.AvailableTarget) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Limit(processOf(t))
}

// countLimitedSend counts a send to a target that names a limit.
func (r *request) countLimitedSend(s *send) {
	if !s.limited {
		return
	}
	if r.isRetry() {
		r.s.metrics.limitedRepeats.Inc(1)
	} else {
		r.s.metrics.limitedFirst.Inc(1)
	}
}
