package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// While a router can't reach the targets of a service, it sends their requests by way of
// other routers. Route, account, target, retries and limits stay its own decisions: the
// other router passes on one request to one target, and refuses what its own knowledge of
// that target forbids.

// maxRelays is the number of routers that are asked to relay one request.
const maxRelays = 4

// errNoRelay is the error of a request that no router could relay.
var errNoRelay = errors.New("no other router reaches the target")

// errRelayLost is the error of a response that broke off on the way from the router that
// relays it.
var errRelayLost = errors.New("connection to the relaying router was lost")

// relayRequest is a TargetRequest on its way to the router that relays it.
type relayRequest struct {
	Method      string        `msgpack:"m"`
	Host        string        `msgpack:"h"`
	URI         string        `msgpack:"u"`
	Header      http.Header   `msgpack:"d"`
	Body        []byte        `msgpack:"b,omitempty"`
	Target      fleet.Target  `msgpack:"t"`
	Born        int64         `msgpack:"n"`
	Account     fleet.Account `msgpack:"a,omitempty"`
	LastEventID string        `msgpack:"l,omitempty"`
	Priority    int           `msgpack:"p"`
	CacheFrom   string        `msgpack:"c,omitempty"`
	Recent      bool          `msgpack:"r,omitempty"`
}

// relayHead is what the head of a response says beside status and header.
type relayHead struct {
	Length       int64         `msgpack:"l"`
	Unframed     bool          `msgpack:"u,omitempty"`
	NotRun       bool          `msgpack:"n,omitempty"`
	Misdirected  bool          `msgpack:"m,omitempty"`
	Stamped      bool          `msgpack:"s,omitempty"`
	Leaving      bool          `msgpack:"v,omitempty"`
	RetryAfter   time.Duration `msgpack:"r,omitempty"`
	NamesRequest bool          `msgpack:"q,omitempty"`
	Limited      bool          `msgpack:"i,omitempty"`
	RateLimit    float64       `msgpack:"t,omitempty"`
	Brittle      bool          `msgpack:"b,omitempty"`
	MaxRejected  int           `msgpack:"x,omitempty"`
	Load         *TargetLoad   `msgpack:"o,omitempty"`
}

// deliver sends a request to its target, straight or by way of another router, which it
// returns.
func (s *Service) deliver(ctx context.Context, req *TargetRequest) (resp *Response, via fleet.VM, err error) {
	t := &req.Target
	s.mu.Lock()
	direct := s.paths.Reachable(s.clock.Now(), t.Service, t.ID) || len(s.relayRouters) == 0
	s.mu.Unlock()
	if direct {
		resp, err = s.sendDirect(ctx, req)
		return resp, "", err
	}
	return s.sendRelayed(ctx, req)
}

// sendRelayed sends a request by way of the first router that reaches its target, which it
// returns.
func (s *Service) sendRelayed(ctx context.Context, req *TargetRequest) (*Response, fleet.VM, error) {
	var tried []fleet.VM
	service := req.Target.Service
	for range maxRelays {
		s.mu.Lock()
		vm, ok := s.relays.Choose(s.clock.Now(), service, s.dataCentre, s.relayRouters, tried)
		s.mu.Unlock()
		if !ok {
			break
		}
		resp, err := s.sendBy(ctx, vm, req)
		var unable *relayUnable
		if !errors.As(err, &unable) {
			s.metrics.relayed("sent")
			return resp, vm, err
		}
		tried = append(tried, vm)
		s.metrics.relayed("refused")
		s.logger.WithError(unable.cause).WithField("peer", vm).Debug("Router can't relay a request.")
		if unable.oneTarget {
			continue
		}
		s.mu.Lock()
		s.relays.Failed(s.clock.Now(), vm, service, unable.unsupported)
		s.mu.Unlock()
	}
	s.metrics.relayed("failed")
	return nil, "", &SendError{Target: req.Target.ID, PathFailed: true, Err: errNoRelay}
}

// relayUnable is the error of a router that can't relay a request. It has not sent it.
type relayUnable struct {
	unsupported bool
	// oneTarget is true if the router may relay requests to other targets of the service.
	oneTarget bool
	cause     error
}

// Error returns the cause.
func (e *relayUnable) Error() string { return "relay: " + e.cause.Error() }

