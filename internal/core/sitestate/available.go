package sitestate

import (
	"slices"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// AvailableTarget is a target that may get new work.
type AvailableTarget struct {
	ID fleet.Target
	Target
	// ColdUntil is the time until which the target is cold.
	ColdUntil time.Time
}

// Available returns the targets of a service that may get new work, by name.
func (s *State) Available(now time.Time, service fleet.Service) []AvailableTarget {
	var out []AvailableTarget
	add := func(r Record[Target]) {
		t := r.Value
		if t.Service != service || !t.Usable || t.Leaving || s.Drained(t.DataCentre) {
			return
		}
		out = append(out, AvailableTarget{ID: fleet.Target(r.Key), Target: t, ColdUntil: s.coldUntil[r.Key]})
	}
	s.targets.Each(add)
	for key, until := range s.lapsed {
		if r, ok := s.targets.Get(key); ok && now.Before(until) {
			add(r)
		}
	}
	slices.SortFunc(out, func(a, b AvailableTarget) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// Drained reports whether operators have taken a data centre out.
func (s *State) Drained(dc fleet.DataCentre) bool {
	r, ok := s.drains.Get(string(dc))
	return ok && !r.Gone
}

// IsAvailable reports whether the target may get new work or is gone only since an
// outage of the log.
func (s *State) IsAvailable(now time.Time, id fleet.Target) bool {
	r, ok := s.targets.Get(string(id))
	if !ok {
		return false
	}
	if r.Gone {
		return now.Before(s.lapsed[string(id)])
	}
	return r.Value.Usable && !r.Value.Leaving && !s.Drained(r.Value.DataCentre)
}

// Lookup returns a target that has not gone, whether or not it may get new
// work.
func (s *State) Lookup(id fleet.Target) (Target, bool) {
	r, ok := s.targets.Get(string(id))
	return r.Value, ok && !r.Gone && r.Value.Usable
}
