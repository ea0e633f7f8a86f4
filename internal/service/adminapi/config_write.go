package adminapi

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

const (
	// publishLimit is the time that a publication gets to show in the log.
	publishLimit = 20 * time.Second
	// publishTries limits how often a change is tried again on top of changes
	// to other documents.
	publishTries = 5
)

// plan is one document that an operator wants to publish.
type plan struct {
	scope   configstate.Scope
	text    string
	comment string
	parent  *uint64
	// seen is the version from which the author took the document.
	seen   *uint64
	nonce  string
	dryRun bool
	// keepCapacity refuses a plan that leaves a model or plain service without
	// capacity that has some now.
	keepCapacity bool
	// remade is true for a plan that is made anew from the newest text.
	remade   bool
	affected *admin.Affected
}

func (s *Service) publish(c *request, in admin.PublishRequest) (*admin.Published, error) {
	return s.carryOut(c, fixed(plan{
		scope: in.Scope, text: in.Text, comment: in.Comment, parent: in.Parent, seen: in.Seen, nonce: in.Nonce, dryRun: in.DryRun,
	}))
}

// planner makes the plan of a change on top of documents.
type planner func(docs configstate.Documents) (plan, error)

// fixed returns a planner whose plan does not depend on the documents.
func fixed(p plan) planner {
	return func(configstate.Documents) (plan, error) { return p, nil }
}

// carryOut makes and checks a plan, and publishes it unless it is a dry run.
// When another change comes first, it does so again on top of that one, unless
// the author expected a version or both change the same document.
func (s *Service) carryOut(c *request, build planner) (*admin.Published, error) {
	entry, docs := s.config.Newest()
	for try := 1; ; try++ {
		p, err := build(docs)
		if err != nil {
			return nil, err
		}
		if try > 1 {
			p.nonce = retryNonce(p.nonce, try)
		}
		out, err := s.attempt(c, p, entry, docs)
		if err == nil || p.parent != nil || try == publishTries || !overtaken(err) {
			return out, err
		}
		newEntry, newDocs := s.config.Newest()
		before, _ := docs.Text(p.scope)
		after, _ := newDocs.Text(p.scope)
		if newEntry.Version == entry.Version || before != after && !p.remade {
			return out, err
		}
		entry, docs = newEntry, newDocs
	}
}

// retryNonce returns the nonce of a later try of a publication.
func retryNonce(nonce string, try int) string {
	if nonce == "" {
		return ""
	}
	return fmt.Sprintf("%s/%d", nonce, try)
}

// overtaken reports whether another change was accepted first.
func overtaken(err error) bool {
	code := asError(err).Code
	return code == admin.CodeLost || code == admin.CodeStale
}

// attempt checks a plan on top of a version and publishes it there.
func (s *Service) attempt(c *request, p plan, entry configstate.Entry, before configstate.Documents) (*admin.Published, error) {
	if c.note.Subject == "" {
		c.note.Subject = string(p.scope)
	}
	c.note.Detail = p.comment
	if p.dryRun {
		c.note.Detail += " (dry run)"
	}
	if !p.scope.Valid() {
		return nil, badRequest("scope: want \"base\" or \"site/NAME\", have %q", p.scope)
	}
	if err := mayChange(c.operator, p.scope); err != nil {
		return nil, err
	}
	if p.parent != nil && *p.parent != entry.Version.Offset {
		return nil, staleParent(*p.parent, entry)
	}
	if err := s.unchangedSince(p, before); err != nil {
		return nil, err
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

// unchangedSince refuses a text that was taken from an older one of its
// document, so that it does not undo what others changed meanwhile.
func (s *Service) unchangedSince(p plan, newest configstate.Documents) error {
	if p.seen == nil {
		return nil
	}
	_, docs, err := s.version(p.seen)
	if err != nil {
		return err
	}
	was, _ := docs.Text(p.scope)
	if is, _ := newest.Text(p.scope); is == was {
		return nil
	}
	return &admin.Error{
		Code:    admin.CodeStale,
		Message: fmt.Sprintf("%s has changed since version %d, which your text was taken from", p.scope, *p.seen),
		Next:    fmt.Sprintf("see zfctl diff %d, then put your change on top of zfctl get %s", *p.seen, p.scope),
	}
}

func staleParent(expected uint64, newest configstate.Entry) *admin.Error {
	return &admin.Error{
		Code: admin.CodeStale, Newest: &newest,
		Message: fmt.Sprintf("expected version %d, the newest is %d by %s of %s",
			expected, newest.Version.Offset, newest.Author, newest.Scope),
		Next: fmt.Sprintf("look at it with zfctl diff %d, then publish on top of it", expected),
	}
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