// sendBy sends a request by way of another router. The error is a *SendError, or a
// *relayUnable if the router can't relay it.
func (s *Service) sendBy(ctx context.Context, vm fleet.VM, req *TargetRequest) (*Response, error) {
	c := req.Call
	body, err := wire.Marshal(&relayRequest{
		Method: c.Method, Host: c.Host, URI: c.URI, Header: c.Header, Body: c.Body,
		Target: req.Target.ID, Born: req.Target.Born, Account: req.Account, LastEventID: req.LastEventID,
		Priority: req.Priority, CacheFrom: req.CacheFrom, Recent: req.RecentConnection,
	})
	if err != nil {
		return nil, &SendError{Target: req.Target.ID, PathFailed: true, Err: fmt.Errorf("encode request: %w", err)}
	}
	ctx, cancel := context.WithCancel(ctx)
	reader, writer := io.Pipe()
	sink := &relaySink{head: make(chan *Response, 1), body: writer}
	ended := make(chan error, 1)
	go func() {
		err := s.peers.Call(ctx, vm, peer.KindRelay, &call.Request{
			ID: call.ID(c.ID), Attempt: 1, Deadline: s.clock.Now().Add(req.Timeout), Body: body, TraceParent: req.Trace,
		}, sink)
		if err != nil && sink.headed && ctx.Err() == nil {
			s.relayBroke(vm, req, err)
		}
		_ = writer.CloseWithError(relayedBodyError(err)) // a body that has ended stays ended
		ended <- err
	}()
	select {
	case resp := <-sink.head:
		resp.Body = &relayBody{PipeReader: reader, cancel: cancel}
		return resp, nil
	case err := <-ended:
		cancel()
		select {
		case resp := <-sink.head: // the whole response came at once
			resp.Body = &relayBody{PipeReader: reader, cancel: cancel}
			return resp, nil
		default:
			return nil, relayedError(req.Target.ID, err)
		}
	}
}

// relayBroke logs and counts a response that broke off on its way through another router.
func (s *Service) relayBroke(vm fleet.VM, req *TargetRequest, err error) {
	s.metrics.relayed("lost")
	s.logger.WithError(err).WithFields(logrus.Fields{"request": req.Call.ID, "target": req.Target.ID, "peer": vm}).
		Info("Relayed response broke off.")
}

// relayBody is the body of a relayed response. Closing it stops the target.
type relayBody struct {
	*io.PipeReader
	cancel context.CancelFunc
}

// Close ends the response.
func (b *relayBody) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}

// relaySink takes a relayed response.
type relaySink struct {
	head   chan *Response
	headed bool
	body   *io.PipeWriter
}

// Head takes the head of the response.
func (k *relaySink) Head(h call.Head) error {
	var more relayHead
	if err := wire.Unmarshal(h.Detail, &more); err != nil {
		return fmt.Errorf("decode relayed head: %w", err)
	}
	header := h.Header
	if header == nil {
		header = make(http.Header)
	}
	k.headed = true
	k.head <- &Response{
		Status: h.Status, Header: header, Length: more.Length, Unframed: more.Unframed, NotRun: more.NotRun,
		Misdirected: more.Misdirected, Stamped: more.Stamped, Leaving: more.Leaving, RetryAfter: more.RetryAfter,
		NamesRequest: more.NamesRequest, Limited: more.Limited, RateLimit: more.RateLimit,
		Brittle: more.Brittle, MaxRejected: more.MaxRejected, Load: more.Load,
	}
	return nil
}

// Chunk passes on a part of the body once it is read.
func (k *relaySink) Chunk(c call.Chunk) error {
	_, err := k.body.Write(c.Data)
	return err
}

// End ends the body.
func (k *relaySink) End(call.End) error { return k.body.Close() }

// relayedError translates the error of a relayed request without a response.
func relayedError(target fleet.Target, err error) error {
	var failure *call.Error
	switch {
	case err == nil:
		return &SendError{Target: target, Sent: true, PathFailed: true, Err: errors.New("relayed response has no head")}
	case !errors.As(err, &failure):
		return &SendError{Target: target, Sent: true, PathFailed: true, Err: err}
	case failure.Run == call.RunNot && failure.Code == call.CodeTargetError:
		return &SendError{Target: target, Unreachable: true, PathFailed: true, Err: err}
	case failure.Run == call.RunNot && failure.Code == call.CodeCanceled:
		return &SendError{Target: target, PathFailed: true, Err: err}
	case failure.Run == call.RunNot:
		return &relayUnable{unsupported: failure.Code == call.CodeNotFound, oneTarget: failure.Code == call.CodeTargetClosed, cause: err}
	default:
		broken := relayedBodyError(err)
		return &SendError{Target: target, Sent: true, Closed: broken.Closed, PathFailed: broken.PathFailed, Err: broken}
	}
}

// relayedBodyError translates the error that ends a relayed response. Only the router that
// relays knows what the target did: the loss of that router tells nothing of the target.
func relayedBodyError(err error) *BodyError {
	var failure *call.Error
	switch {
	case err == nil:
		return &BodyError{PathFailed: true, Err: errors.New("relayed response has no end")}
	case errors.As(err, &failure) && failure.Code == call.CodeCut && failure.Step == Name:
		return &BodyError{Closed: true, Err: err}
	case errors.As(err, &failure) && failure.Code == call.CodeTargetError && failure.Step == Name:
		return &BodyError{Err: err}
	default:
		return &BodyError{PathFailed: true, Err: fmt.Errorf("%w: %w", errRelayLost, err)}
	}
}

