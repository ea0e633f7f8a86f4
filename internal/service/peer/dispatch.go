package peer

import (
	"github.com/zinniafork/zinniafork/internal/wire"
)

// handle takes one frame from the other router and returns the kind that its
// bytes count for. An error means that the other side broke the protocol.
func (c *conn) handle(f *wire.Frame) (Kind, error) {
	switch f.Type {
	case wire.TypePing:
		c.offerFrame(&wire.Frame{Type: wire.TypePong}, KindTransport)
		return KindTransport, nil
	case wire.TypePong:
		return KindTransport, nil
	case wire.TypeGoAway:
		return KindTransport, c.handleGoAway(f)
	case wire.TypeDone:
		c.handleDone()
		return KindTransport, nil
	case wire.TypeControl:
		return c.handleControl(f), nil
	case wire.TypeQuery, wire.TypeCall:
		return c.handleOpen(f)
	case wire.TypeReply, wire.TypeHead, wire.TypeChunk, wire.TypeEnd, wire.TypeReset:
		return c.handleAnswer(f)
	case wire.TypeCancel, wire.TypeCredit:
		return c.handleServed(f), nil
	default:
		return KindTransport, errorf("%w: unexpected frame of type %d", wire.ErrMalformed, f.Type)
	}
}

func (c *conn) handleGoAway(f *wire.Frame) error {
	var body wire.GoAway
	if err := wire.Unmarshal(f.Body, &body); err != nil {
		return err
	}
	c.mu.Lock()
	c.left = true
	c.mu.Unlock()
	c.host.logger.WithField("peer", c.vm).WithField("reason", body.Reason).Debug("Other side leaves the connection.")
	c.host.links.left(c)
	c.retire(errReplaced)
	c.finish()
	return nil
}

func (c *conn) handleDone() {
	c.mu.Lock()
	c.doneThere = true
	c.left = true
	c.mu.Unlock()
	c.host.links.left(c)
	c.finish()
}

func (c *conn) handleControl(f *wire.Frame) Kind {
	kind := Kind(f.Kind)
	h, ok := c.host.controls[kind]
	if !ok {
		c.host.metrics.unknownKind.Inc(1)
		return KindTransport
	}
	if err := c.runControl(h, f.Body); err != nil {
		c.host.metrics.failedHandlers.Inc(1)
	}
	return kind
}

// runControl runs a handler of control messages. It runs on the goroutine that reads
// the connection, where a panic would end the process.
func (c *conn) runControl(h ControlHandler, payload []byte) (err error) {
	defer c.recovered(&err)
	h(c.vm, payload)
	return nil
}

// handleAnswer passes a frame to the stream that waits for it.
func (c *conn) handleAnswer(f *wire.Frame) (Kind, error) {
	c.mu.Lock()
	st, ok := c.opened[f.Stream]
	c.mu.Unlock()
	if !ok {
		c.host.metrics.late.Inc(1)
		return KindTransport, nil
	}
	if f.Request != st.request {
		c.host.metrics.crossed.Inc(1)
		return st.kind, nil
	}
	return st.kind, st.deliver(f, c.host.settings.WindowBytes)
}

// handleServed passes a frame to the handler that serves its stream.
func (c *conn) handleServed(f *wire.Frame) Kind {
	c.mu.Lock()
	s, ok := c.served[f.Stream]
	c.mu.Unlock()
	if !ok {
		// The stream has ended while the frame was on its way.
		return KindTransport
	}
	if f.Request != s.request {
		c.host.metrics.crossed.Inc(1)
		return s.kind
	}
	if f.Type == wire.TypeCancel {
		s.cancel(errCanceledThere)
	} else {
		s.grant(f.Offset)
	}
	return s.kind
}
