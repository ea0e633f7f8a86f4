package peer

import (
	"context"
	"sync/atomic"

	"github.com/zinniafork/zinniafork/internal/wire"
)

// item is one encoded frame on its way to the socket.
type item struct {
	data  []byte
	kind  Kind
	quiet bool // does not ask for an answer
	final bool // the connection closes behind it
	state atomic.Int32
}

const (
	itemQueued int32 = iota
	itemTaken
	itemWithdrawn
)

// take claims the item for the socket.
func (i *item) take() bool { return i.state.CompareAndSwap(itemQueued, itemTaken) }

// withdraw reports whether the item never went to the socket and never will.
func (i *item) withdraw() bool { return i.state.CompareAndSwap(itemQueued, itemWithdrawn) }

// writeLoop writes queued frames, several at a time when they wait.
func (c *conn) writeLoop() {
	var buf []byte
	for {
		first := c.nextItem()
		if first == nil {
			return
		}
		buf = buf[:0]
		final := false
		for i := first; i != nil; i = c.waitingItem() {
			c.queued.Add(-int64(len(i.data)))
			if !i.take() {
				continue
			}
			buf = append(buf, i.data...)
			final = final || i.final
			c.host.traffic.of(i.kind).sent.Add(uint64(len(i.data)))
			if !i.quiet {
				c.sent.Store(c.host.clock.Now().UnixNano())
			}
			if len(buf) >= writeBytes {
				break
			}
		}
		_, err := c.raw.Write(buf)
		if cap(buf) > maxQueuedBytes {
			buf = nil // one large frame must not keep its memory
		}
		if err != nil {
			c.close(err)
			return
		}
		if final {
			c.close(errReplaced)
			return
		}
	}
}

// nextItem waits for a frame; nil means that the connection has ended.
func (c *conn) nextItem() *item {
	if i := c.waitingItem(); i != nil {
		return i
	}
	select {
	case i := <-c.urgent:
		return i
	case i := <-c.bulk:
		return i
	case <-c.done:
		return nil
	}
}

func (c *conn) waitingItem() *item {
	select {
	case i := <-c.urgent:
		return i
	default:
	}
	select {
	case i := <-c.bulk:
		return i
	default:
		return nil
	}
}

// Bytes that may wait on a connection when a control message is queued. Loads are of no use
// once they are late, and must not hold up what else is sent to the router.
const (
	maxQueuedBytes     = 1 << 20
	maxQueuedLoadBytes = 256 << 10
)

// offerControl queues a control message if there is room. A message that is larger than the
// limit is taken while nothing else waits.
func (c *conn) offerControl(kind Kind, i *item) error {
	limit := int64(maxQueuedBytes)
	if kind == KindLoad {
		limit = maxQueuedLoadBytes
	}
	if queued := c.queued.Load(); queued > 0 && queued+int64(len(i.data)) > limit {
		c.host.metrics.queueFull.Inc(1)
		return ErrQueueFull
	}
	return c.offer(c.urgent, i)
}

// encode makes an item of a frame, or fails when the other side would refuse
// its size.
func (c *conn) encode(f *wire.Frame, kind Kind) (*item, error) {
	data, err := wire.Append(nil, f)
	if err != nil {
		return nil, err
	}
	if size := len(data) - wire.HeaderBytes; c.remote.MaxFrameBytes > 0 && uint64(size) > c.remote.MaxFrameBytes {
		return nil, errorf("%w: %d bytes, limit %d", wire.ErrTooLarge, size, c.remote.MaxFrameBytes)
	}
	return &item{data: data, kind: kind, quiet: !asks(f.Type)}, nil
}

// asks reports whether the sender of a frame expects the other side to send
// something back.
func asks(t wire.Type) bool {
	switch t {
	case wire.TypePing, wire.TypeControl, wire.TypeQuery, wire.TypeCall, wire.TypeGoAway:
		return true
	default:
		return false
	}
}

// push queues an item and waits for room.
func (c *conn) push(ctx context.Context, lane chan *item, i *item) error {
	c.queued.Add(int64(len(i.data)))
	select {
	case lane <- i:
		return nil
	case <-c.done:
		c.queued.Add(-int64(len(i.data)))
		return c.cause()
	case <-ctx.Done():
		c.queued.Add(-int64(len(i.data)))
		return context.Cause(ctx)
	}
}

// offer queues an item if there is room.
func (c *conn) offer(lane chan *item, i *item) error {
	select {
	case <-c.done:
		return c.cause()
	default:
	}
	c.queued.Add(int64(len(i.data)))
	select {
	case lane <- i:
		return nil
	default:
		c.queued.Add(-int64(len(i.data)))
		return ErrQueueFull
	}
}

// offerFrame queues a small frame that may be lost.
func (c *conn) offerFrame(f *wire.Frame, kind Kind) {
	i, err := c.encode(f, kind)
	if err != nil {
		return
	}
	_ = c.offer(c.urgent, i)
}
