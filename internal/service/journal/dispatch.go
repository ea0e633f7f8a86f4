package journal

import (
	"context"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/orders"
)

// submission is one request or settlement that waits for the reply of the
// machine. req is nil for a settlement.
type submission struct {
	req   *call.Request
	sink  *detachableSink
	reply chan orders.Reply

	mu sync.Mutex
	// dispatchErr is the error of this submission's dispatch, or nil.
	dispatchErr *call.Error
}

func (s *submission) setDispatchError(e *call.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatchErr = e
}

func (s *submission) dispatchError() *call.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatchErr
}

// detachableSink passes a response to a caller until the caller is gone,
// rejects more or is detached. The dispatch itself goes on.
type detachableSink struct {
	mu sync.Mutex
	// sink is nil once nothing more is passed on.
	sink     call.Sink
	started  bool
	complete bool
}

// delivery is how much of a response a caller has received. sink is nil when
// the caller rejected a part of it.
type delivery struct {
	sink     call.Sink
	started  bool
	complete bool
}

// detach stops the delivery and returns its state and the sink.
func (d *detachableSink) detach() delivery {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := delivery{sink: d.sink, started: d.started, complete: d.complete}
	d.sink = nil
	return state
}

// deliver calls f with the sink, if there still is one. An error of f stops
// the delivery.
func (d *detachableSink) deliver(f func(call.Sink) error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sink == nil {
		return
	}
	d.started = true
	if f(d.sink) != nil {
		d.sink = nil
	}
}

// recordingSink passes the response of a dispatch to its caller and keeps a
// copy for the log. Its methods never fail, because the outcome is recorded
// also when the caller is gone.
type recordingSink struct {
	caller  *detachableSink
	maxBody int
	outcome orders.Outcome
}

// Head records the status, the content type and the target.
func (r *recordingSink) Head(h call.Head) error {
	r.outcome = orders.Outcome{Status: h.Status, ContentType: h.Header.Get("Content-Type"), Target: h.Target}
	r.caller.deliver(func(s call.Sink) error { return s.Head(h) })
	return nil
}

// Chunk records the body, or drops it all once it exceeds maxBody.
func (r *recordingSink) Chunk(c call.Chunk) error {
	if len(r.outcome.Body)+len(c.Data) > r.maxBody {
		r.outcome.BodyOmitted = true
		r.outcome.Body = nil
	}
	if !r.outcome.BodyOmitted {
		r.outcome.Body = append(r.outcome.Body, c.Data...)
	}
	r.caller.deliver(func(s call.Sink) error { return s.Chunk(c) })
	return nil
}

// End records that the response is complete.
func (r *recordingSink) End(e call.End) error {
	r.outcome.Run = orders.RunDone
	r.caller.deliver(func(s call.Sink) error { return s.End(e) })
	r.caller.mu.Lock()
	defer r.caller.mu.Unlock()
	r.caller.complete = r.caller.sink != nil
	return nil
}

// dispatch sends an order to one target and reports the outcome to the
// machine. It goes on when the caller is gone. sub is nil when the submission
// no longer waits; nothing is sent then.
func (p *partition) dispatch(ctx context.Context, d orders.Dispatch, sub *submission) {
	outcome := orders.Outcome{Run: orders.RunNot}
	if sub != nil {
		outcome = p.send(ctx, sub)
	}
	p.step(orders.DispatchResult{Key: d.Key, Nonce: d.Nonce, Outcome: outcome})
}

// send runs the request of a submission once, until its deadline. The outcome
// is RunNot only when the router reports that the request did not run and no
// response has begun.
func (p *partition) send(ctx context.Context, sub *submission) orders.Outcome {
	s := p.service
	ctx, cancel := context.WithTimeout(ctx, max(sub.req.Deadline.Sub(s.clock.Now()), time.Millisecond))
	defer cancel()
	req := *sub.req
	req.Repeatable = false
	recorder := &recordingSink{caller: sub.sink, maxBody: s.settings.MaxResponseBytes}
	s.meters.dispatched.Inc(1)
	err := s.router.Run(ctx, &req, recorder)
	if err == nil {
		return recorder.outcome
	}
	e := call.AsError(err)
	sub.setDispatchError(e)
	if e.Run == call.RunNot && recorder.outcome.Status == 0 {
		return orders.Outcome{Run: orders.RunNot}
	}
	return orders.Outcome{Run: orders.RunUnknown, Target: recorder.outcome.Target}
}
