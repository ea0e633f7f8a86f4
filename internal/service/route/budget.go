package route

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/owner"
	"github.com/zinniafork/zinniafork/internal/service/peer"
)

// kindRun is the kind of peer call that runs a request at the owner of its target.
const kindRun = peer.KindRun

// targetResource returns the resource under which a target is owned.
func targetResource(t fleet.Target) owner.Resource { return owner.TargetResource(t) }

// countRequest adds the request to the retry budget of its account.
func (s *Service) countRequest(req *call.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accountBudgets.For(req.Account).AddRequest()
}

// countAttempt adds the request to the retry budget of its current target.
func (s *Service) countAttempt(req *call.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetBudgets.For(req.Target).AddRequest()
}

// takeRetry takes a retry from the budgets of the request's account and of the
// target that failed. It reports false and takes nothing if either is used up. The
// loss of the target's owner takes none of the target's: it would leave too few for
// failures of the target itself, and cut off what the next owner can go on with.
func (s *Service) takeRetry(req *call.Request, e *call.Error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	account, target := s.accountBudgets.For(req.Account), s.targetBudgets.For(req.Target)
	if !account.Take() {
		return false
	}
	if e.Step != stepPeer && !target.Take() {
		account.Refund()
		return false
	}
	return true
}

// AllowResume takes a retry from the budget of the account so that a response
// that broke off can be resumed. It reports false if the budget is used up.
func (s *Service) AllowResume(account fleet.Account) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accountBudgets.For(account).Take()
}

// jitter returns a random duration between half of d and d.
func (s *Service) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.random.Int64N(int64(d/2)+1))
}
