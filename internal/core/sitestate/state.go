package sitestate

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/core/transit"
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
	// Era is the era of the log that the offsets belong to. It rises each time the
	// log is restored from a copy, after which it gives out offsets again. Zero
	// means unknown: older routers do not send it.
	Era int64
}

// Update is a set of changes that was read from the log or received from
// another router. Routers exchange it under its field names.
type Update struct {
	Config  []Record[Config]
	Drains  []Record[Drain]
	Targets []Record[Target]
	VMs     []Record[VM]
	// Rollouts are orders by service. Routers of earlier releases neither send nor read them.
	Rollouts []Record[Rollout]
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
	// Stamp is the time at which a router sent the update to another one. Routers of
	// earlier releases send none.
	Stamp transit.Stamp
}

// whole reports whether the update replaces all that the log contains.
func (u *Update) whole() bool { return u.WholeOperator && u.WholeTargets && u.WholeVMs }

// Changes are the parts of an update that were not known before.
type Changes struct {
	// Restored is true if the update is the first one since the log was restored
	// from a copy.
	Restored bool
	Config   bool
	Drains   []Record[Drain]
	Targets  []Record[Target]
	VMs      []Record[VM]
	Rollouts []Record[Rollout]
}

// Any reports whether there are changes.
func (c *Changes) Any() bool {
	return c.Restored || c.Config || len(c.Drains)+len(c.Targets)+len(c.VMs)+len(c.Rollouts) > 0
}

// State is what a router knows about its site. It is not safe for concurrent
// use.
type State struct {
	// config is the record of the configuration in force. configUnlisted is set
	// while the log does not contain it, because it was restored from a copy or
	// because a router of another era sent it.
	config         Record[Config]
	configUnlisted bool
	drains         *Collection[Drain]
	targets        *Collection[Target]
	vms            *Collection[VM]
	rollouts       *Collection[Rollout]
	table          *routing.Table
	// freshAt is the last time at which the state is known to have matched the
	// log.
	freshAt time.Time
	// graceUntil holds the end of the grace period of targets whose entries
	// expired in an outage.
	graceUntil map[string]time.Time
	// coldUntil holds the time until which a target is cold.
	coldUntil map[string]time.Time
	// era is the era of the log. restored is set once it has risen.
	era      int64
	restored bool
	holds    holds
}

// New returns an empty state.
func New() *State {
	return &State{
		drains:     NewCollection[Drain](),
		targets:    NewCollection[Target](),
		vms:        NewCollection[VM](),
		rollouts:   NewCollection[Rollout](),
		graceUntil: make(map[string]time.Time),
		coldUntil:  make(map[string]time.Time),
	}
}

