package sitestate

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// ConfigKey is the key of the configuration record.
const ConfigKey = "config"

const (
	// staleAfter is the age of the state from which deletions may stem from an
	// outage of the log, during which entries expire. Targets write their entry
	// every 1.2 s, and it expires after three periods.
	staleAfter = 2500 * time.Millisecond
	// expiryGrace is how long a target whose entry expired in an outage may
	// take to write it again. The platform specifies this time.
	expiryGrace = 2 * time.Second
)

// Positions are the offsets of the topics below which all records are known.
type Positions struct {
	Operator int64
	Targets  int64
	VMs      int64
}

// Update is a set of changes that was read from the log or received from
// another router. Routers exchange it under its field names.
type Update struct {
	Config  []Record[Config]
	Drains  []Record[Drain]
	Targets []Record[Target]
	VMs     []Record[VM]
	// From and End are the offsets between which the update contains all
	// changes.
	From Positions
	End  Positions
	// WholeOperator, WholeTargets and WholeVMs are true if the update lists all
	// records of the topic and replaces what is known.
	WholeOperator bool
	WholeTargets  bool
	WholeVMs      bool
	// Age is the time since the log was read, negative if the sender has not
	// read it.
	Age time.Duration
}

// Changes are the parts of an update that were not known before.
type Changes struct {
	Config  bool
	Drains  []Record[Drain]
	Targets []Record[Target]
	VMs     []Record[VM]
}

// Any reports whether there are changes.
func (c *Changes) Any() bool {
	return c.Config || len(c.Drains)+len(c.Targets)+len(c.VMs) > 0
}

// State is what a router knows about its site. It is not safe for concurrent
// use.
type State struct {
	config  *Collection[Config]
	drains  *Collection[Drain]
	targets *Collection[Target]
	vms     *Collection[VM]
	table   *routing.Table
	// freshAt is the last time at which the state is known to have matched the
	// log.
	freshAt time.Time
	// graceUntil holds the end of the grace period of targets whose entries
	// expired in an outage.
	graceUntil map[string]time.Time
	// coldUntil holds the time until which a target is cold.
	coldUntil map[string]time.Time
}

// New returns an empty state.
func New() *State {
	return &State{
		config:     NewCollection[Config](),
		drains:     NewCollection[Drain](),
		targets:    NewCollection[Target](),
		vms:        NewCollection[VM](),
		graceUntil: make(map[string]time.Time),
		coldUntil:  make(map[string]time.Time),
	}
}

// Apply takes an update and returns the changes in it.
func (s *State) Apply(now time.Time, u *Update) Changes {
	outage := !s.freshAt.IsZero() && now.Sub(s.freshAt) > staleAfter
	var changes Changes
	changes.Config = s.applyConfig(u)
	changes.Drains = apply(s.drains, u.Drains, u.From.Operator, u.End.Operator, u.WholeOperator)
	changes.Targets = apply(s.targets, u.Targets, u.From.Targets, u.End.Targets, u.WholeTargets)
	changes.VMs = apply(s.vms, u.VMs, u.From.VMs, u.End.VMs, u.WholeVMs)
	for _, r := range changes.Targets {
		s.updateTarget(now, r, outage)
	}
	for _, r := range changes.Drains {
		if r.Gone {
			s.markCold(now, fleet.DataCentre(r.Key))
		}
	}
	if s.isCurrent(u.End) && u.Age >= 0 {
		if at := now.Add(-u.Age); at.After(s.freshAt) {
			s.freshAt = at
		}
	}
	return changes
}

// isCurrent reports whether an update that ends at end describes exactly the
// known state. One that ends earlier is old, one that ends later left a gap.
// The positions of the VM list do not matter.
func (s *State) isCurrent(end Positions) bool {
	return end.Operator == s.drains.End() && end.Targets == s.targets.End()
}

// apply takes the records of one topic, which are all of it if whole is true.
func apply[T Value[T]](c *Collection[T], records []Record[T], from, end int64, whole bool) []Record[T] {
	if whole {
		return c.Replace(records, end)
	}
	return c.Apply(records, from, end)
}

// applyConfig takes a configuration with a higher version than the current one
// and reports whether there was one. Stale reads so never bring back an older
// version.
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

// updateTarget updates the grace period and the cold time of a target after a
// change.
func (s *State) updateTarget(now time.Time, r Record[Target], outage bool) {
	delete(s.graceUntil, r.Key)
	if r.Gone {
		if outage && r.Value.Usable && !r.Value.Leaving {
			s.graceUntil[r.Key] = now.Add(expiryGrace)
		}
		return
	}
	if r.Value.Cold > 0 {
		s.coldUntil[r.Key] = now.Add(r.Value.Cold)
		return
	}
	delete(s.coldUntil, r.Key)
}

// markCold treats the targets of a data centre that is no longer drained as
// cold: they may have become cold while they received no requests.
func (s *State) markCold(now time.Time, dc fleet.DataCentre) {
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

// Table returns the current configuration, nil if none is known.
func (s *State) Table() *routing.Table { return s.table }

// Positions returns the offsets of the topics below which all records are
// known.
func (s *State) Positions() Positions {
	return Positions{Operator: s.drains.End(), Targets: s.targets.End(), VMs: s.vms.End()}
}

// Age returns the time since the state is known to have matched the log, and
// false if it never did.
func (s *State) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(s.freshAt), !s.freshAt.IsZero()
}

// ConfirmFresh records that another router read the log some time ago and found
// it at end. It has no effect unless end is the known position.
func (s *State) ConfirmFresh(now time.Time, end Positions, age time.Duration) {
	if !s.isCurrent(end) {
		return
	}
	if at := now.Add(-age); at.After(s.freshAt) {
		s.freshAt = at
	}
}

// Since returns an update with all changes from the given offsets on.
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

// VMs returns the rows of the VM list, in no particular order.
func (s *State) VMs() []fleet.VMInfo {
	var out []fleet.VMInfo
	s.vms.Each(func(r Record[VM]) { out = append(out, r.Value.Row) })
	return out
}