// handleRelay passes on a request of another router to its target, and the response back.
func (s *Service) handleRelay(ctx context.Context, _ fleet.VM, req *call.Request, sink call.Sink) error {
	var m relayRequest
	if err := wire.Unmarshal(req.Body, &m); err != nil {
		return relayFailure(s.self, call.CodeBadRequest, call.RunNot, fmt.Errorf("decode relayed request: %w", err))
	}
	target, err := s.relayTarget(&m)
	if err != nil {
		s.metrics.relayServed("refused")
		code := call.CodeNoTarget
		if errors.Is(err, errTargetClosed) {
			code = call.CodeTargetClosed
		}
		return relayFailure(s.self, code, call.RunNot, err)
	}
	now := s.clock.Now()
	resp, err := s.sendDirect(ctx, &TargetRequest{
		Call: &Call{
			ID: string(req.ID), Method: m.Method, Host: m.Host, URI: m.URI, Header: m.Header, Body: m.Body, Received: now,
		},
		Target: target, Account: m.Account, Timeout: req.Deadline.Sub(now), LastEventID: m.LastEventID, Priority: m.Priority,
		CacheFrom: m.CacheFrom, Trace: req.TraceParent, RecentConnection: m.Recent,
	})
	if err != nil {
		s.metrics.relayServed("failed")
		return sendFailure(ctx, s.self, err)
	}
	defer resp.Body.Close()
	s.metrics.relayServed("answered")
	s.takeReport(string(req.ID), &target, resp, now)
	return passBack(ctx, s.self, resp, sink)
}

// errTargetClosed is the error of a relayed request whose target gets none from this router. It
// says nothing of other targets.
var errTargetClosed = errors.New("target takes no requests from here")

// relayTarget returns the target of a relayed request. The error tells why this router
// can't send the request there.
func (s *Service) relayTarget(m *relayRequest) (sitestate.AvailableTarget, error) {
	t, ok := s.site.Lookup(m.Target)
	target := sitestate.AvailableTarget{ID: m.Target, Target: t}
	now := s.clock.Now()
	switch {
	case s.stopped.Load():
		return target, errors.New("router stops")
	case !ok || t.Born != m.Born || !s.site.IsAvailable(m.Target):
		return target, fmt.Errorf("%w: it is not available", errTargetClosed)
	case !s.accepting(now, &target):
		return target, fmt.Errorf("%w: it leaves or wants a pause", errTargetClosed)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paths.IsCut(t.Service) && !s.paths.Reachable(now, t.Service, m.Target) {
		return target, errors.New("target can't be reached from here")
	}
	return target, nil
}

// sendFailure returns what the router that asked is told of a send without a response.
func sendFailure(ctx context.Context, self fleet.VM, err error) error {
	var failure *SendError
	switch {
	case !errors.As(err, &failure):
		return relayFailure(self, call.CodeUnknownOutcome, call.RunUnknown, err)
	case failure.Unreachable:
		return relayFailure(self, call.CodeTargetError, call.RunNot, err)
	case !failure.Sent:
		return relayFailure(self, call.CodeCanceled, call.RunNot, err)
	default:
		return relayFailure(self, brokenCode(ctx, err), call.RunUnknown, err)
	}
}

// brokenCode returns the code for a response that a target did not bring or end: that the target
// closed its connection, that it failed otherwise, or that this router or the one that asked ended
// the request, which tells nothing of the target.
func brokenCode(ctx context.Context, err error) call.Code {
	switch {
	case closedByTarget(err):
		return call.CodeCut
	case ctx.Err() == nil:
		return call.CodeTargetError
	default:
		return call.CodeUnknownOutcome
	}
}

// relayFailure returns an error of this router for the one that asked.
func relayFailure(self fleet.VM, code call.Code, run call.Run, cause error) error {
	return &call.Error{Code: code, Message: cause.Error(), Step: Name, Peer: string(self), Run: run, Cause: cause}
}

// passBack passes a response on to the router that asked, as it arrives.
func passBack(ctx context.Context, self fleet.VM, resp *Response, sink call.Sink) error {
	detail, err := wire.Marshal(&relayHead{
		Length: resp.Length, Unframed: resp.Unframed, NotRun: resp.NotRun, Misdirected: resp.Misdirected, Stamped: resp.Stamped,
		Leaving: resp.Leaving, RetryAfter: resp.RetryAfter, NamesRequest: resp.NamesRequest, Limited: resp.Limited,
		RateLimit: resp.RateLimit, Brittle: resp.Brittle, MaxRejected: resp.MaxRejected, Load: resp.Load,
	})
	if err != nil {
		return relayFailure(self, call.CodeUnknownOutcome, call.RunUnknown, err)
	}
	if err := sink.Head(call.Head{Attempt: 1, Status: resp.Status, Header: resp.Header, Detail: detail}); err != nil {
		return err
	}
	digest := xxhash.New()
	buf := make([]byte, readBufferBytes)
	length := uint64(0)
	for {
		n, ended, err := readBody(resp.Body, buf)
		if n > 0 {
			_, _ = digest.Write(buf[:n]) // never fails
			if err := sink.Chunk(call.Chunk{Attempt: 1, Offset: length, Data: buf[:n]}); err != nil {
				return err
			}
			length += uint64(n)
		}
		switch {
		case ended:
			return sink.End(call.End{Attempt: 1, Length: length, Digest: digest.Sum64()})
		case err != nil:
			return relayFailure(self, brokenCode(ctx, err), call.RunUnknown, err)
		}
	}
}
