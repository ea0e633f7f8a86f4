package forward

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/overload"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// returningRatio is the ratio of its route's timeout below which the time that a
// caller has left shows that it was refused before.
const returningRatio = 0.98

// limiter returns the limiter of a service. The caller holds the lock.
func (s *Service) limiter(name fleet.Service) *overload.Limiter {
	l, ok := s.limiters[name]
	if !ok {
		l = overload.New()
		s.limiters[name] = l
	}
	return l
}

// maxLoadPerSlot returns the load per slot from which an engine gets no request of
// this caller. A stream that has begun is resumed regardless of the load.
func (r *request) maxLoadPerSlot() float64 {
	r.mu.Lock()
	begun := r.headSent
	r.mu.Unlock()
	if begun {
		return 0
	}
	c := overload.Caller{Rank: r.route.PriorityFor(r.account), Returning: r.returning()}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return r.s.limiter(r.service.Name).LoadPerSlot(c)
}

// returning reports whether the caller was refused before.
func (r *request) returning() bool {
	return r.Timeout > 0 && float64(r.Timeout) < returningRatio*float64(r.route.Timeout)
}

// decided records whether a service admitted or refused a request.
func (s *Service) decided(now time.Time, name fleet.Service, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter(name).Decided(now, refused)
}

// observeFirstByte records how long the engine of a send took to start its response.
// Silence was recorded when it was noticed.
func (r *request) observeFirstByte(s *send) {
	if r.s.clock.Now().Sub(s.startedAt) < r.firstByteTimeout() {
		r.observeLatency(s)
	}
}

// observeSilence records once that the engine of a send has not started its response in
// time.
func (r *request) observeSilence(s *send) {
	r.mu.Lock()
	known := r.headSent || s.late
	s.late = true
	r.mu.Unlock()
	if !known {
		r.s.noteSilence(s)
		r.observeLatency(s)
	}
}

// observeLatency records the time since a send was started as the latency of the
// engine's first byte.
func (r *request) observeLatency(s *send) {
	if !r.service.Engine || s.choice.Target.Slots <= 0 {
		return
	}
	r.mu.Lock()
	direct := s.via == ""
	r.mu.Unlock()
	if direct && r.s.pathIsCut(r.service.Name) {
		return // it is the path that is slow
	}
	now := r.s.clock.Now()
	f := overload.FirstByte{
		Latency:     now.Sub(s.startedAt),
		Objective:   r.route.Objective,
		LoadPerSlot: s.choice.Load / float64(s.choice.Target.Slots),
	}
	if s.work != nil {
		f.LoadPerSlot = s.choice.Work.LoadPerSlot
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.limiter(r.service.Name).Observe(now, f)
}

// overloadRetryAfter returns when a caller that an overloaded service refused
// should return.
func (s *Service) overloadRetryAfter(name fleet.Service, left time.Duration) time.Duration {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter(name).RetryAfter(now, left, s.rng.Float64())
}