// Apply takes an update and returns the changes in it. Of an update of another era
// only a newer configuration is taken, unless it is a complete one of a later era:
//
//	same era               the records are applied by offset
//	later era, complete    the log was restored: what it lost is held for a while
//	later era, partial     waits for a complete update
//	earlier era            its offsets mean nothing any more
func (s *State) Apply(now time.Time, u *Update) Changes {
	var changes Changes
	s.adoptEra(u.End.Era)
	order := s.compareEra(u.End.Era)
	if order < 0 || order > 0 && !u.whole() {
		changes.Config = s.applyConfig(u, false)
		return changes
	}
	outage := !s.freshAt.IsZero() && now.Sub(s.freshAt) > staleAfter
	if order > 0 {
		changes.Restored = true
		s.startEra(now, u)
	}
	s.releaseHolds(now, u)
	changes.Config = s.applyConfig(u, true)
	changes.Drains = apply(s.drains, u.Drains, u.From.Operator, u.End.Operator, u.WholeOperator)
	changes.Rollouts = s.applyRollouts(now, u, changes.Restored)
	changes.Targets = apply(s.targets, u.Targets, u.From.Targets, u.End.Targets, u.WholeTargets)
	changes.VMs = apply(s.vms, u.VMs, u.From.VMs, u.End.VMs, u.WholeVMs && !changes.Restored)
	if changes.Restored {
		changes.Targets = s.holdTargets(now, changes.Targets)
	}
	for _, r := range changes.Targets {
		s.updateTarget(now, r, outage, changes.Restored)
	}
	for _, r := range changes.Drains {
		if _, held := s.holds.drains[r.Key]; r.Gone && !held {
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
	return s.compareEra(end.Era) == 0 && end.Operator == s.drains.End() && end.Targets == s.targets.End()
}

// apply takes the records of one topic, which are all of it if whole is true.
func apply[T Value[T]](c *Collection[T], records []Record[T], from, end int64, whole bool) []Record[T] {
	if whole {
		return c.Replace(records, end)
	}
	return c.Apply(records, from, end)
}

// applyConfig takes a configuration with a higher version than the current one
// and reports whether there was one. Stale reads and restored logs so never bring
// back an older version. sameEra is false if the update is of another era.
func (s *State) applyConfig(u *Update, sameEra bool) bool {
	changed := false
	for _, r := range u.Config {
		if r.Gone || r.Value.Content == nil {
			continue
		}
		known := s.table != nil
		if known && r.Value.Content.Version < s.table.Config.Version {
			continue
		}
		if known && r.Value.Content.Version == s.table.Config.Version {
			if sameEra && s.configUnlisted {
				s.config, s.configUnlisted = r, false
			}
			continue
		}
		s.config, s.configUnlisted = r, !sameEra
		s.table = routing.Compile(r.Value.Content)
		changed = true
	}
	return changed
}

// updateTarget updates the grace period and the cold time of a target after a
// change. The entries of a restored log are old: they do not end a cold time.
func (s *State) updateTarget(now time.Time, r Record[Target], outage, restored bool) {
	delete(s.graceUntil, r.Key)
	if r.Gone {
		switch {
		case !r.Value.Usable || r.Value.Leaving:
		case restored:
			s.graceUntil[r.Key] = now.Add(restoreGrace)
		case outage:
			s.graceUntil[r.Key] = now.Add(expiryGrace)
		}
		return
	}
	until := now.Add(r.Value.Cold)
	if restored && s.coldUntil[r.Key].After(until) {
		return
	}
	if r.Value.Cold > 0 {
		s.coldUntil[r.Key] = until
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
	return Positions{Operator: s.drains.End(), Targets: s.targets.End(), VMs: s.vms.End(), Era: s.era}
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

// Since returns an update with all changes from the given offsets on. Of a topic of which it
// does not know all of them, or if the offsets are those of another era, it has all records.
func (s *State) Since(now time.Time, from Positions) *Update {
	age, known := s.Age(now)
	if !known {
		age = -1
	}
	u := &Update{From: from, End: s.Positions(), Age: age}
	if s.compareEra(from.Era) != 0 {
		u.From = Positions{Era: s.era}
		u.WholeOperator, u.WholeTargets, u.WholeVMs = true, true, true
		from = Positions{}
	}
	from.Operator, u.WholeOperator = wholeUnlessKnown(s.drains, from.Operator, u.WholeOperator)
	from.Targets, u.WholeTargets = wholeUnlessKnown(s.targets, from.Targets, u.WholeTargets)
	from.VMs, u.WholeVMs = wholeUnlessKnown(s.vms, from.VMs, u.WholeVMs)
	if s.table != nil && (s.configUnlisted || s.config.Offset >= from.Operator) {
		u.Config = []Record[Config]{s.config}
	}
	u.Drains = s.drains.Since(from.Operator)
	u.Rollouts = s.rolloutsSince(from.Operator, u.WholeOperator)
	u.Targets = s.targetsSince(now, from.Targets)
	u.VMs = s.vms.Since(from.VMs)
	return u
}

// wholeUnlessKnown returns the offset from which records of a topic are told, and whether that
// is all of them.
func wholeUnlessKnown[T Value[T]](c *Collection[T], from int64, whole bool) (int64, bool) {
	if whole || !c.KnowsSince(from) {
		return 0, true
	}
	return from, false
}

// VMsIncomplete reports whether rows of the VM list may be missing.
func (s *State) VMsIncomplete() bool { return s.vms.HasGap() }

// VMs returns the rows of the VM list, in no particular order.
func (s *State) VMs() []fleet.VMInfo {
	var out []fleet.VMInfo
	s.vms.Each(func(r Record[VM]) { out = append(out, r.Value.Row) })
	return out
}

// VMListed reports whether the log contains the row of a VM.
func (s *State) VMListed(vm fleet.VM) bool { return s.vms.Shown(string(vm)) }
