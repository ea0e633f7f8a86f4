package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/health"
	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// maxDigestAge is the age up to which a digest counts as proof that an owner
// serves the target.
const maxDigestAge = 5 * time.Second

// Candidates returns the targets that can run a class of work, sorted by name.
// Targets that are marked for draining, or that a recent digest reports as
// leaving or out, are omitted. A target without a recent digest is included
// with Ready false.
func (s *Service) Candidates(class placement.Class) []placement.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	marks := drainMarksOf(s.current)
	var out []placement.Candidate
	for _, t := range s.targets {
		if !canServe(&t.config, class) || marks.drainsTarget(&t.config) {
			continue
		}
		if c, ok := s.candidate(now, t); ok {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b placement.Candidate) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// candidate returns a target with the values of its last digest. It is false if
// the digest is recent and reports the target as leaving or out. The caller
// holds the lock.
func (s *Service) candidate(now time.Time, t *ownedTarget) (placement.Candidate, bool) {
	c := placement.Candidate{
		Target:     t.config.Name,
		DataCentre: t.config.DataCentre,
		Hash:       t.hash,
		Capacity:   t.config.Slots,
		Slots:      t.config.Slots,
	}
	e, ok := s.table.Get(t.key)
	if !ok {
		return c, true
	}
	c.Slots, c.Running, c.Queued = int(e.Slots), int(e.Load), int(e.Queued)
	c.Age = now.Sub(e.At)
	c.Ready = c.Age < maxDigestAge
	state := e.State.Health()
	return c, !c.Ready || state != health.Out && state != health.Leaving
}

func canServe(t *config.Target, class placement.Class) bool {
	if class.Service != "" {
		return t.Service == class.Service
	}
	return slices.Contains(t.Models, class.Model)
}

// SetChatTarget records that a chat moved away from the first target in its
// ranking. A target that is not configured is ignored.
func (s *Service) SetChatTarget(chat uint64, target fleet.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.targets[target]; ok {
		s.affinity.Put(s.clock.Now(), chat, placement.ShortHash(t.hash))
	}
}

// ChatTarget returns the target that a chat moved to. It is false if no target
// is recorded, if the record is stale, or if the target is no longer
// configured.
func (s *Service) ChatTarget(chat uint64) (fleet.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.affinity.Get(s.clock.Now(), chat)
	if !ok || p.Stale {
		return "", false
	}
	t, ok := s.byShortHash[p.Target]
	if !ok {
		return "", false
	}
	return t.config.Name, true
}

// Targets returns a report for each configured target of the site, sorted by
// name. A target without a digest is reported as TargetUnknown, without an
// owner.
func (s *Service) Targets() []TargetReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.refreshOwnDigests(now)
	out := make([]TargetReport, 0, len(s.targets))
	for _, t := range s.targets {
		r := TargetReport{
			Target:     t.config.Name,
			DataCentre: t.config.DataCentre,
			Capacity:   t.config.Slots,
			State:      TargetUnknown,
		}
		if e, ok := s.table.Get(t.key); ok {
			r.Owner, r.State, r.At = e.OwnerVM, e.State.Health(), e.At
			r.Slots, r.Running, r.Queued = int(e.Slots), int(e.Load), int(e.Queued)
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b TargetReport) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// ownersKnownTimeout is the time after the start for which OwnersKnown waits
// for the owners of all targets.
const ownersKnownTimeout = 10 * time.Second

// OwnersKnown reports whether, for every target that is not marked for
// draining, this router has the digest of an owner that knows the target's
// state. It is true in any case once ownersKnownTimeout has passed since the
// start, and false without a configuration.
func (s *Service) OwnersKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.current == nil {
		return false
	}
	if now.Sub(s.started) > ownersKnownTimeout {
		return true
	}
	s.refreshOwnDigests(now)
	for _, t := range s.targets {
		e, ok := s.table.Get(t.key)
		known := ok && e.State.Health() != TargetUnknown
		if !known && t.config.Mark != fleet.MarkDrain {
			return false
		}
	}
	return true
}

// weights holds the weights of the members and accounts in a configuration. It
// implements fairness.Weights.
type weights struct {
	members  map[fleet.Member]float64
	accounts map[fleet.Account]float64
}

func weightsOf(c *config.Effective) weights {
	w := weights{members: make(map[fleet.Member]float64), accounts: make(map[fleet.Account]float64)}
	for _, m := range c.Members {
		w.members[m.Name] = m.Weight
	}
	for _, a := range c.Accounts {
		w.accounts[a.Name] = a.Weight
	}
	return w
}

// MemberWeight returns the weight of a member.
func (w weights) MemberWeight(m fleet.Member) float64 { return w.members[m] }

// AccountWeight returns the weight of an account within its member.
func (w weights) AccountWeight(_ fleet.Member, a fleet.Account) float64 { return w.accounts[a] }
