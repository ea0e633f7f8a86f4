package journal

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/orders"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
)

// Submit runs the order of req.Key at most once and passes its answer to sink.
func (s *Service) Submit(ctx context.Context, req *call.Request, sink call.Sink) error {
	key, e := s.parse(req.Key)
	if e != nil {
		return e
	}
	s.meters.submitted.Inc(1)
	begin := s.clock.Now()
	defer func() { s.meters.wait.Update(s.clock.Now().Sub(begin).Microseconds()) }()
	n := key.Partition(s.partitionCount())
	if key.Ticket != nil {
		if err := s.submitTicket(ctx, key, req, sink); !elsewhere(err) {
			return err
		}
	}
	for {
		vm, ok := s.owners.Owner(resourceOf(n))
		if ok {
			if err := s.submitAt(ctx, vm, key, req, sink); !elsewhere(err) {
				return err
			}
		}
		if s.clock.Sleep(ctx, forwardRetry) != nil {
			return s.noOwner(ctx, key.Key)
		}
	}
}

func (s *Service) parse(text string) (orders.ParsedKey, *call.Error) {
	if text == "" {
		return orders.ParsedKey{}, &call.Error{Code: call.CodeKeyRequired, Step: step, Run: call.RunNot,
			Message: "this call may run at most once and needs an Idempotency-Key: a UUID of version 7 or a ticket"}
	}
	key, err := orders.ParseKey(text)
	if err != nil {
		return key, &call.Error{Code: call.CodeBadRequest, Step: step, Run: call.RunNot,
			Message: "the Idempotency-Key must be a UUID of version 7 or a ticket", Cause: err}
	}
	if s.partitionCount() == 0 {
		return key, &call.Error{Code: call.CodeUnavailable, Step: step, Run: call.RunUnknown,
			Message: "this router has no configuration yet", RetryAfter: forwardRetry, StatusLink: statusLink(key.Key)}
	}
	return key, nil
}

// noOwner is the answer when no router that could decide was reached in time.
func (s *Service) noOwner(ctx context.Context, k orders.Key) *call.Error {
	return &call.Error{Code: call.CodeUnknownOutcome, Step: step, Run: call.RunUnknown, StatusLink: statusLink(k),
		Message: "no router that decides about this order was reached in time", Cause: ctx.Err()}
}

// errElsewhere means that another router must be asked. It never leaves the
// package.
var errElsewhere = errors.New("another router decides about this order")

func elsewhere(err error) bool { return errors.Is(err, errElsewhere) }

// errNotReached means that a router gave no answer.
var errNotReached = fmt.Errorf("%w: no answer", errElsewhere)

// submitTicket submits a ticket at the router that minted it. While that one
// seems alive it is tried for half of the time that is left.
func (s *Service) submitTicket(ctx context.Context, key orders.ParsedKey, req *call.Request, sink call.Sink) error {
	now := s.clock.Now()
	limit := now.Add(req.Deadline.Sub(now) / 2)
	vm := key.Ticket.Router
	for {
		err := s.submitAt(ctx, vm, key, req, sink)
		if !errors.Is(err, errNotReached) || !s.alive(vm) || s.clock.Now().After(limit) {
			return err
		}
		if s.clock.Sleep(ctx, forwardRetry) != nil {
			return s.noOwner(ctx, key.Key)
		}
	}
}

// submitAt submits the order at one router. The order is repeatable towards
// routers, so any failure to reach one only means to ask again.
func (s *Service) submitAt(ctx context.Context, vm fleet.VM, key orders.ParsedKey, req *call.Request, sink call.Sink) error {
	if vm == s.self() {
		return s.submitHere(ctx, key, req, sink)
	}
	s.meters.forwarded.Inc(1)
	watch := &watchedSink{sink: sink}
	err := s.peers.Call(ctx, vm, peer.KindSubmit, req, watch)
	if err == nil {
		return nil
	}
	e := call.AsError(err)
	switch {
	case watch.started:
		return cutAnswer(key.Key, vm, e)
	case e.Step != step:
		return errNotReached
	case e.Code == call.CodeNotOwner:
		return errElsewhere
	}
	return e
}

func cutAnswer(k orders.Key, vm fleet.VM, cause error) *call.Error {
	return &call.Error{Code: call.CodeCut, Step: step, Peer: string(vm), Run: call.RunUnknown,
		Message: "the answer was cut off", StatusLink: statusLink(k), Cause: cause}
}

// watchedSink notes whether anything was passed on.
type watchedSink struct {
	sink    call.Sink
	started bool
}

func (w *watchedSink) Head(h call.Head) error   { w.started = true; return w.sink.Head(h) }
func (w *watchedSink) Chunk(c call.Chunk) error { return w.sink.Chunk(c) }
func (w *watchedSink) End(e call.End) error     { return w.sink.End(e) }

// submitFor submits an order here for another router.
func (s *Service) submitFor(ctx context.Context, _ fleet.VM, req *call.Request, sink call.Sink) error {
	key, e := s.parse(req.Key)
	if e != nil {
		return e
	}
	err := s.submitHere(ctx, key, req, sink)
	if elsewhere(err) {
		return &call.Error{Code: call.CodeNotOwner, Step: step, Peer: string(s.self()), Run: call.RunUnknown,
			Message: "another router decides about this order"}
	}
	return err
}

// submitHere gives the order to this router's machine and waits for its
// answer.
func (s *Service) submitHere(ctx context.Context, key orders.ParsedKey, req *call.Request, sink call.Sink) error {
	p := s.partition(key.Partition(s.partitionCount()))
	sub := &submission{req: req, sink: &outlet{sink: sink}, reply: make(chan orders.Reply, 1)}
	id := p.submit(key, sub)
	select {
	case reply := <-sub.reply:
		return s.finish(ctx, p, key.Key, sub, reply)
	case <-ctx.Done():
		p.cancel(id)
		sub.sink.detach()
		return &call.Error{Code: call.CodeUnknownOutcome, Step: step, Peer: string(s.self()), Run: call.RunUnknown,
			Message: "the outcome was not known in time", StatusLink: statusLink(key.Key), Cause: ctx.Err()}
	}
}

func (p *partition) submit(key orders.ParsedKey, sub *submission) orders.SubmitID {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	id := p.nextID
	p.submissions[id] = sub
	p.stepLocked(orders.Submit{ID: id, Key: key, Identity: identityOf(sub.req), Deadline: sub.req.Deadline.Add(-answerMargin)})
	return id
}

func (p *partition) cancel(id orders.SubmitID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.submissions, id)
	p.stepLocked(orders.Cancel{ID: id})
}

// identityOf returns what must be the same when the key is used again.
func identityOf(req *call.Request) orders.Identity {
	h := sha256.New()
	for _, part := range []string{req.Method, req.Path} {
		_, _ = io.WriteString(h, part+"\n")
	}
	_, _ = h.Write(req.Body)
	id := orders.Identity{Account: req.Account, Service: req.Service}
	copy(id.Digest[:], h.Sum(nil))
	return id
}
