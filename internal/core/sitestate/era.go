package sitestate

import (
	"cmp"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// When the platform's log is restored from a copy, it has lost what was written
// since, and an entry in it may be older than what a router knows. Operators and
// targets write theirs again within seconds. Until then the router goes by the safer
// of the two:
//
//	configuration         the highest version, for as long as the router runs
//	data centre           drained if either says so, for up to drainHold
//	order of a roll-out   stands, for up to orderHold
//	target left or leaves stays out, for up to staleEntryHold
//	target restarted      its newer entry counts, for up to staleEntryHold
//	target missing        stays available, for up to restoreGrace
//	cold time             the longer one counts
//	row of the VM list    stays until the next reading of the list
//
// A record that was written after the return ends the hold of its key at once.
const (
	// restoreGrace is how long a target that a restored log lacks may take to write
	// its entry again. The platform gives targets two seconds.
	restoreGrace = 3 * time.Second
	// staleEntryHold is how long an entry of a restored log does not count against
	// newer knowledge. Targets write theirs every 1.2 s, and the entry of one that
	// is gone expires after three periods.
	staleEntryHold = 8 * time.Second
	// drainHold is how long a data centre stays drained whose mark a restored log
	// lacks, if the operators do not write the mark again.
	drainHold = 30 * time.Second
	// orderHold is how long an order stands that a restored log lacks.
	orderHold = 30 * time.Second
)

// holds keeps what a router knew before the log was restored and the log contradicts.
type holds struct {
	// from are the positions at which the restored log was first read. Records from
	// there on were written after the return.
	from Positions
	// targets holds records that count in place of those in the log, until
	// targetsUntil.
	targets      map[string]Record[Target]
	targetsUntil time.Time
	// drains holds the time until which a data centre stays drained.
	drains map[string]time.Time
	// orders holds the time until which an order of a roll-out stands.
	orders map[string]time.Time
}

// compareEra compares an era with the known one: it returns 0 for the same, 1 for a
// later and -1 for an earlier one. Routers that send no era are taken to be of the
// same era until the log was restored.
func (s *State) compareEra(era int64) int {
	if era == 0 && !s.restored {
		era = s.era
	}
	return cmp.Compare(era, s.era)
}

// Era returns the era of the log, zero if it is unknown.
func (s *State) Era() int64 { return s.era }

// IsLaterEra reports whether an era is later than the known one.
func (s *State) IsLaterEra(era int64) bool { return s.compareEra(era) > 0 }

// adoptEra takes the era of the first update. Offsets that came from routers that
// send no era may be those of an earlier one, and are not taken over.
func (s *State) adoptEra(era int64) {
	if s.era == 0 && s.drains.End() == 0 && s.targets.End() == 0 {
		s.era = era
	}
}

// startEra begins a later era with the first complete update of it. All offsets are
// forgotten, and what is known is held.
func (s *State) startEra(now time.Time, u *Update) {
	s.restored, s.configUnlisted = true, true
	s.holdDrains(now)
	s.holdOrders(now)
	s.era = u.End.Era
	held := make(map[string]Record[Target])
	for key, r := range s.holds.targets {
		if now.Before(s.holds.targetsUntil) {
			held[key] = r
		}
	}
	for key, e := range s.targets.records {
		if _, ok := held[key]; !ok {
			held[key] = e.Record
		}
	}
	s.holds.targets, s.holds.targetsUntil, s.holds.from = held, now.Add(staleEntryHold), u.End
	s.drains.Restart()
	s.rollouts.Restart()
	s.targets.Restart()
	s.vms.Restart()
}

// holdDrains keeps the data centres drained that are drained now.
func (s *State) holdDrains(now time.Time) {
	drains := make(map[string]time.Time)
	for dc, until := range s.holds.drains {
		if now.Before(until) {
			drains[dc] = until
		}
	}
	s.drains.Each(func(r Record[Drain]) { drains[r.Key] = now.Add(drainHold) })
	s.holds.drains = drains
}

// holdTargets drops the holds of targets on which the restored log agrees or is
// safer. It returns the changes without those of targets that are still held.
func (s *State) holdTargets(now time.Time, changes []Record[Target]) []Record[Target] {
	for key, known := range s.holds.targets {
		listed, ok := s.targets.Get(key)
		if !ok || !contradicts(known, listed) {
			delete(s.holds.targets, key)
		}
	}
	out := changes[:0]
	for _, r := range changes {
		if _, held := s.held(now, r.Key); !held {
			out = append(out, r)
		}
	}
	return out
}

// contradicts reports whether what is known of a target must count for a while in
// place of an entry that may be older.
func contradicts(known, listed Record[Target]) bool {
	switch {
	case listed.Gone || listed.Value.Leaving || listed.Value.Born > known.Value.Born:
		return false
	default:
		return known.Gone || known.Value.Leaving || listed.Value.Born < known.Value.Born
	}
}

// held returns the record that counts in place of the one in the log.
func (s *State) held(now time.Time, key string) (Record[Target], bool) {
	r, ok := s.holds.targets[key]
	return r, ok && now.Before(s.holds.targetsUntil)
}

// releaseHolds ends the holds that have expired and those of keys that were written
// after the return. A data centre whose hold expires may have become cold meanwhile.
func (s *State) releaseHolds(now time.Time, u *Update) {
	if !now.Before(s.holds.targetsUntil) {
		s.holds.targets = nil
	}
	for _, r := range u.Targets {
		if r.Offset >= s.holds.from.Targets {
			delete(s.holds.targets, r.Key)
		}
	}
	for _, r := range u.Drains {
		if r.Offset >= s.holds.from.Operator {
			s.endDrainHold(now, r.Key)
		}
	}
	for dc, until := range s.holds.drains {
		if !now.Before(until) {
			s.endDrainHold(now, dc)
		}
	}
}

// endDrainHold ends the hold of a data centre.
func (s *State) endDrainHold(now time.Time, dc string) {
	if _, ok := s.holds.drains[dc]; !ok {
		return
	}
	delete(s.holds.drains, dc)
	s.markCold(now, fleet.DataCentre(dc))
}

// targetsSince returns the records of targets that changed at or after an offset. For
// targets that are held, the known value takes the place of the one in the log.
func (s *State) targetsSince(now time.Time, from int64) []Record[Target] {
	out := s.targets.Since(from)
	for i, r := range out {
		if known, ok := s.held(now, r.Key); ok {
			out[i].Gone, out[i].Value = known.Gone, known.Value
		}
	}
	return out
}
