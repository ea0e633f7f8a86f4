package adminapi

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/zinniafork/zinniafork/internal/admin"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/core/fleet"
)

// publishLimit is the time that a publication gets to show in the log.
const publishLimit = 20 * time.Second

// plan is one document that an operator wants to publish.
type plan struct {
	scope   configstate.Scope
	text    string
	comment string
	parent  *uint64
	nonce   string
	dryRun  bool
	// keepCapacity refuses a plan that leaves a model or plain service without
	// capacity that has some now.
	keepCapacity bool
	affected     *admin.Affected
}

func (s *Service) publish(c *request, in admin.PublishRequest) (*admin.Published, error) {
	return s.carryOut(c, plan{
		scope: in.Scope, text: in.Text, comment: in.Comment, parent: in.Parent, nonce: in.Nonce, dryRun: in.DryRun,
	})
}

// carryOut checks a plan, and publishes it unless it is a dry run.
func (s *Service) carryOut(c *request, p plan) (*admin.Published, error) {
	c.note.Subject, c.note.Detail = string(p.scope), p.comment
	if p.dryRun {
		c.note.Subject += " (dry run)"
	}
	if !p.scope.Valid() {
		return nil, badRequest("scope: want \"base\" or \"site/NAME\", have %q", p.scope)
	}
	if err := mayChange(c.operator, p.scope); err != nil {
		return nil, err
	}
	entry, before := s.config.Newest()
	if p.parent != nil && *p.parent != entry.Version.Offset {
		return nil, staleParent(*p.parent, entry)
	}
	after := before.With(p.scope, p.text)
	if err := config.Check(after, ""); err != nil {
		return nil, err
	}
	if err := keepsAdministrator(after); err != nil {
		return nil, err
	}
	out := &admin.Published{
		DryRun: p.dryRun, Version: entry, Affected: p.affected,
		Changes: changes(before, after), Capacity: s.capacityAfter(before, after),
	}
	if p.keepCapacity {
		if err := keepsCapacity(out.Capacity); err != nil {
			return nil, err
		}
	}
	if p.dryRun {
		return out, nil
	}
	accepted, err := s.append(c, p, entry)
	if err != nil {
		return nil, err
	}
	out.Version = accepted
	c.note.Version = accepted.Version.Offset
	return out, nil
}

// append publishes the plan on top of the version that it was checked with.
func (s *Service) append(c *request, p plan, entry configstate.Entry) (configstate.Entry, error) {
	if p.nonce == "" {
		p.nonce = uuid.NewString()
	}
	ctx, cancel := context.WithCancel(c.Context())
	defer cancel()
	defer s.clock.AfterFunc(publishLimit, cancel)()
	accepted, err := s.config.Publish(ctx, configstate.Proposal{
		Scope:   p.scope,
		Text:    p.text,
		Author:  c.operator.Name,
		Nonce:   p.nonce,
		Comment: p.comment,
		Parent:  &entry.Version,
	})
	if err == nil {
		return accepted, nil
	}
	failure := asError(err)
	failure.Nonce = p.nonce
	if failure.Code == admin.CodeUnknown {
		failure.Next = "publish nothing else before zfctl outcome " + p.nonce + " says what became of it"
	}
	return accepted, failure
}

func staleParent(expected uint64, newest configstate.Entry) *admin.Error {
	return &admin.Error{
		Code: admin.CodeStale, Newest: &newest,
		Message: fmt.Sprintf("expected version %d, the newest is %d by %s of %s",
			expected, newest.Version.Offset, newest.Author, newest.Scope),
		Next: fmt.Sprintf("look at it with zfctl diff %d, then publish on top of it", expected),
	}
}

// capacityAfter compares the capacity of the sites whose capacity changes.
func (s *Service) capacityAfter(before, after configstate.Documents) []admin.SiteCapacity {
	out := []admin.SiteCapacity{}
	for _, site := range config.SitesOf(after) {
		now, then := capacities(site, before), capacities(site, after)
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

// keepsAdministrator refuses a base that nobody could change again.
func keepsAdministrator(docs configstate.Documents) error {
	text, _ := docs.Text(configstate.Base)
	base, err := config.Decode(string(configstate.Base), []byte(text))
	if err != nil {
		return err
	}
	if slices.ContainsFunc(base.Operators, func(o config.Operator) bool {
		return o.Role == config.RoleAdmin && len(o.KeyHashes) > 0
	}) {
		return nil
	}
	return config.Problems{{
		File: string(configstate.Base), Key: "operators",
		Message: "no operator of role \"admin\" has a key, so nobody could change the base again",
		Next:    "add one; zfctl key new makes a key",
	}}
}

func (s *Service) rollback(c *request, in admin.RollbackRequest) (*admin.Published, error) {
	old, docs, err := s.version(&in.Version)
	if err != nil {
		return nil, err
	}
	_, newest := s.config.Newest()
	if in.Scope == "" {
		if in.Scope, err = onlyDifference(docs, newest); err != nil {
			return nil, err
		}
	}
	text, ok := docs.Text(in.Scope)
	if !ok {
		return nil, badRequest("version %d has no document %q", in.Version, in.Scope)
	}
	if in.Comment == "" {
		in.Comment = fmt.Sprintf("back to version %d by %s", old.Version.Offset, old.Author)
	}
	return s.carryOut(c, plan{
		scope: in.Scope, text: text, comment: in.Comment, parent: in.Parent, dryRun: in.DryRun,
	})
}

// onlyDifference returns the one document that differs between two versions.
func onlyDifference(old, newest configstate.Documents) (configstate.Scope, error) {
	var differ []configstate.Scope
	for _, scope := range scopesOf(old, newest) {
		a, _ := old.Text(scope)
		b, _ := newest.Text(scope)
		if a != b {
			differ = append(differ, scope)
		}
	}
	switch len(differ) {
	case 0:
		return "", &admin.Error{Code: admin.CodeUnchanged, Message: "nothing would change"}
	case 1:
		return differ[0], nil
	}
	e := badRequest("several documents differ: %v", differ)
	e.Next = "name one of them with --scope, and go back one document at a time"
	return "", e
}
