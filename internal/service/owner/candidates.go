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

// digestTrust is the age up to which a digest shows that a target is served.
const digestTrust = 5 * time.Second

// Candidates returns the targets that can run a class of work, sorted by name.
// Targets that leave or are out are not among them.
func (s *Service) Candidates(class placement.Class) []placement.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	marks := marksOf(s.current)
	var out []placement.Candidate
	for _, t := range s.targets {
		if !serves(&t.config, class) || marks.leaves(&t.config) {
			continue
		}
		if c, ok := s.candidate(now, t); ok {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b placement.Candidate) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

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
	c.Ready = c.Age < digestTrust
	state := e.State.Health()
	return c, !c.Ready || state != health.Out && state != health.Leaving
}

func serves(t *config.Target, class placement.Class) bool {
	if class.Service != "" {
		return t.Service == class.Service
	}
	return slices.Contains(t.Models, class.Model)
}

// SetChatTarget notes that a chat goes to another target than its first.
func (s *Service) SetChatTarget(chat uint64, target fleet.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.targets[target]; ok {
		s.memory.Put(s.clock.Now(), chat, placement.ShortHash(t.hash))
	}
}

// ChatTarget returns the target that a chat went to.
func (s *Service) ChatTarget(chat uint64) (fleet.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.memory.Get(s.clock.Now(), chat)
	if !ok || p.Stale {
		return "", false
	}
	t, ok := s.byShort[p.Target]
	if !ok {
		return "", false
	}
	return t.config.Name, true
}

// Targets describes all targets of the site.
func (s *Service) Targets() []TargetReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.refreshOwn(now)
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

// settleLimit is the time after the start in which a router may lack the owner
// of a target and count as not ready.
const settleLimit = 10 * time.Second

// OwnersKnown reports whether this router knows an owner for every target in
// service, or has waited for it long enough.
func (s *Service) OwnersKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.current == nil {
		return false
	}
	if now.Sub(s.started) > settleLimit {
		return true
	}
	s.refreshOwn(now)
	for _, t := range s.targets {
		e, ok := s.table.Get(t.key)
		known := ok && e.State.Health() != TargetUnknown
		if !known && t.config.Mark != fleet.MarkDrain {
			return false
		}
	}
	return true
}

// weights are the shares of members and accounts in a configuration.
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

// MemberWeight returns a member's share.
func (w weights) MemberWeight(m fleet.Member) float64 { return w.members[m] }

// AccountWeight returns an account's share within its member.
func (w weights) AccountWeight(_ fleet.Member, a fleet.Account) float64 { return w.accounts[a] }
