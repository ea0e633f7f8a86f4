package peer

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/wire"
)

// retire takes no more streams on the connection and closes it once those
// that run have ended.
func (c *conn) retire(reason error) {
	c.mu.Lock()
	if c.leaving || c.closed {
		c.mu.Unlock()
		return
	}
	c.leaving = true
	c.mu.Unlock()
	if i := c.goAway(reason); i != nil {
		c.pushLater(i)
	}
	c.finish()
}

// goAway makes the frame that tells why this side takes no more streams, nil
// when it can't be encoded.
func (c *conn) goAway(reason error) *item {
	body, err := wire.Marshal(wire.GoAway{Reason: reason.Error()})
	if err != nil {
		return nil
	}
	i, err := c.encode(&wire.Frame{Type: wire.TypeGoAway, Body: body}, KindTransport)
	if err != nil {
		return nil
	}
	return i
}

// pushLater queues an item, waiting for room in the background.
func (c *conn) pushLater(i *item) {
	if c.offer(c.bulk, i) != nil {
		go func() { _ = c.push(context.Background(), c.bulk, i) }()
	}
}

// sayGoodbye tells the other side why the connection closes. The write is
// best effort and must not wait on a stuck socket.
func (c *conn) sayGoodbye(reason error) {
	i := c.goAway(reason)
	if i == nil {
		return
	}
	i.final = true
	if c.offer(c.bulk, i) != nil {
		return
	}
	limit := make(chan struct{})
	stop := c.host.clock.AfterFunc(goodbyeLimit, func() { close(limit) })
	defer stop()
	select {
	case <-c.done:
	case <-limit:
	}
}

// goodbyeLimit is the time that the last frame of a failed connection gets.
const goodbyeLimit = 100 * time.Millisecond

// finish tells the other side once this one opens no more streams and waits
// for none, and closes the connection when both have told so.
func (c *conn) finish() {
	c.mu.Lock()
	tell := (c.leaving || c.left) && !c.closed && !c.doneHere && len(c.opened) == 0
	c.doneHere = c.doneHere || tell
	end := c.doneHere && c.doneThere && !c.closed
	c.mu.Unlock()
	if !tell && !end {
		return
	}
	i, err := c.encode(&wire.Frame{Type: wire.TypeDone}, KindTransport)
	if err != nil {
		return
	}
	i.final = end
	c.pushLater(i)
}

// close ends the connection at once. Streams on it fail with err.
func (c *conn) close(err error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.err = err
	serving := make([]*servedStream, 0, len(c.served))
	for _, s := range c.served {
		serving = append(serving, s)
	}
	c.mu.Unlock()
	close(c.done)
	_ = c.raw.Close()
	for _, s := range serving {
		s.cancel(errorf("connection to the caller's router ended: %w", linkError{err}))
	}
	c.host.links.closed(c)
}
