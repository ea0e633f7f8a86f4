package route

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/owner"
	"github.com/zinniafork/zinniafork/internal/service/peer"
)

const kindRun = peer.KindRun

func targetResource(t fleet.Target) owner.Resource { return owner.TargetResource(t) }

// countRequest adds a request to the retry budget of its account.
func (s *Service) countRequest(req *call.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accounts.For(req.Account).AddRequest()
}

// countTry adds a request to the retry budget of its target.
func (s *Service) countTry(req *call.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byTarget.For(req.Target).AddRequest()
}

// mayRetry takes a retry from the budgets of the account and of the target that
// failed.
func (s *Service) mayRetry(req *call.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	account, failed := s.accounts.For(req.Account), s.byTarget.For(req.Target)
	if !account.Take() {
		return false
	}
	if !failed.Take() {
		account.Refund()
		return false
	}
	return true
}

// AllowResume takes a retry from the budget of the account for an answer that
// broke off.
func (s *Service) AllowResume(account fleet.Account) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accounts.For(account).Take()
}

// jitter spreads a wait over half of its length.
func (s *Service) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.random.Int64N(int64(d/2)+1))
}
