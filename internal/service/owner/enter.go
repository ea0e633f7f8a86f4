package owner

import (
	"context"
	"errors"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/admission"
	"github.com/zinniafork/zinniafork/internal/core/fairness"
)

// Admit waits until the request may go to its target.
func (s *Service) Admit(ctx context.Context, req *call.Request, patience time.Duration) (*Permit, error) {
	e := &entrant{outcome: make(chan outcome, 1)}
	s.mu.Lock()
	t, ok := s.targets[req.Target]
	if !ok {
		s.mu.Unlock()
		return nil, s.refused(req, admission.Refusal{Reason: admission.NotOwner})
	}
	now := s.clock.Now()
	s.nextID++
	e.id = s.nextID
	t.waiting[e.id] = e
	s.apply(t, t.admission.Admit(now, s.item(now, e.id, req, patience), patience > 0))
	s.mu.Unlock()
	select {
	case o := <-e.outcome:
		if o.refusal != nil {
			return nil, s.refused(req, *o.refusal)
		}
		return &Permit{service: s, target: t, id: e.id}, nil
	case <-ctx.Done():
		return s.abandon(ctx, req, t, e)
	}
}

// abandon takes back a request whose caller has gone or whose time is over,
// unless it was let go at the same moment.
func (s *Service) abandon(ctx context.Context, req *call.Request, t *ownedTarget, e *entrant) (*Permit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case o := <-e.outcome:
		if o.refusal == nil {
			s.apply(t, t.admission.Finish(s.clock.Now(), e.id, false))
		}
	default:
		delete(t.waiting, e.id)
		s.apply(t, t.admission.Cancel(s.clock.Now(), e.id))
	}
	code := call.CodeCanceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = call.CodeDeadline
	}
	return nil, &call.Error{
		Code: code, Step: "admission", Peer: string(req.Target), Run: call.RunNot,
		Message: "request ended while it waited for the target", Cause: ctx.Err(),
	}
}

// item is the request as the target's queue sees it. It may wait while its
// patience and its deadline allow.
func (s *Service) item(now time.Time, id uint64, req *call.Request, patience time.Duration) fairness.Item {
	startBy := now.Add(patience)
	if !req.Deadline.IsZero() && req.Deadline.Before(startBy) {
		startBy = req.Deadline
	}
	return fairness.Item{
		ID:       id,
		Member:   req.Member,
		Account:  req.Account,
		Priority: int8(req.Priority),
		Arrived:  now,
		StartBy:  startBy,
	}
}

// refused turns a refusal into the error that the entry router gets.
func (s *Service) refused(req *call.Request, r admission.Refusal) *call.Error {
	e := &call.Error{
		Step:       "admission",
		Peer:       string(req.Target),
		Run:        call.RunNot,
		RetryAfter: r.RetryAfter,
	}
	switch r.Reason {
	case admission.NotOwner:
		e.Code, e.Message, e.Peer = call.CodeNotOwner, "this VM does not own the target", string(s.self)
	case admission.Unavailable:
		e.Code, e.Message = call.CodeUnavailable, "target is out of service"
	case admission.TooLate:
		e.Code, e.Message = call.CodeOverloaded, "request would wait too long"
	case admission.QueueFull:
		e.Code, e.Message = call.CodeOverloaded, "too many requests of this client account wait"
	case admission.Full, admission.Abandoned:
		e.Code, e.Message = call.CodeOverloaded, "target bears no more load now"
	}
	return e
}
