package owner

import (
	"context"
	"errors"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/admission"
	"github.com/zinniafork/zinniafork/internal/core/fairness"
)

// Admit waits, for at most maxWait and until the request's deadline, until the
// request may be sent to its target. With a maxWait of zero the request is
// refused unless it can start at once. The error is a *call.Error whose Run is
// call.RunNot: the router does not own the target, the target is out of service
// or overloaded, or ctx has ended.
func (s *Service) Admit(ctx context.Context, req *call.Request, maxWait time.Duration) (*Permit, error) {
	w := &waiter{decision: make(chan decision, 1)}
	s.mu.Lock()
	t, ok := s.targets[req.Target]
	if !ok {
		s.mu.Unlock()
		return nil, s.refusalError(req, admission.Refusal{Reason: admission.NotOwner})
	}
	now := s.clock.Now()
	s.nextID++
	w.id = s.nextID
	t.waiting[w.id] = w
	s.apply(t, t.admission.Admit(now, s.queueItem(now, w.id, req, maxWait), maxWait > 0))
	s.mu.Unlock()
	select {
	case d := <-w.decision:
		if d.refusal != nil {
			return nil, s.refusalError(req, *d.refusal)
		}
		return &Permit{service: s, target: t, id: w.id}, nil
	case <-ctx.Done():
		return s.cancelWait(ctx, req, t, w)
	}
}

// cancelWait withdraws a request whose ctx has ended. If the request was
// admitted at the same moment, its slot is released. The error is never nil.
func (s *Service) cancelWait(ctx context.Context, req *call.Request, t *ownedTarget, w *waiter) (*Permit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case d := <-w.decision:
		if d.refusal == nil {
			s.apply(t, t.admission.Finish(s.clock.Now(), w.id, false))
		}
	default:
		delete(t.waiting, w.id)
		s.apply(t, t.admission.Cancel(s.clock.Now(), w.id))
	}
	code := call.CodeCanceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = call.CodeDeadline
	}
	return nil, &call.Error{
		Code: code, Step: "admission", Peer: string(req.Target), Run: call.RunNot,
		Message: "request ended while waiting for the target", Cause: ctx.Err(),
	}
}

// queueItem returns the request as an item of the target's queue. It may start
// until maxWait is over or its deadline has passed, whichever comes first.
func (s *Service) queueItem(now time.Time, id uint64, req *call.Request, maxWait time.Duration) fairness.Item {
	startBy := now.Add(maxWait)
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

// refusalError returns the error that reports a refusal to the router where the
// request came in.
func (s *Service) refusalError(req *call.Request, r admission.Refusal) *call.Error {
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
		e.Code, e.Message = call.CodeOverloaded, "too many requests of this client account are waiting"
	case admission.Full, admission.Abandoned:
		e.Code, e.Message = call.CodeOverloaded, "target is at its load limit"
	}
	return e
}
