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

// ownedTarget is one configured target: its admission, which matters while
// this router owns it, and what is known of it otherwise.
type ownedTarget struct {
	config config.Target
	id     ownership.ID
	key    digest.Key
	hash   uint64
	client target.Runner

	admission *admission.Target
	// group are the other targets that can do the same work.
	group []digest.TargetCapacity
	// stopProbe ends the reading of reports; nil while the target is not held.
	stopProbe context.CancelFunc
	probeNow  chan struct{}
	waiting   map[uint64]*entrant
	// reported is the last load report, for operators.
	reported target.Report
}

// entrant is a request that waits in Enter.
type entrant struct {
	id      uint64
	outcome chan outcome
}

// outcome ends the wait of a request: it may go, or it was refused.
type outcome struct {
	refusal *admission.Refusal
}

// configureTargets takes the targets of a configuration. The caller holds the
// lock.
func (s *Service) configureTargets(now time.Time, c *config.Effective) {
	rules := admissionRules{config: c, marks: marksOf(c), weights: weightsOf(c), bounded: s.rules.Bounded}
	seen := make(map[fleet.Target]bool, len(c.Targets))
	for i := range c.Targets {
		row := c.Targets[i]
		seen[row.Name] = true
		t, ok := s.targets[row.Name]
		if !ok {
			t = s.newTarget(now, row, rules.of(&row))
		} else if t.config.URL != row.URL {
			t.client = s.clients.client(&row, c)
		}
		t.config = row
		s.apply(t, t.admission.Configure(now, rules.of(&row)))
	}
	for name, t := range s.targets {
		if !seen[name] {
			s.dropTarget(t)
		}
	}
	s.groupTargets(rules.marks)
}

func (s *Service) newTarget(now time.Time, row config.Target, c admission.Config) *ownedTarget {
	resource := TargetResource(row.Name)
	t := &ownedTarget{
		config:    row,
		id:        ownership.IDOf(string(resource)),
		key:       digest.KeyOf(string(resource)),
		hash:      placement.HashTarget(row.Name),
		client:    s.clients.client(&row, s.current),
		admission: admission.NewTarget(c, now),
		probeNow:  make(chan struct{}, 1),
		waiting:   make(map[uint64]*entrant),
	}
	s.targets[row.Name] = t
	s.byID[t.id] = t
	s.byShort[placement.ShortHash(t.hash)] = t
	return t
}

func (s *Service) dropTarget(t *ownedTarget) {
	s.loseTarget(t)
	delete(s.targets, t.config.Name)
	delete(s.byID, t.id)
	delete(s.byShort, placement.ShortHash(t.hash))
}

// groupTargets finds for each target the others in service that can do some of
// the same work.
func (s *Service) groupTargets(m marks) {
	for _, t := range s.targets {
		t.group = t.group[:0]
		for _, other := range s.targets {
			if other != t && !m.leaves(&other.config) && sameWork(&t.config, &other.config) {
				t.group = append(t.group, digest.TargetCapacity{Resource: other.key, Capacity: other.config.Slots})
			}
		}
	}
}

func sameWork(a, b *config.Target) bool {
	if !a.IsEngine() || !b.IsEngine() {
		return a.Service == b.Service
	}
	return slices.ContainsFunc(a.Models, func(m fleet.Model) bool { return slices.Contains(b.Models, m) })
}

// admissionRules builds the admission rules of targets.
type admissionRules struct {
	config  *config.Effective
	marks   marks
	weights weights
	bounded bool
}

func (r admissionRules) of(t *config.Target) admission.Config {
	out := admission.Config{
		Limits: health.Limits{
			Capacity:  t.Slots,
			ColdSlots: max(1, min(t.ColdSlots, t.Slots)),
			Leaving:   r.marks.leaves(t),
		},
		QueueLength: r.config.Load.QueueLength,
		Weights:     r.weights,
	}
	if r.bounded {
		out.Bound = r.config.Load.Bound
	}
	return out
}

