package peer

import (
	"context"
	"errors"
	"runtime/debug"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/service/membudget"
	"github.com/zinniafork/zinniafork/internal/tracing"
	"github.com/zinniafork/zinniafork/internal/wire"
)

var errCanceledThere = errors.New("the other router wants no more of the answer")

// servedStream is a query or call that the other router opened.
type servedStream struct {
	id      uint64
	kind    Kind
	request call.ID
	cancel  context.CancelCauseFunc

	mu     sync.Mutex
	credit uint64
	wake   chan struct{}
}

// grant lets the handler send n more bytes.
func (s *servedStream) grant(n uint64) {
	s.mu.Lock()
	s.credit += n
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// spend takes up to want bytes of credit and waits when there is none.
func (s *servedStream) spend(ctx context.Context, want int) (int, error) {
	for {
		s.mu.Lock()
		n := min(uint64(want), s.credit)
		s.credit -= n
		s.mu.Unlock()
		if n > 0 {
			return int(n), nil
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		}
	}
}

// handleOpen starts the handler of a new stream.
func (c *conn) handleOpen(f *wire.Frame) (Kind, error) {
	if f.Stream%2 == c.parity() {
		return KindTransport, errorf("%w: stream %d has the wrong parity", wire.ErrMalformed, f.Stream)
	}
	var body wire.Call
	if f.Type == wire.TypeCall {
		if err := wire.Unmarshal(f.Body, &body); err != nil {
			return KindTransport, err
		}
		if body.Request == nil {
			return KindTransport, errorf("%w: call without a request", wire.ErrMalformed)
		}
		if body.Request.ID != f.Request {
			c.host.metrics.crossed.Inc(1)
			return KindTransport, nil
		}
	}
	s, refusal := c.admit(f)
	if s == nil && refusal == nil {
		c.host.metrics.repeated.Inc(1)
		return KindTransport, nil
	}
	if refusal != nil {
		c.reset(f, refusal)
		return KindTransport, nil
	}
	hold := c.host.memory.Open(membudget.KindRelayed, membudget.Owner(c.vm), func() {})
	hold.SetComplete(true) // it ends with its call
	if !hold.TryGrow(len(f.Body)) {
		hold.Close()
		c.host.memory.Note(membudget.Refused, membudget.Owner(c.vm))
		c.reset(f, refused(c.host.self(), call.CodeOverloaded, "no memory for the request"))
		return KindTransport, nil
	}
	ctx, cancel := context.WithCancelCause(c.host.ctx)
	s.cancel = cancel
	if !c.track(s) {
		hold.Close()
		return s.kind, nil
	}
	c.host.background(func() {
		defer hold.Close()
		if f.Type == wire.TypeQuery {
			c.serveQuery(ctx, s, f.Body)
		} else {
			c.serveCall(ctx, s, &body)
		}
	})
	return s.kind, nil
}

// parity is the remainder by 2 of the numbers of streams that this side opens.
func (c *conn) parity() uint64 {
	if c.dialedHere {
		return 1
	}
	return 0
}

// admit decides on a new stream: a refusal for one that can't be served now,
// nothing for a repeated one.
func (c *conn) admit(f *wire.Frame) (*servedStream, *call.Error) {
	kind := Kind(f.Kind)
	self := c.host.self()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.replayed.Add(f.Stream) {
		return nil, nil
	}
	_, isCall := c.host.calls[kind]
	_, isQuery := c.host.queries[kind]
	switch {
	case c.leaving:
		return nil, refused(self, call.CodeDraining, "connection is closing")
	case f.Type == wire.TypeCall && !isCall, f.Type == wire.TypeQuery && !isQuery:
		return nil, refused(self, call.CodeNotFound, "no handler for this kind")
	case len(c.served) >= c.host.settings.MaxStreams:
		return nil, refused(self, call.CodeOverloaded, "too many streams on the connection")
	}
	return &servedStream{
		id:      f.Stream,
		kind:    kind,
		request: f.Request,
		credit:  c.remote.WindowBytes,
		wake:    make(chan struct{}, 1),
	}, nil
}

// track registers a stream, unless the connection has ended.
func (c *conn) track(s *servedStream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		s.cancel(c.err)
		return false
	}
	c.served[s.id] = s
	return true
}

func (c *conn) untrack(s *servedStream) {
	s.cancel(nil)
	c.mu.Lock()
	delete(c.served, s.id)
	c.mu.Unlock()
}

