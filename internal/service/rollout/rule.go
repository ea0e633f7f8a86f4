package rollout

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/rollout"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// grantWait is how long a stream that must go on at the new version waits for a grant.
const grantWait = 600 * time.Millisecond

// Rule says where one send of a request may go. A nil rule allows any version.
type Rule struct {
	s    *Service
	st   *state
	gate *rollout.Gate
	rule rollout.Rule
}

// Allows reports whether a target of a version may be chosen.
func (r *Rule) Allows(version string) bool { return r == nil || r.rule.Allows(version) }

// ToNew reports whether the rule allows only the new version, so that OldOnly may lead elsewhere.
func (r *Rule) ToNew() bool { return r != nil && r.rule.Reserved }

// OldOnly gives back the grant of a rule and returns one for the old versions.
func (r *Rule) OldOnly() *Rule {
	r.Release()
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return &Rule{s: r.s, st: r.st, gate: r.gate, rule: r.gate.OldOnly()}
}

// Release gives back the grant of a rule under which nothing is sent.
func (r *Rule) Release() {
	if r == nil {
		return
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.gate.Release(r.rule)
	r.rule = rollout.Rule{}
}

// Rule returns where the next send of a request may go.
func (s *Service) Rule(ctx context.Context, service fleet.Service, pinned string) *Rule {
	if !s.enabled {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.services[service]
	if !ok || st.tracker.Gate() == nil {
		return nil
	}
	if pinned != "" && st.tracker.Waits(s.clock.Now(), pinned) {
		s.awaitGrant(ctx, st, pinned)
	}
	gate := st.tracker.Gate()
	if gate == nil {
		return nil
	}
	return &Rule{s: s, st: st, gate: gate, rule: gate.Rule(s.clock.Now(), pinned)}
}

// awaitGrant waits for a grant for a stream that must go on at the new version. The caller holds
// the lock, which is released meanwhile.
func (s *Service) awaitGrant(ctx context.Context, st *state, pinned string) {
	st.tracker.Await(1)
	defer st.tracker.Await(-1)
	timeout := make(chan struct{})
	stop := s.clock.AfterFunc(grantWait, func() { close(timeout) })
	defer stop()
	st.reportAt = s.clock.Now()
	for st.tracker.Waits(s.clock.Now(), pinned) {
		replied := st.replied
		s.mu.Unlock()
		expired := false
		select {
		case <-ctx.Done():
			expired = true
		case <-timeout:
			expired = true
		case <-replied:
		}
		s.mu.Lock()
		if expired {
			return
		}
	}
}

// Observation is a send under way. A nil one observes nothing.
type Observation struct {
	s    *Service
	st   *state
	send rollout.Send
}

// Started records a send to a target under a rule.
func (s *Service) Started(rule *Rule, service fleet.Service, version string) *Observation {
	if !s.enabled {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state(service)
	var held rollout.Rule
	if rule != nil {
		if rule.gate == st.tracker.Gate() {
			held = rule.rule
		}
		rule.rule = rollout.Rule{}
	}
	return &Observation{s: s, st: st, send: st.tracker.Started(s.clock.Now(), held, version)}
}

// Ended records the end of the send.
func (o *Observation) Ended(r *Result) {
	if o == nil {
		return
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	o.st.tracker.Ended(o.s.clock.Now(), o.send, &rollout.Outcome{
		Route: r.Route, Target: r.Target.Ref(), Observed: r.Observed, Failed: r.Failed, Latency: r.Latency, Pace: r.Pace,
	})
}
