package adminapi

import (
	"fmt"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

// rollback publishes a document as it was in an older version.
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
	return s.carryOut(c, fixed(plan{
		scope: in.Scope, text: text, comment: in.Comment, parent: in.Parent, dryRun: in.DryRun,
	}))
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
