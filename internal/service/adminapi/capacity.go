package adminapi

import (
	"fmt"
	"slices"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

// capacityAfter compares the capacity of the sites whose capacity changes.
func (s *Service) capacityAfter(before, after configstate.Documents) []admin.SiteCapacity {
	out := []admin.SiteCapacity{}
	for _, site := range config.SitesOf(after) {
		out = append(out, s.capacityChanges(site, capacities(site, before), capacities(site, after))...)
	}
	return out
}

// capacityChanges lists what changes from now to then.
func (s *Service) capacityChanges(site fleet.Site, now, then []config.Capacity) []admin.SiteCapacity {
	out := []admin.SiteCapacity{}
	for _, c := range then {
		entry := admin.SiteCapacity{Site: site, Capacity: c, Before: inService(now, c), Running: -1}
		if entry.Before == c.InService {
			continue
		}
		if site == s.identity.Self().Site {
			entry.Running = s.running(c)
		}
		out = append(out, entry)
	}
	return out
}

func capacities(site fleet.Site, docs configstate.Documents) []config.Capacity {
	c := merge(site, docs)
	if c == nil {
		return nil
	}
	return (&config.Effective{Config: c}).Capacities()
}

func inService(all []config.Capacity, like config.Capacity) int {
	for _, c := range all {
		if c.Kind == like.Kind && c.Name == like.Name {
			return c.InService
		}
	}
	return 0
}

// running counts the requests that run on the targets of a model or service.
func (s *Service) running(c config.Capacity) int {
	e := s.config.Current()
	if s.targets == nil || e == nil {
		return -1
	}
	sum := 0
	for _, r := range s.targets.Targets() {
		t := e.Target(r.Target)
		if t == nil {
			continue
		}
		if c.Kind == "service" && string(t.Service) == c.Name || slices.Contains(t.Models, fleet.Model(c.Name)) {
			sum += r.Running
		}
	}
	return sum
}

// keepsCapacity refuses a change after which something that can be served now
// cannot be served any more.
func keepsCapacity(all []admin.SiteCapacity) error {
	for _, c := range all {
		if c.Before > 0 && c.InService == 0 {
			return &admin.Error{
				Code:    admin.CodeCapacity,
				Message: fmt.Sprintf("no capacity would be left for %s %q at site %q", c.Kind, c.Name, c.Site),
				Next:    "bring other targets back first, or force it",
			}
		}
	}
	return nil
}
