package owner

import (
	"context"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/admission"
	"github.com/zinniafork/zinniafork/internal/core/digest"
	"github.com/zinniafork/zinniafork/internal/core/health"
	"github.com/zinniafork/zinniafork/internal/core/ownership"
	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/target"
)

// ownedTarget is a configured target. Every router keeps one for each target of
// the site; its admission state is used only while this router owns the target.
type ownedTarget struct {
	config config.Target
	id     ownership.ID
	key    digest.Key
	hash   uint64
	client target.Runner

	admission *admission.Target
	// group lists the other targets in service that can do some of the same
	// work.
	group []digest.TargetCapacity
	// stopProbe stops the probe loop. It is nil while the target is not held.
	stopProbe context.CancelFunc
	probeNow  chan struct{}
	waiting   map[uint64]*waiter
	// lastReport is the last load report.
	lastReport target.Report
}

// waiter is a request that waits in Admit.
type waiter struct {
	id       uint64
	decision chan decision
}

// decision is the result of Admit: the request is admitted if refusal is nil.
type decision struct {
	refusal *admission.Refusal
}

// configureTargets creates, updates and removes targets for a new
// configuration. The caller holds the lock.
func (s *Service) configureTargets(now time.Time, c *config.Effective) {
	rules := admissionRules{config: c, marks: drainMarksOf(c), weights: weightsOf(c), bounded: s.rules.Bounded}
	seen := make(map[fleet.Target]bool, len(c.Targets))
	for i := range c.Targets {
		tc := c.Targets[i]
		seen[tc.Name] = true
		t, ok := s.targets[tc.Name]
		if !ok {
			t = s.newTarget(now, tc, rules.configFor(&tc))
		} else if t.config.URL != tc.URL {
			t.client = s.clients.newClient(&tc, c)
		}
		t.config = tc
		s.apply(t, t.admission.Configure(now, rules.configFor(&tc)))
	}
	for name, t := range s.targets {
		if !seen[name] {
			s.dropTarget(t)
		}
	}
	s.updateGroups(rules.marks)
}

func (s *Service) newTarget(now time.Time, tc config.Target, c admission.Config) *ownedTarget {
	resource := TargetResource(tc.Name)
	t := &ownedTarget{
		config:    tc,
		id:        ownership.IDOf(string(resource)),
		key:       digest.KeyOf(string(resource)),
		hash:      placement.HashTarget(tc.Name),
		client:    s.clients.newClient(&tc, s.current),
		admission: admission.NewTarget(c, now),
		probeNow:  make(chan struct{}, 1),
		waiting:   make(map[uint64]*waiter),
	}
	s.targets[tc.Name] = t
	s.byID[t.id] = t
	s.byShortHash[placement.ShortHash(t.hash)] = t
	return t
}

func (s *Service) dropTarget(t *ownedTarget) {
	s.releaseTarget(t)
	delete(s.targets, t.config.Name)
	delete(s.byID, t.id)
	delete(s.byShortHash, placement.ShortHash(t.hash))
}

// updateGroups computes the group of each target. The caller holds the lock.
func (s *Service) updateGroups(marks drainMarks) {
	for _, t := range s.targets {
		t.group = t.group[:0]
		for _, other := range s.targets {
			if other != t && !marks.drainsTarget(&other.config) && sharesWork(&t.config, &other.config) {
				t.group = append(t.group, digest.TargetCapacity{Resource: other.key, Capacity: other.config.Slots})
			}
		}
	}
}

// sharesWork reports whether some requests can run on both targets.
func sharesWork(a, b *config.Target) bool {
	if !a.IsEngine() || !b.IsEngine() {
		return a.Service == b.Service
	}
	return slices.ContainsFunc(a.Models, func(m fleet.Model) bool { return slices.Contains(b.Models, m) })
}

// admissionRules derives the admission configuration of targets from a
// configuration.
type admissionRules struct {
	config  *config.Effective
	marks   drainMarks
	weights weights
	bounded bool
}

func (r admissionRules) configFor(t *config.Target) admission.Config {
	out := admission.Config{
		Limits: health.Limits{
			Capacity:  t.Slots,
			ColdSlots: max(1, min(t.ColdSlots, t.Slots)),
			Leaving:   r.marks.drainsTarget(t),
		},
		QueueLength: r.config.Load.QueueLength,
		Weights:     r.weights,
	}
	if r.bounded {
		out.Bound = r.config.Load.Bound
	}
	return out
}

