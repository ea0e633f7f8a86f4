package sitestate

import (
	"slices"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// AvailableTarget is a target that may receive new requests.
type AvailableTarget struct {
	ID fleet.Target
	Target
	// ColdUntil is the time until which the target is cold, zero if it is warm.
	ColdUntil time.Time
}

// Available returns the targets of a service that may receive new requests, by
// name. Targets whose entries expired during an outage of the log are included
// until their grace period ends.
func (s *State) Available(now time.Time, service fleet.Service) []AvailableTarget {
	var out []AvailableTarget
	add := func(r Record[Target]) {
		if known, ok := s.held(now, r.Key); ok {
			r = known
		}
		t := r.Value
		if r.Gone && !now.Before(s.graceUntil[r.Key]) {
			return
		}
		if t.Service != service || !t.Usable || t.Leaving || s.Drained(now, t.DataCentre) {
			return
		}
		out = append(out, AvailableTarget{ID: fleet.Target(r.Key), Target: t, ColdUntil: s.coldUntil[r.Key]})
	}
	s.targets.Each(add)
	for key, until := range s.graceUntil {
		if r, ok := s.targets.Get(key); ok && now.Before(until) {
			add(r)
		}
	}
	slices.SortFunc(out, func(a, b AvailableTarget) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// Drained reports whether operators have drained a data centre.
func (s *State) Drained(now time.Time, dc fleet.DataCentre) bool {
	r, ok := s.drains.Get(string(dc))
	return ok && !r.Gone || now.Before(s.holds.drains[string(dc)])
}

// IsAvailable reports whether a target may receive new requests. A target whose
// entry expired during an outage of the log may until its grace period ends.
func (s *State) IsAvailable(now time.Time, id fleet.Target) bool {
	r, ok := s.targets.Get(string(id))
	if known, held := s.held(now, string(id)); held {
		r, ok = known, true
	}
	if !ok {
		return false
	}
	if r.Gone {
		return now.Before(s.graceUntil[string(id)])
	}
	return r.Value.Usable && !r.Value.Leaving && !s.Drained(now, r.Value.DataCentre)
}

// Lookup returns a target that has a readable entry, whether or not it may
// receive new requests.
func (s *State) Lookup(id fleet.Target) (Target, bool) {
	r, ok := s.targets.Get(string(id))
	return r.Value, ok && !r.Gone && r.Value.Usable
}
