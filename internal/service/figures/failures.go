package figures

import (
	"fmt"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/explain"
)

// failuresKept is the number of failed requests that a router remembers.
const failuresKept = 1024

// failures remembers the newest failed requests.
type failures struct {
	byID *lru.Cache[call.ID, explain.Failure]
}

func newFailures() *failures {
	cache, err := lru.New[call.ID, explain.Failure](failuresKept)
	if err != nil {
		panic(err) // only a size below one is an error
	}
	return &failures{byID: cache}
}

// note remembers a sample that failed.
func (f *failures) note(now time.Time, s *Sample) {
	if s.Err == nil || s.Request == nil {
		return
	}
	f.byID.Add(s.Request.ID, explain.Failure{
		Request: s.Request.ID,
		At:      now.UTC(),
		Member:  s.Member,
		Account: s.Account,
		Model:   s.Request.Model,
		Service: s.Request.Service,
		Code:    s.Err.Code,
		Step:    s.Err.Step,
		Peer:    s.Err.Peer,
		Run:     s.Err.Run,
		Message: s.Err.Message,
	})
}

// Failure tells why a request failed on this router.
func (s *Service) Failure(id call.ID) (*explain.Answer, error) {
	f, ok := s.failures.byID.Get(id)
	if !ok {
		return nil, &call.Error{
			Code: call.CodeNotFound, Step: Name, Run: call.RunNot,
			Message: fmt.Sprintf("no failed request %q is remembered on this router", id),
		}
	}
	reason := fmt.Sprintf("%s: %s (%s)", f.Step, f.Message, f.Code)
	return &explain.Answer{Steps: []explain.Step{}, Reason: reason, Failure: &f}, nil
}
