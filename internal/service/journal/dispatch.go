package journal

import (
	"context"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/orders"
)

// submission is one request that waits for the machine's answer.
type submission struct {
	req   *call.Request
	sink  *outlet
	reply chan orders.Reply

	mu sync.Mutex
	// failure is the error of the dispatch of this submission.
	failure *call.Error
}

func (s *submission) setFailure(e *call.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = e
}

func (s *submission) dispatchFailure() *call.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// outlet passes an answer to a caller until the caller is gone.
type outlet struct {
	mu      sync.Mutex
	sink    call.Sink
	started bool
	whole   bool
}

// passed tells how much of an answer a caller has.
type passed struct {
	sink    call.Sink
	started bool
	whole   bool
}

// detach ends the passing on and returns the sink with what it has got.
func (o *outlet) detach() passed {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := passed{sink: o.sink, started: o.started, whole: o.whole}
	o.sink = nil
	return p
}

// pass calls f with the sink unless the caller is gone or wants no more.
func (o *outlet) pass(f func(call.Sink) error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.sink == nil {
		return
	}
	o.started = true
	if f(o.sink) != nil {
		o.sink = nil
	}
}

// tee passes the answer of a dispatch to its caller and keeps a copy. It never
// fails, because the outcome is wanted also when the caller is gone.
type tee struct {
	out   *outlet
	limit int
	got   orders.Outcome
}

// Head notes status and type.
func (t *tee) Head(h call.Head) error {
	t.got = orders.Outcome{Status: h.Status, ContentType: h.Header.Get("Content-Type"), Target: h.Target}
	t.out.pass(func(s call.Sink) error { return s.Head(h) })
	return nil
}

// Chunk keeps the body up to the limit.
func (t *tee) Chunk(c call.Chunk) error {
	if len(t.got.Body)+len(c.Data) > t.limit {
		t.got.BodyOmitted = true
		t.got.Body = nil
	}
	if !t.got.BodyOmitted {
		t.got.Body = append(t.got.Body, c.Data...)
	}
	t.out.pass(func(s call.Sink) error { return s.Chunk(c) })
	return nil
}

// End notes that the answer is whole.
func (t *tee) End(e call.End) error {
	t.got.Run = orders.RunDone
	t.out.pass(func(s call.Sink) error { return s.End(e) })
	t.out.mu.Lock()
	defer t.out.mu.Unlock()
	t.out.whole = t.out.sink != nil
	return nil
}

// dispatch sends an order to one target. It goes on when the caller is gone.
func (p *partition) dispatch(ctx context.Context, d orders.Dispatch, sub *submission) {
	outcome := orders.Outcome{Run: orders.RunNot}
	if sub != nil {
		outcome = p.send(ctx, sub)
	}
	p.step(orders.DispatchResult{Key: d.Key, Nonce: d.Nonce, Outcome: outcome})
}

func (p *partition) send(ctx context.Context, sub *submission) orders.Outcome {
	s := p.service
	ctx, cancel := context.WithTimeout(ctx, max(sub.req.Deadline.Sub(s.clock.Now()), time.Millisecond))
	defer cancel()
	req := *sub.req
	req.Repeatable = false
	t := &tee{out: sub.sink, limit: s.settings.MaxResponseBytes}
	s.meters.dispatched.Inc(1)
	err := s.router.Run(ctx, &req, t)
	if err == nil {
		return t.got
	}
	e := call.AsError(err)
	sub.setFailure(e)
	if e.Run == call.RunNot && t.got.Status == 0 {
		return orders.Outcome{Run: orders.RunNot}
	}
	return orders.Outcome{Run: orders.RunUnknown, Target: t.got.Target}
}
