package adminapi

import (
	"slices"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/core/usage"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/admin"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/owner"
)

// current returns the configuration in force, or an error when none is.
func (s *Service) current() (*config.Effective, error) {
	e := s.config.Current()
	if e == nil {
		return nil, unavailable("publish one with zfctl publish", "no configuration is in force yet")
	}
	return e, nil
}

func (s *Service) status(c *request, _ none) (*admin.Status, error) {
	e, err := s.current()
	if err != nil {
		return nil, err
	}
	self := s.identity.Self()
	out := &admin.Status{
		Site:      self.Site,
		VM:        self.VM,
		At:        s.clock.Now().UTC(),
		InForce:   configstate.Version{Offset: e.Offset, Hash: e.Hash},
		RulesHash: e.RulesHash(),
		Capacity:  e.Capacities(),
		Spread:    s.siteSpread(c),

		Emergencies: s.config.Emergencies(),
	}
	out.Routers = s.routers(e, out.Spread)
	out.DataCentres = s.dataCentres(e, out.Routers)
	return out, nil
}

func (s *Service) routers(e *config.Effective, spread admin.Spread) []admin.Router {
	out := []admin.Router{}
	for _, m := range s.members.Snapshot().Members {
		r := admin.Router{
			VM: m.VM, DataCentre: m.DataCentre, Status: string(m.Status), Drained: e.VMDrained(m.VM, m.DataCentre),
		}
		for _, known := range spread.Routers {
			if known.VM == m.VM {
				r.InForce, r.Problem = known.InForce, known.Problem
			}
		}
		out = append(out, r)
	}
	return out
}

func (s *Service) dataCentres(e *config.Effective, routers []admin.Router) []admin.DataCentre {
	reports := s.reports()
	out := []admin.DataCentre{}
	for _, d := range e.DataCentres {
		dc := admin.DataCentre{Name: d.Name, Region: d.Region, Mark: d.Mark}
		for _, r := range routers {
			if r.DataCentre != d.Name {
				continue
			}
			dc.Routers++
			if r.Status == string(members.StateAlive) {
				dc.Alive++
			}
		}
		for i := range e.Targets {
			t := &e.Targets[i]
			if t.DataCentre != d.Name {
				continue
			}
			dc.Targets++
			dc.Slots += reports[t.Name].Slots
			dc.Running += reports[t.Name].Running
			dc.Queued += reports[t.Name].Queued
		}
		out = append(out, dc)
	}
	return out
}

// reports returns the owners' reports by target.
func (s *Service) reports() map[fleet.Target]owner.TargetReport {
	out := make(map[fleet.Target]owner.TargetReport)
	if s.targets == nil {
		return out
	}
	for _, r := range s.targets.Targets() {
		out[r.Target] = r
	}
	return out
}

func (s *Service) listTargets(*request, none) (*admin.Targets, error) {
	e, err := s.current()
	if err != nil {
		return nil, err
	}
	reports := s.reports()
	out := &admin.Targets{Site: s.identity.Self().Site, Targets: []admin.Target{}}
	for i := range e.Targets {
		t := &e.Targets[i]
		report, ok := reports[t.Name]
		out.Targets = append(out.Targets, targetRow(e, t, report, ok))
	}
	return out, nil
}

func targetRow(e *config.Effective, t *config.Target, report owner.TargetReport, reported bool) admin.Target {
	row := admin.Target{
		Name:       t.Name,
		DataCentre: t.DataCentre,
		Models:     t.Models,
		Service:    t.Service,
		Mark:       t.Mark,
		Capacity:   t.Slots,
		State:      string(owner.TargetUnknown),
	}
	if e.TargetDrained(t) {
		row.Mark = fleet.MarkDrain
	}
	if reported {
		row.State, row.Owner, row.At = string(report.State), report.Owner, &report.At
		row.Slots, row.Running, row.Queued = report.Slots, report.Running, report.Queued
	}
	return row
}

func (s *Service) accounts(c *request, _ none) (*admin.Accounts, error) {
	e, err := s.current()
	if err != nil {
		return nil, err
	}
	self := s.identity.Self()
	out := &admin.Accounts{Site: self.Site, Window: config.Duration(usage.Window), Accounts: []admin.Account{}}
	out.Version = configstate.Version{Offset: e.Offset, Hash: e.Hash}
	var known []usage.Entry
	summaries, _ := s.figures.Summaries(c.Context())
	for _, sum := range summaries {
		if sum.Site == self.Site {
			known, out.At = sum.Accounts, sum.At
		}
	}
	if out.At.IsZero() {
		known, out.At = s.figures.Local(), s.clock.Now().UTC()
	}
	out.Members = usage.ByMember(known)
	for i := range e.Accounts {
		a := &e.Accounts[i]
		row := admin.Account{
			Name: a.Name, Member: a.Member, Weight: a.Weight, MaxConcurrent: a.MaxConcurrent, Keys: len(a.KeyHashes),
		}
		for _, f := range known {
			if f.Account == a.Name {
				row.Counts, row.Share = f.Counts, f.Share
			}
		}
		out.Accounts = append(out.Accounts, row)
	}
	slices.SortFunc(out.Accounts, func(a, b admin.Account) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out, nil
}

func (s *Service) sites(c *request, _ none) (*admin.Sites, error) {
	summaries, err := s.figures.Summaries(c.Context())
	if err != nil && len(summaries) == 0 {
		return nil, unavailable("the log is away; try again", "%v", err)
	}
	now := s.clock.Now()
	out := &admin.Sites{Sites: []admin.SiteSummary{}}
	for _, sum := range summaries {
		age := now.Sub(sum.At).Truncate(time.Second)
		out.Sites = append(out.Sites, admin.SiteSummary{
			Summary: sum, Age: config.Duration(max(age, 0)), Members: usage.ByMember(sum.Accounts),
		})
	}
	return out, nil
}

func (s *Service) readAudit(c *request, in admin.AuditQuery) (*admin.Audit, error) {
	entries, err := s.audit.Recent(c.Context(), limitOf(in.Limit))
	if err != nil {
		return nil, unavailable("the log is away; try again", "cannot read the audit stream: %v", err)
	}
	return &admin.Audit{Entries: entries}, nil
}
