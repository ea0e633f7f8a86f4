package sitestate

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Rollout is the order to move the traffic of a service to a software version. It is exchanged
// between routers under its field names.
type Rollout struct {
	Service fleet.Service
	To      string
	// Duration is the time that the operators allow for it.
	Duration time.Duration
	// Malformed marks a record that can't be read. The one before it stays in force.
	Malformed bool
	// Offset and Era are the position at which the order was first seen.
	Offset int64
	Era    int64
}

// Same reports whether both values are one order: a log that was restored from a copy shows an
// order at another position.
func (r Rollout) Same(newer Rollout) bool {
	if r.Era != newer.Era {
		newer.Offset, newer.Era = r.Offset, r.Era
	}
	return r == newer
}

// applyRollouts takes the orders of an update. Malformed ones leave the order before them in force,
// and those that a restored log lacks stand for a while.
func (s *State) applyRollouts(now time.Time, u *Update, restored bool) []Record[Rollout] {
	var records []Record[Rollout]
	listed := make(map[string]bool)
	for _, r := range u.Rollouts {
		known, ok := s.rollouts.Get(r.Key)
		switch {
		case r.Gone:
		case r.Value.Malformed && ok && !known.Gone:
			r.Value = known.Value
		case ok && !known.Gone && known.Value.Same(r.Value):
			r.Value = known.Value // keeps the position at which it was first seen
		}
		listed[r.Key] = true
		if r.Offset >= 0 && (!restored || !r.Gone) {
			delete(s.holds.orders, r.Key)
		}
		records = append(records, r)
	}
	for key, until := range s.holds.orders {
		known, _ := s.rollouts.Get(key)
		switch {
		case listed[key]:
		case now.Before(until):
			records = append(records, Record[Rollout]{Key: key, Offset: beforeLog, Value: known.Value})
		default:
			delete(s.holds.orders, key)
			records = append(records, Record[Rollout]{Key: key, Offset: beforeLog + 1, Gone: true})
		}
	}
	changes := apply(s.rollouts, records, u.From.Operator, u.End.Operator, u.WholeOperator)
	for i := range changes {
		if r := &changes[i]; r.Gone && r.Offset >= 0 {
			r.Value.Era = s.era // the offset is of this era, that of the order may be of an earlier one
		}
	}
	return changes
}

// holdOrders lets the orders stand that are known now.
func (s *State) holdOrders(now time.Time) {
	s.holds.orders = make(map[string]time.Time)
	s.rollouts.Each(func(r Record[Rollout]) { s.holds.orders[r.Key] = now.Add(orderHold) })
}

// rolloutsSince returns the orders that changed at or after an offset, or all of them, also those
// that a restored log lacks or has not changed.
func (s *State) rolloutsSince(from int64, whole bool) []Record[Rollout] {
	if whole {
		from = beforeLog
	}
	return s.rollouts.Since(from)
}