// acquireTarget starts this router's term as owner of a target: it admits
// requests and probes the target from now on. The caller holds the lock.
func (s *Service) acquireTarget(t *ownedTarget, r ownership.Residual) {
	now := s.clock.Now()
	s.held[t] = struct{}{}
	t.admission.Acquire(now, r)
	t.admission.Health().StartRamp(s.previousRamp(now, t))
	s.setMaxInFlight(t)
	s.updateGroupLoad(now, t)
	ctx, cancel := context.WithCancel(s.lifetime)
	t.stopProbe = cancel
	go s.probeLoop(ctx, t)
	s.members.SendHeartbeats()
}

// previousRamp returns the number of slots with which a target starts that was
// still warming up, or leaving, according to a recent digest of its previous
// owner: the slots that this owner allowed, or the cold slots. It is zero, for
// no limit, if the target was in another state or the digest is older than
// maxDigestAge. The caller holds the lock.
func (s *Service) previousRamp(now time.Time, t *ownedTarget) int {
	e, ok := s.table.Get(t.key)
	if !ok || now.Sub(e.At) > maxDigestAge {
		return 0
	}
	switch e.State.Health() {
	case health.Cold, health.Warming:
		return max(int(e.Slots), 1)
	case health.Leaving:
		return max(t.config.ColdSlots, 1)
	}
	return 0
}

// releaseTarget ends this router's term as owner of a target, if it holds it.
// Running requests continue, waiting ones are refused. The caller holds the
// lock.
func (s *Service) releaseTarget(t *ownedTarget) {
	if t.stopProbe != nil {
		t.stopProbe()
		t.stopProbe = nil
	}
	delete(s.held, t)
	s.apply(t, t.admission.Release())
}

// apply executes the actions of the admission of a target. The caller holds the
// lock.
func (s *Service) apply(t *ownedTarget, a admission.Actions) {
	for _, r := range a.Refuse {
		s.resolve(t, r.ID, decision{refusal: &r})
	}
	for _, id := range a.Start {
		s.confirmStart(t, id)
	}
	s.setMaxInFlight(t)
}

// confirmStart requests the confirmation of the lease that a request needs
// before it is sent to the target. The caller holds the lock.
func (s *Service) confirmStart(t *ownedTarget, id uint64) {
	s.setMaxInFlight(t)
	confirmation, actions := s.node.Confirm(s.clock.Now(), t.id)
	s.pendingStarts[confirmation] = pendingStart{target: t, id: id}
	s.execute(actions)
}

// pendingStart is a request that waits for a confirmation of the lease.
type pendingStart struct {
	target *ownedTarget
	id     uint64
}

// handleConfirmation admits a request if the lease is confirmed, and refuses it
// if the lease is lost. The caller holds the lock.
func (s *Service) handleConfirmation(st pendingStart, ok bool) {
	now := s.clock.Now()
	t := st.target
	if ok {
		if t.admission.ConfirmStart(now, st.id) {
			s.resolve(t, st.id, decision{})
		}
		return
	}
	s.apply(t, t.admission.Cancel(now, st.id))
	s.resolve(t, st.id, decision{refusal: &admission.Refusal{ID: st.id, Reason: admission.NotOwner}})
}

// resolve ends the wait of a request in Admit, if it still waits. The caller
// holds the lock.
func (s *Service) resolve(t *ownedTarget, id uint64, d decision) {
	if w, ok := t.waiting[id]; ok {
		delete(t.waiting, id)
		w.decision <- d
	}
}

// setMaxInFlight passes the upper bound of the requests in flight at a target to
// the node. The caller holds the lock.
func (s *Service) setMaxInFlight(t *ownedTarget) {
	maxInFlight, pending := t.admission.MaxInFlight(s.clock.Now())
	s.node.SetMaxInFlight(t.id, maxInFlight, pending)
}

// groupLoadFreshness is the age up to which a digest counts fully for the group
// load. Its weight then falls to zero at twice this age.
const groupLoadFreshness = time.Second

// updateGroupLoad passes the load of the other targets of its group to the
// admission of a target. The caller holds the lock.
func (s *Service) updateGroupLoad(now time.Time, t *ownedTarget) {
	sum := s.table.Sum(now, t.group, groupLoadFreshness)
	s.apply(t, t.admission.SetGroupLoad(now, admission.GroupLoad{Load: sum.Load, Capacity: sum.Capacity}))
}

// groupLoadPeriod is the time after which the group loads are updated even if
// no digest has changed.
const groupLoadPeriod = 100 * time.Millisecond

// tickTargets does what is due for the targets that this router holds. The
// caller holds the lock.
func (s *Service) tickTargets(now time.Time) {
	updateLoads := now.Sub(s.groupLoadAt) >= groupLoadPeriod
	if updateLoads {
		s.groupLoadAt = now
		s.refreshOwnDigests(now)
		s.announceLoadIncrease(now)
	}
	for t := range s.held {
		s.apply(t, t.admission.Tick(now))
		if updateLoads {
			s.updateGroupLoad(now, t)
		}
	}
}