// gainTarget begins a tenure. The caller holds the lock.
func (s *Service) gainTarget(t *ownedTarget, r ownership.Residual) {
	now := s.clock.Now()
	s.held[t] = struct{}{}
	t.admission.Acquire(now, r)
	t.admission.Health().StartRamp(s.ramped(now, t))
	s.setCeiling(t)
	s.shareLoad(now, t)
	ctx, cancel := context.WithCancel(s.life)
	t.stopProbe = cancel
	go s.probe(ctx, t)
	s.members.Beat()
}

// ramped returns the slots that the last owner of a target let it run, when its
// digest says that the target was warming up just now.
func (s *Service) ramped(now time.Time, t *ownedTarget) int {
	e, ok := s.table.Get(t.key)
	if !ok || now.Sub(e.At) > digestTrust {
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

// loseTarget ends a tenure. The caller holds the lock.
func (s *Service) loseTarget(t *ownedTarget) {
	if t.stopProbe != nil {
		t.stopProbe()
		t.stopProbe = nil
	}
	delete(s.held, t)
	s.apply(t, t.admission.Release())
}

// apply carries out what admission asks for. The caller holds the lock.
func (s *Service) apply(t *ownedTarget, a admission.Actions) {
	for _, r := range a.Refuse {
		s.finish(t, r.ID, outcome{refusal: &r})
	}
	for _, id := range a.Start {
		s.confirmStart(t, id)
	}
	s.setCeiling(t)
}

// confirmStart asks the voters before a request goes to the target.
func (s *Service) confirmStart(t *ownedTarget, id uint64) {
	s.setCeiling(t)
	ticket, actions := s.node.Confirm(s.clock.Now(), t.id)
	s.starts[ticket] = start{target: t, id: id}
	s.act(actions)
}

// start is a request that waits for a confirmation.
type start struct {
	target *ownedTarget
	id     uint64
}

// confirmed lets a request go, or refuses it when the lease was lost.
func (s *Service) confirmed(st start, ok bool) {
	now := s.clock.Now()
	t := st.target
	if ok {
		if t.admission.ConfirmStart(now, st.id) {
			s.finish(t, st.id, outcome{})
		}
		return
	}
	s.apply(t, t.admission.Cancel(now, st.id))
	s.finish(t, st.id, outcome{refusal: &admission.Refusal{ID: st.id, Reason: admission.NotOwner}})
}

func (s *Service) finish(t *ownedTarget, id uint64, o outcome) {
	if e, ok := t.waiting[id]; ok {
		delete(t.waiting, id)
		e.outcome <- o
	}
}

// setCeiling tells the lease node what this router's work may amount to.
func (s *Service) setCeiling(t *ownedTarget) {
	ceiling, pending := t.admission.MaxInFlight(s.clock.Now())
	s.node.SetInFlight(t.id, ceiling, pending)
}

// meanLag is the age up to which a digest counts for the mean load.
const meanLag = time.Second

// shareLoad tells a target the load of the others of its group.
func (s *Service) shareLoad(now time.Time, t *ownedTarget) {
	sum := s.table.Sum(now, t.group, meanLag)
	s.apply(t, t.admission.SetGroupLoad(now, admission.GroupLoad{Load: sum.Load, Capacity: sum.Capacity}))
}

// sharePeriod is the time between looks at the load of other targets when no
// digest brings news of it.
const sharePeriod = 100 * time.Millisecond

// tickTargets moves the held targets on. The caller holds the lock.
func (s *Service) tickTargets(now time.Time) {
	share := now.Sub(s.sharedAt) >= sharePeriod
	if share {
		s.sharedAt = now
		s.refreshOwn(now)
		s.tellRise(now)
	}
	for t := range s.held {
		s.apply(t, t.admission.Tick(now))
		if share {
			s.shareLoad(now, t)
		}
	}
}
