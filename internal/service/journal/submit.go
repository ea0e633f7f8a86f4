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

// Submit runs the order of req.Key at most once and passes its response to
// sink. A ticket goes first to the router that minted it. Otherwise the owner
// of the key's partition is asked, again after each change of owner or failure
// to reach it, until ctx ends.
func (s *Service) Submit(ctx context.Context, req *call.Request, sink call.Sink) error {
	key, e := s.parseKey(req.Key)
	if e != nil {
		return e
	}
	s.meters.submitted.Inc(1)
	begin := s.clock.Now()
	defer func() { s.meters.wait.Update(s.clock.Now().Sub(begin).Microseconds()) }()
	n := key.Partition(s.partitionCount())
	if key.Ticket != nil {
		if err := s.submitTicket(ctx, key, req, sink); !needsOtherRouter(err) {
			return err
		}
	}
	for {
		vm, ok := s.owners.Owner(resourceOf(n))
		if ok {
			if err := s.submitAt(ctx, vm, key, req, sink); !needsOtherRouter(err) {
				return err
			}
		}
		if s.clock.Sleep(ctx, forwardRetryDelay) != nil {
			return s.noOwnerError(ctx, key.Key)
		}
	}
}

// parseKey parses an idempotency key. It fails also while this router has no
// configuration, because the number of partitions is not known then.
func (s *Service) parseKey(text string) (orders.ParsedKey, *call.Error) {
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
			Message: "this router has no configuration yet", RetryAfter: forwardRetryDelay, StatusLink: statusLink(key.Key)}
	}
	return key, nil
}

// noOwnerError is the error when no router that is responsible for the order
// was reached in time.
func (s *Service) noOwnerError(ctx context.Context, k orders.Key) *call.Error {
	return &call.Error{Code: call.CodeUnknownOutcome, Step: step, Run: call.RunUnknown, StatusLink: statusLink(k),
		Message: "no router responsible for this order was reached in time", Cause: ctx.Err()}
}

// errOtherRouter means that another router must be asked. It never leaves the
// package.
var errOtherRouter = errors.New("another router is responsible for this order")

// needsOtherRouter reports whether err is errOtherRouter or errUnreachable.
func needsOtherRouter(err error) bool { return errors.Is(err, errOtherRouter) }

// errUnreachable means that a router did not respond. It wraps errOtherRouter.
var errUnreachable = fmt.Errorf("%w: no response", errOtherRouter)

// submitTicket submits a ticket to the router that minted it. While that
// router seems to be alive but does not respond, it is retried for half of the
// remaining time.
func (s *Service) submitTicket(ctx context.Context, key orders.ParsedKey, req *call.Request, sink call.Sink) error {
	now := s.clock.Now()
	limit := now.Add(req.Deadline.Sub(now) / 2)
	vm := key.Ticket.Router
	for {
		err := s.submitAt(ctx, vm, key, req, sink)
		if !errors.Is(err, errUnreachable) || !s.isAlive(vm) || s.clock.Now().After(limit) {
			return err
		}
		if s.clock.Sleep(ctx, forwardRetryDelay) != nil {
			return s.noOwnerError(ctx, key.Key)
		}
	}
}

// submitAt submits the order to one router. A second submission of the same
// key never runs the order twice, so any failure to reach the router only
// means that a router must be asked again.
func (s *Service) submitAt(ctx context.Context, vm fleet.VM, key orders.ParsedKey, req *call.Request, sink call.Sink) error {
	if vm == s.self() {
		return s.submitLocal(ctx, key, req, sink)
	}
	s.meters.forwarded.Inc(1)
	tracker := &startTracker{sink: sink}
	err := s.peers.Call(ctx, vm, peer.KindSubmit, req, tracker)
	if err == nil {
		return nil
	}
	e := call.AsError(err)
	switch {
	case tracker.started:
		return cutError(key.Key, vm, e)
	case e.Step != step:
		return errUnreachable
	case e.Code == call.CodeNotOwner:
		return errOtherRouter
	}
	return e
}

// cutError reports that the response of an order was not delivered whole.
func cutError(k orders.Key, vm fleet.VM, cause error) *call.Error {
	return &call.Error{Code: call.CodeCut, Step: step, Peer: string(vm), Run: call.RunUnknown,
		Message: "the response was cut off", StatusLink: statusLink(k), Cause: cause}
}

// startTracker is a sink that notes whether a response has begun.
type startTracker struct {
	sink    call.Sink
	started bool
}

func (t *startTracker) Head(h call.Head) error   { t.started = true; return t.sink.Head(h) }
func (t *startTracker) Chunk(c call.Chunk) error { return t.sink.Chunk(c) }
func (t *startTracker) End(e call.End) error     { return t.sink.End(e) }

// handleSubmit submits an order to this router's machine for another router.
func (s *Service) handleSubmit(ctx context.Context, _ fleet.VM, req *call.Request, sink call.Sink) error {
	key, e := s.parseKey(req.Key)
	if e != nil {
		return e
	}
	err := s.submitLocal(ctx, key, req, sink)
	if needsOtherRouter(err) {
		return &call.Error{Code: call.CodeNotOwner, Step: step, Peer: string(s.self()), Run: call.RunUnknown,
			Message: "another router is responsible for this order"}
	}
	return err
}

// submitLocal submits the order to this router's machine and waits for the
// reply. If ctx ends first, the submission is cancelled, but a dispatch that
// has begun goes on.
func (s *Service) submitLocal(ctx context.Context, key orders.ParsedKey, req *call.Request, sink call.Sink) error {
	p := s.partition(key.Partition(s.partitionCount()))
	sub := &submission{req: req, sink: &detachableSink{sink: sink}, reply: make(chan orders.Reply, 1)}
	id := p.submit(key, sub)
	select {
	case reply := <-sub.reply:
		return s.respond(ctx, p, key.Key, sub, reply)
	case <-ctx.Done():
		p.cancel(id)
		sub.sink.detach()
		return &call.Error{Code: call.CodeUnknownOutcome, Step: step, Peer: string(s.self()), Run: call.RunUnknown,
			Message: "the outcome of the order was not known in time", StatusLink: statusLink(key.Key), Cause: ctx.Err()}
	}
}

// submit passes a submission to the machine.
func (p *partition) submit(key orders.ParsedKey, sub *submission) orders.SubmitID {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	id := p.nextID
	p.submissions[id] = sub
	p.stepLocked(orders.Submit{ID: id, Key: key, Identity: identityOf(sub.req), Deadline: sub.req.Deadline.Add(-replyMargin)})
	return id
}

// cancel removes a submission or settlement whose caller is gone.
func (p *partition) cancel(id orders.SubmitID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.submissions, id)
	p.stepLocked(orders.Cancel{ID: id})
}

// identityOf returns what must be the same in all requests with one key: the
// account, the service and a digest of the method, path and body.
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
