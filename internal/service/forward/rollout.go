package forward

import (
	"bytes"
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/service/rollout"
)

// versionObservation is what a send shows of the version of its target.
type versionObservation struct {
	*rollout.Observation
	route string
	// prompted is true for a request with a prompt. The time to its first event depends on what
	// its target has in cache, so that it can't be compared.
	prompted bool
	stream   bool
	// firstAt is the time of the first event of a stream, lastAt that of the last one, and
	// events their number.
	firstAt, lastAt time.Time
	events          int
}

// choose chooses a target for the next send, as chooseUnder does, at a version that a roll-out of
// the service allows. A request that is drawn for the new version goes to an old one if no target
// of the new one may get it.
func (r *request) choose(ctx context.Context, now time.Time) (*send, int) {
	if r.s.rollouts == nil {
		return r.chooseUnder(ctx, now, nil)
	}
	r.mu.Lock()
	pinned := r.pinned
	r.mu.Unlock()
	rule := r.s.rollouts.Rule(ctx, r.service.Name, pinned)
	if rule != nil {
		now = r.s.clock.Now() // it may have waited for a grant
	}
	s, available := r.chooseUnder(ctx, now, rule)
	for s.target() == "" && rule.Widen() {
		s, available = r.chooseUnder(ctx, r.s.clock.Now(), rule)
	}
	if s.target() == "" {
		rule.Release()
		return s, available
	}
	s.observed = versionObservation{
		Observation: r.s.rollouts.Started(rule, r.service.Name, s.choice.Target.Version),
		route:       r.route.Name, prompted: r.service.Engine && len(r.Prefixes) > 0,
	}
	return s, available
}

// noteEvents records events of a stream.
func (o *versionObservation) noteEvents(now time.Time, events []byte) {
	if o.Observation == nil {
		return
	}
	if !o.stream {
		o.stream, o.firstAt = true, now
	}
	o.lastAt = now
	o.events += bytes.Count(events, eventDelimiter)
}

// versionEnded records the end of a send for the roll-out of its service.
func (s *send) versionEnded(now time.Time, failed, observed bool) {
	o := &s.observed
	if o.Observation == nil {
		return
	}
	result := rollout.Result{Route: o.route, Target: s.target(), Observed: observed, Failed: failed}
	switch {
	case o.stream && !o.prompted:
		result.Latency = o.firstAt.Sub(s.startedAt)
	case !o.stream && !o.prompted:
		result.Latency = now.Sub(s.startedAt)
	}
	if o.events > 1 {
		result.Pace = o.lastAt.Sub(o.firstAt) / time.Duration(o.events-1)
	}
	o.Ended(&result)
}