func (c *conn) serveQuery(ctx context.Context, s *servedStream, payload []byte) {
	defer c.untrack(s)
	frame := &wire.Frame{Type: wire.TypeReply, Stream: s.id, Request: s.request}
	reply, err := c.answerQuery(ctx, s.kind, payload)
	if err != nil {
		c.reset(&wire.Frame{Stream: s.id, Request: s.request, Kind: string(s.kind)}, call.AsError(err))
		return
	}
	frame.Body = reply
	i, err := c.encode(frame, s.kind)
	if err != nil {
		c.reset(frame, call.AsError(err))
		return
	}
	_ = c.push(ctx, c.urgent, i)
}

func (c *conn) answerQuery(ctx context.Context, kind Kind, payload []byte) (reply []byte, err error) {
	defer c.recovered(&err)
	return c.host.queries[kind](ctx, c.vm, payload)
}

func (c *conn) serveCall(ctx context.Context, s *servedStream, body *wire.Call) {
	defer c.untrack(s)
	req := body.Request
	req.Deadline = time.Time{}
	if body.RemainingNanos > 0 {
		remaining := time.Duration(body.RemainingNanos)
		req.Deadline = c.host.clock.Now().Add(remaining)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, remaining)
		defer cancel()
	}
	ctx, span := c.host.tracer.Start(tracing.Continue(ctx, req.TraceParent), "owner", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request", string(req.ID)), attribute.String("kind", string(s.kind)), attribute.String("from", string(c.vm))))
	defer span.End()
	req.TraceParent = tracing.Parent(ctx)
	sink := &remoteSink{ctx: ctx, conn: c, stream: s}
	err := c.answerCall(ctx, s.kind, req, sink)
	if sink.ended {
		return
	}
	if err == nil {
		err = &call.Error{
			Code:    call.CodeInternal,
			Message: "handler returned without the end of the answer",
			Step:    step,
			Peer:    string(c.host.self()),
			Run:     call.RunUnknown,
		}
	}
	c.reset(&wire.Frame{Stream: s.id, Request: s.request, Kind: string(s.kind)}, call.AsError(err))
}

func (c *conn) answerCall(ctx context.Context, kind Kind, req *call.Request, sink call.Sink) (err error) {
	defer c.recovered(&err)
	return c.host.calls[kind](ctx, c.vm, req, sink)
}

// recovered turns a panic of a handler into an error, so that one request
// can't end the router.
func (c *conn) recovered(err *error) {
	if p := recover(); p != nil {
		c.host.logger.WithField("panic", p).WithField("stack", string(debug.Stack())).Error("Handler failed.")
		*err = errorf("handler panicked: %v", p)
	}
}

// reset ends the stream of f with an error.
func (c *conn) reset(f *wire.Frame, e *call.Error) {
	body, err := wire.Marshal(e)
	if err != nil {
		return
	}
	i, err := c.encode(&wire.Frame{Type: wire.TypeReset, Stream: f.Stream, Request: f.Request, Body: body}, c.host.known(f.Kind))
	if err != nil {
		return
	}
	c.pushLater(i)
}

// remoteSink sends an answer to the router that asked for it.
type remoteSink struct {
	ctx    context.Context
	conn   *conn
	stream *servedStream
	ended  bool
}

// Head sends the start of the answer.
func (s *remoteSink) Head(h call.Head) error {
	body, err := wire.Marshal(h)
	if err != nil {
		return err
	}
	return s.frame(&wire.Frame{Type: wire.TypeHead, Attempt: h.Attempt, Body: body})
}

// Chunk sends a part of the answer as the credit allows.
func (s *remoteSink) Chunk(part call.Chunk) error {
	for len(part.Data) > 0 {
		n, err := s.stream.spend(s.ctx, min(len(part.Data), wire.MaxChunkBytes))
		if err != nil {
			return err
		}
		f := &wire.Frame{Type: wire.TypeChunk, Attempt: part.Attempt, Offset: part.Offset, Body: part.Data[:n]}
		if err := s.frame(f); err != nil {
			return err
		}
		part.Data = part.Data[n:]
		part.Offset += uint64(n)
	}
	return nil
}

// End sends the end of the answer.
func (s *remoteSink) End(e call.End) error {
	body, err := wire.Marshal(e)
	if err != nil {
		return err
	}
	if err := s.frame(&wire.Frame{Type: wire.TypeEnd, Attempt: e.Attempt, Body: body}); err != nil {
		return err
	}
	s.ended = true
	return nil
}

func (s *remoteSink) frame(f *wire.Frame) error {
	f.Stream, f.Request = s.stream.id, s.stream.request
	i, err := s.conn.encode(f, s.stream.kind)
	if err != nil {
		return err
	}
	return s.conn.push(s.ctx, s.conn.bulk, i)
}
