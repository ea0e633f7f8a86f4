package rollout

import (
	"context"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/rollout"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
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
	// to is the new version. It is empty if the rule holds for good: the roll-out is done.
	to string
	// only is the target of the new version that a request was drawn for, empty for any: the
	// verdict needs responses of all targets alike, and the least loaded is often the same.
	only   fleet.Target
	pinned bool
}

// Allows reports whether a target may be chosen. A request may have waited for a slot since the rule
// was made, so a target of the new version must still be open to it.
func (r *Rule) Allows(id fleet.Target, version string) bool {
	if r == nil {
		return true
	}
	if !r.rule.Allows(version) || r.only != "" && r.only != id {
		return false
	}
	if r.to == "" || version != r.to {
		return true
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return r.isOpen()
}

// isOpen reports whether targets of the new version may still be chosen. The caller holds the lock.
func (r *Rule) isOpen() bool {
	return r.gate == r.st.tracker.Gate() && r.gate.Opens(r.s.clock.Now(), r.rule)
}

// Widen makes a rule allow more targets if it can, after none could be chosen: any target of the
// new version, then the old ones, for which it gives its grant back. In a cutover the old ones are
// allowed only after a roll-back.
func (r *Rule) Widen() bool {
	if r == nil || r.pinned || r.to == "" || !r.rule.Allows(r.to) {
		return false
	}
	if r.only != "" {
		r.only = ""
		return true
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	if !r.rule.Reserved && r.isOpen() {
		return false
	}
	r.gate.Release(r.rule)
	if r.gate = r.st.tracker.Gate(); r.gate == nil {
		r.rule, r.to = rollout.Rule{}, "" // the order was forgotten meanwhile
		return true
	}
	r.rule, r.to = r.gate.OldOnly(), r.gate.Order().To
	return true
}

// Release gives back the grant of a rule under which nothing is sent.
func (r *Rule) Release() {
	if r == nil {
		return
	}
	if r.gate == nil {
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
	if _, heard := gate.Reply(); !heard && s.onlyNew(service, gate.Order().To) {
		return nil
	}
	out := &Rule{s: s, st: st, gate: gate, rule: gate.Rule(s.clock.Now(), pinned), pinned: pinned != ""}
	if reply, heard := gate.Reply(); !heard || reply.Phase != rollout.Done {
		out.to = gate.Order().To
	}
	if out.rule.Reserved && !out.pinned {
		out.only = s.drawTarget(service, gate.Order().To)
	}
	return out
}

// onlyNew reports whether all targets have the new version. A router that starts after a roll-out
// was done must serve before it hears so. The caller holds the lock.
func (s *Service) onlyNew(service fleet.Service, version string) bool {
	targets := s.site.Available(service)
	return len(targets) > 0 && !slices.ContainsFunc(targets, func(t sitestate.AvailableTarget) bool { return t.Version != version })
}

// drawTarget draws one of the targets of a version, empty if there is none. The caller holds the
// lock.
func (s *Service) drawTarget(service fleet.Service, version string) fleet.Target {
	var ids []fleet.Target
	for _, t := range s.site.Available(service) {
		if t.Version == version {
			ids = append(ids, t.ID)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return ids[s.rng.IntN(len(ids))]
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
