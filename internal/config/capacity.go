package config

import (
	"cmp"
	"slices"
)

// Capacity is the capacity of one model or plain service.
type Capacity struct {
	// Kind is "model" or "service".
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Slots counts the slots of all its targets when warm; InService those of
	// the targets that no mark takes out.
	Slots     int `json:"slots"`
	InService int `json:"in_service"`
	// Targets and TargetsInService count targets in the same way.
	Targets          int `json:"targets"`
	TargetsInService int `json:"targets_in_service"`
}

// Share returns the part of the slots that is in service.
func (c Capacity) Share() float64 {
	if c.Slots == 0 {
		return 0
	}
	return float64(c.InService) / float64(c.Slots)
}

// Capacities returns the capacity of each model and plain service that has
// targets, sorted by kind and name.
func (e *Effective) Capacities() []Capacity {
	type id struct{ kind, name string }
	sums := make(map[id]*Capacity)
	add := func(kind, name string, t *Target) {
		c := sums[id{kind, name}]
		if c == nil {
			c = &Capacity{Kind: kind, Name: name}
			sums[id{kind, name}] = c
		}
		c.Slots += t.Slots
		c.Targets++
		if !e.TargetDrained(t) {
			c.InService += t.Slots
			c.TargetsInService++
		}
	}
	for i := range e.Targets {
		t := &e.Targets[i]
		for _, m := range t.Models {
			add("model", string(m), t)
		}
		if t.Service != "" {
			add("service", string(t.Service), t)
		}
	}
	out := make([]Capacity, 0, len(sums))
	for _, c := range sums {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Capacity) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}
