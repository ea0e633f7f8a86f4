package sitestate

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// ConfigKey is the key of the record that holds the configuration.
const ConfigKey = "config"

const (
	// staleAfter is the age of the state from which removals may stem from an
	// outage of the log, during which entries lapse. Targets write each 1.2 s
	// and lapse after three periods.
	staleAfter = 2500 * time.Millisecond
	// lapseGrace is how long a target that lapsed in an outage may take to
	// write its entry again, as the platform states.
	lapseGrace = 2 * time.Second
)

// Positions are the offsets up to which the topics are known.
type Positions struct {
	Operator int64
	Targets  int64
	VMs      int64
}

// Update is a set of changes, read from the log or passed on by a router.
type Update struct {
	Config  []Record[Config]
	Drains  []Record[Drain]
	Targets []Record[Target]
	VMs     []Record[VM]
	// From and End hold the offsets between which all changes are told.
	From Positions
	End  Positions
	// Whole topics replace what is known; others add to it.
	WholeOperator bool
	WholeTargets  bool
	WholeVMs      bool
	// Age is the time since the log was read, negative when the sender has not
	// read it.
	Age time.Duration
}

// Changes is what an update told that was not known.
type Changes struct {
	Config  bool
	Drains  []Record[Drain]
	Targets []Record[Target]
	VMs     []Record[VM]
}

// Any reports whether there is any news.
func (n *Changes) Any() bool {
	return n.Config || len(n.Drains)+len(n.Targets)+len(n.VMs) > 0
}

// State is what a router knows of its site. It is not safe for concurrent use.
type State struct {
	config  *Collection[Config]
	drains  *Collection[Drain]
	targets *Collection[Target]
	vms     *Collection[VM]
	table   *routing.Table
	// fresh is the time at which the log was in the known state.
	fresh time.Time
	// lapsed holds until when targets that lapsed in an outage may be used.
	lapsed map[string]time.Time
	// coldUntil holds until when targets are cold.
	coldUntil map[string]time.Time
}

// New returns an empty state.
func New() *State {
	return &State{
		config:    NewCollection[Config](),
		drains:    NewCollection[Drain](),
		targets:   NewCollection[Target](),
		vms:       NewCollection[VM](),
		lapsed:    make(map[string]time.Time),
		coldUntil: make(map[string]time.Time),
	}
}

// Apply takes an update and returns what was not known.
func (s *State) Apply(now time.Time, u *Update) Changes {
	outage := !s.fresh.IsZero() && now.Sub(s.fresh) > staleAfter
	var n Changes
	n.Config = s.applyConfig(u)
	n.Drains = apply(s.drains, u.Drains, u.From.Operator, u.End.Operator, u.WholeOperator)
	n.Targets = apply(s.targets, u.Targets, u.From.Targets, u.End.Targets, u.WholeTargets)
	n.VMs = apply(s.vms, u.VMs, u.From.VMs, u.End.VMs, u.WholeVMs)
	for _, r := range n.Targets {
		s.noteTarget(now, r, outage)
	}
	for _, r := range n.Drains {
		if r.Gone {
			s.coolDown(now, fleet.DataCentre(r.Key))
		}
	}
	if s.knows(u.End) && u.Age >= 0 {
		if at := now.Add(-u.Age); at.After(s.fresh) {
			s.fresh = at
		}
	}
	return n
}

// knows reports whether end is just what is known: an update that reached less
// is old, and one that reached more left a gap.
func (s *State) knows(end Positions) bool {
	return end.Operator == s.drains.End() && end.Targets == s.targets.End()
}

func apply[T Value[T]](c *Collection[T], records []Record[T], from, end int64, whole bool) []Record[T] {
	if whole {
		return c.Replace(records, end)
	}
	return c.Apply(records, from, end)
}

// applyConfig takes a configuration unless its version is older: stale reads
// never bring one back.
func (s *State) applyConfig(u *Update) bool {
	changed := false
	for _, r := range u.Config {
		if r.Gone || r.Value.Content == nil {
			continue
		}
		if s.table != nil && r.Value.Content.Version <= s.table.Config.Version {
			continue
		}
		s.config.Apply([]Record[Config]{r}, 0, u.End.Operator)
		s.table = routing.Compile(r.Value.Content)
		changed = true
	}
	return changed
}

func (s *State) noteTarget(now time.Time, r Record[Target], outage bool) {
	delete(s.lapsed, r.Key)
	if r.Gone {
		if outage && r.Value.Usable && !r.Value.Leaving {
			s.lapsed[r.Key] = now.Add(lapseGrace)
		}
		return
	}
	if r.Value.Cold > 0 {
		s.coldUntil[r.Key] = now.Add(r.Value.Cold)
		return
	}
	delete(s.coldUntil, r.Key)
}

// coolDown treats the targets of a data centre that returns as cold: they may
// have become cold while they had no work.
func (s *State) coolDown(now time.Time, dc fleet.DataCentre) {
	s.targets.Each(func(r Record[Target]) {
		if r.Value.DataCentre != dc || s.table == nil {
			return
		}
		service := s.table.Service(r.Value.Service)
		if service == nil || service.ColdFor == 0 {
			return
		}
		until := now.Add(service.ColdFor)
		if until.After(s.coldUntil[r.Key]) {
			s.coldUntil[r.Key] = until
		}
	})
}

// Table returns the configuration in force, nil when none is known.
func (s *State) Table() *routing.Table { return s.table }

// Positions returns the offsets up to which the topics are known.
func (s *State) Positions() Positions {
	return Positions{Operator: s.drains.End(), Targets: s.targets.End(), VMs: s.vms.End()}
}

// Age returns the time since the log was in the known state, and false when it
// was never read.
func (s *State) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(s.fresh), !s.fresh.IsZero()
}

// ConfirmFresh notes that a router which knows the log up to end read it some time
// ago.
func (s *State) ConfirmFresh(now time.Time, end Positions, age time.Duration) {
	if !s.knows(end) {
		return
	}
	if at := now.Add(-age); at.After(s.fresh) {
		s.fresh = at
	}
}

// Since returns all that was learnt from the given offsets on.
func (s *State) Since(now time.Time, from Positions) *Update {
	age, known := s.Age(now)
	if !known {
		age = -1
	}
	return &Update{
		Config:  s.config.Since(from.Operator),
		Drains:  s.drains.Since(from.Operator),
		Targets: s.targets.Since(from.Targets),
		VMs:     s.vms.Since(from.VMs),
		From:    from,
		End:     s.Positions(),
		Age:     age,
	}
}

// VMsIncomplete reports whether rows of the VM list may be missing.
func (s *State) VMsIncomplete() bool { return s.vms.HasGap() }

// VMs returns the VM list.
func (s *State) VMs() []fleet.VMInfo {
	var out []fleet.VMInfo
	s.vms.Each(func(r Record[VM]) { out = append(out, r.Value.Row) })
	return out
}
