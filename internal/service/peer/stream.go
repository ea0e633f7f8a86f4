package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// cancelGrace is how long a call that was given up on waits for the other
// router's word on whether it ran.
const cancelGrace = 50 * time.Millisecond

// stream is a query or call that this router opened. The reader of the
// connection delivers frames, the goroutine of the caller takes them.
type stream struct {
	id      uint64
	kind    Kind
	request call.ID

	mu     sync.Mutex
	frames []wire.Frame
	bytes  int
	wake   chan struct{}
}

// deliver queues a frame. It fails when the other side sends more than the
// window allows.
func (s *stream) deliver(f *wire.Frame, window int) error {
	s.mu.Lock()
	if f.Type == wire.TypeChunk {
		s.bytes += len(f.Body)
	}
	over := s.bytes > window
	if !over {
		s.frames = append(s.frames, *f)
	}
	s.mu.Unlock()
	if over {
		return errWindow
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

// pop takes the next frame.
func (s *stream) pop() (wire.Frame, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.frames) == 0 {
		return wire.Frame{}, false
	}
	f := s.frames[0]
	s.frames[0] = wire.Frame{}
	s.frames = s.frames[1:]
	if len(s.frames) == 0 {
		s.frames = nil
	}
	if f.Type == wire.TypeChunk {
		s.bytes -= len(f.Body)
	}
	return f, true
}

// next waits for the next frame of the stream.
func (c *conn) next(ctx context.Context, s *stream) (wire.Frame, error) {
	for {
		if f, ok := s.pop(); ok {
			return f, nil
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return wire.Frame{}, context.Cause(ctx)
		case <-c.done:
			// The reader has stopped: what it delivered is all there is.
			if f, ok := s.pop(); ok {
				return f, nil
			}
			return wire.Frame{}, c.cause()
		}
	}
}

// open registers a new stream of this side.
func (c *conn) open(kind Kind, request call.ID) (*stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return nil, c.err
	case c.leaving || c.left:
		return nil, errReplaced
	}
	c.last += 2
	s := &stream{id: c.last - 1, kind: kind, request: request, wake: make(chan struct{}, 1)}
	c.opened[s.id] = s
	return s, nil
}

func (c *conn) forget(s *stream) {
	c.mu.Lock()
	delete(c.opened, s.id)
	c.mu.Unlock()
	c.finish()
}

// send opens a stream with a frame. The error is a *call.Error that says
// "not run", since nothing was sent.
func (c *conn) send(ctx context.Context, lane chan *item, s *stream, f *wire.Frame) (*item, error) {
	f.Stream, f.Kind, f.Request = s.id, string(s.kind), s.request
	i, err := c.encode(f, s.kind)
	if err != nil {
		e := unsent(c.vm, err)
		if errors.Is(err, wire.ErrTooLarge) {
			e.Code, e.Message = call.CodeTooLarge, "request is larger than a frame may be"
		}
		return nil, e
	}
	c.probe()
	if err := c.push(ctx, lane, i); err != nil {
		if ctx.Err() != nil {
			return nil, given(ctx, c.vm, call.RunNot)
		}
		return nil, unsent(c.vm, err)
	}
	return i, nil
}

// fail turns the end of the wait for an answer into the error of the call.
func (c *conn) fail(ctx context.Context, s *stream, opener *item, cause error) *call.Error {
	if opener.withdraw() {
		if ctx.Err() != nil {
			return given(ctx, c.vm, call.RunNot)
		}
		return unsent(c.vm, cause)
	}
	if ctx.Err() == nil {
		return lost(c.vm, cause)
	}
	c.cancelStream(s)
	if e := c.lastWord(ctx, s); e != nil {
		return e
	}
	return given(ctx, c.vm, call.RunUnknown)
}

// cancelStream tells the other side that no more of the answer is wanted.
func (c *conn) cancelStream(s *stream) {
	c.offerFrame(&wire.Frame{Type: wire.TypeCancel, Stream: s.id, Request: s.request}, s.kind)
}

// lastWord waits briefly for the error that the other side ends the stream
// with, because it may know whether the call ran.
func (c *conn) lastWord(ctx context.Context, s *stream) *call.Error {
	grace, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := c.host.clock.AfterFunc(cancelGrace, cancel)
	defer stop()
	for {
		f, err := c.next(grace, s)
		if err != nil {
			return nil
		}
		if f.Type == wire.TypeReset {
			return c.resetError(&f)
		}
	}
}

// resetError decodes the error that ended a stream.
func (c *conn) resetError(f *wire.Frame) *call.Error {
	e := new(call.Error)
	if err := wire.Unmarshal(f.Body, e); err != nil {
		return lost(c.vm, err)
	}
	return e
}

// query sends a small request and returns its answer.
func (c *conn) query(ctx context.Context, kind Kind, request call.ID, payload []byte) ([]byte, error) {
	s, err := c.open(kind, request)
	if err != nil {
		return nil, unsent(c.vm, err)
	}
	defer c.forget(s)
	opener, err := c.send(ctx, c.urgent, s, &wire.Frame{Type: wire.TypeQuery, Body: payload})
	if err != nil {
		return nil, err
	}
	f, err := c.next(ctx, s)
	if err != nil {
		return nil, c.fail(ctx, s, opener, err)
	}
	switch f.Type {
	case wire.TypeReply:
		return f.Body, nil
	case wire.TypeReset:
		return nil, c.resetError(&f)
	default:
		return nil, lost(c.vm, wire.ErrMalformed)
	}
}
