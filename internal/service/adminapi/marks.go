package adminapi

import (
	"fmt"
	"strings"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

// markable maps the kinds of the API to sections of the configuration.
var markable = map[string]config.Markable{
	"data-centre": config.MarkDataCentre,
	"vm":          config.MarkVM,
	"target":      config.MarkTarget,
}

// mark publishes a site's overlay with one mark set.
func (s *Service) mark(c *request, in admin.MarkRequest) (*admin.Published, error) {
	if in.Site == "" {
		in.Site = s.identity.Self().Site
	}
	c.note.Subject = fmt.Sprintf("%s %s at %s", in.Kind, in.Name, in.Site)
	section, ok := markable[in.Kind]
	if !ok {
		return nil, badRequest("kind: want \"data-centre\", \"vm\" or \"target\", have %q", in.Kind)
	}
	if in.Mark != fleet.MarkNone && in.Mark != fleet.MarkDrain {
		return nil, badRequest("mark: want \"drain\" or \"\", have %q", in.Mark)
	}
	if err := mayOperate(c.operator, in.Site); err != nil {
		return nil, err
	}
	if in.Comment == "" {
		in.Comment = strings.TrimSpace(fmt.Sprintf("%s %s %s", verb(in.Mark), in.Kind, in.Name))
	}
	out, err := s.carryOut(c, func(docs configstate.Documents) (plan, error) {
		return s.markPlan(section, in, docs)
	})
	if err == nil && !in.DryRun && in.Mark == fleet.MarkNone {
		s.liftEmergency(section, in.Name, c.operator.Name)
	}
	return out, err
}

// markPlan sets the mark in the site's overlay.
func (s *Service) markPlan(section config.Markable, in admin.MarkRequest, docs configstate.Documents) (plan, error) {
	affected, err := s.affected(section, in, docs)
	if err != nil {
		return plan{}, err
	}
	scope := configstate.Overlay(in.Site)
	text, _ := docs.Text(scope)
	text, err = config.SetMark(config.Document{Name: string(scope), Text: []byte(text)}, section, in.Name, in.Mark)
	if err != nil {
		return plan{}, err
	}
	return plan{
		scope: scope, text: text, comment: in.Comment, parent: in.Parent, dryRun: in.DryRun,
		keepCapacity: !in.Force, remade: true, affected: affected,
	}, nil
}

func verb(m fleet.Mark) string {
	if m == fleet.MarkDrain {
		return "drain"
	}
	return "return"
}

// affected checks that the thing to mark exists and names what it concerns.
func (s *Service) affected(section config.Markable, in admin.MarkRequest, docs configstate.Documents) (*admin.Affected, error) {
	out := &admin.Affected{VMs: []fleet.VM{}, Targets: []fleet.Target{}}
	c := merge(in.Site, docs)
	if c == nil {
		return nil, notFound("site %q has no configuration", in.Site)
	}
	e := &config.Effective{Config: c}
	switch section {
	case config.MarkDataCentre:
		if e.DataCentre(fleet.DataCentre(in.Name)) == nil {
			return nil, unknownName(in, namesOf(c.DataCentres, func(d config.DataCentre) string { return string(d.Name) }))
		}
		for _, t := range c.Targets {
			if string(t.DataCentre) == in.Name {
				out.Targets = append(out.Targets, t.Name)
			}
		}
		out.VMs = append(out.VMs, s.vmsOf(fleet.DataCentre(in.Name))...)
	case config.MarkTarget:
		if e.Target(fleet.Target(in.Name)) == nil {
			return nil, unknownName(in, namesOf(c.Targets, func(t config.Target) string { return string(t.Name) }))
		}
		out.Targets = append(out.Targets, fleet.Target(in.Name))
	case config.MarkVM:
		// The VM list lags, so a VM that it does not name yet may be marked.
		out.VMs = append(out.VMs, fleet.VM(in.Name))
	}
	return out, nil
}

func (s *Service) vmsOf(dc fleet.DataCentre) []fleet.VM {
	var out []fleet.VM
	for _, m := range s.members.Snapshot().Members {
		if m.DataCentre == dc {
			out = append(out, m.VM)
		}
	}
	return out
}

func namesOf[T any](rows []T, name func(T) string) []string {
	out := make([]string, 0, len(rows))
	for _, r := range rows {
		out = append(out, name(r))
	}
	return out
}

// shownNames limits the names that an error lists.
const shownNames = 12

func unknownName(in admin.MarkRequest, known []string) *admin.Error {
	e := notFound("site %q has no %s %q", in.Site, in.Kind, in.Name)
	e.Next = "there are: " + strings.Join(known[:min(len(known), shownNames)], ", ")
	if len(known) > shownNames {
		e.Next += fmt.Sprintf(" and %d more", len(known)-shownNames)
	}
	return e
}
