package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/fleet"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// Sizes of the send queues in frames, and of one write in bytes.
const (
	urgentQueue = 1024
	bulkQueue   = 256
	writeBytes  = 64 << 10
)

// conn is one connection to another router, after the hello.
//
// Control messages, queries and pings are sent ahead of the frames of calls.
type conn struct {
	host   *Service
	raw    net.Conn
	remote wire.Hello
	vm     fleet.VM
	number uint64
	// dialedHere is true on the side that opened the connection.
	dialedHere bool
	// previous is the number of the last connection that the dialer knew of.
	previous uint64

	urgent chan *item
	bulk   chan *item
	done   chan struct{}

	// Times in nanoseconds of the process clock, zero for never.
	received atomic.Int64
	sent     atomic.Int64
	pinged   atomic.Int64

	mu      sync.Mutex
	err     error
	closed  bool
	leaving bool // this side takes no more streams
	left    bool // the other side takes none
	// doneHere and doneThere tell that a side opens no more streams.
	doneHere  bool
	doneThere bool
	last      uint64
	opened    map[uint64]*stream
	served    map[uint64]*servedStream
	replayed  wire.Window
}

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

func newConn(host *Service, raw net.Conn, remote wire.Hello, dialedHere bool) *conn {
	c := &conn{
		host:       host,
		raw:        raw,
		remote:     remote,
		vm:         fleet.VM(remote.VM),
		dialedHere: dialedHere,
		urgent:     make(chan *item, urgentQueue),
		bulk:       make(chan *item, bulkQueue),
		done:       make(chan struct{}),
		opened:     make(map[uint64]*stream),
		served:     make(map[uint64]*servedStream),
	}
	c.received.Store(host.clock.Now().UnixNano())
	if !dialedHere {
		c.last = 1
	}
	return c
}

// run serves the connection until it ends.
func (c *conn) run(in *wire.Reader) {
	c.host.background(c.writeLoop)
	err := c.readLoop(in)
	if errors.Is(err, wire.ErrMalformed) || errors.Is(err, wire.ErrTooLarge) || errors.Is(err, errWindow) {
		c.host.metrics.malformed.Inc(1)
		c.host.logger.WithField("peer", c.vm).WithError(err).Warn("Malformed frame closes the connection.")
		c.sayGoodbye(err)
	}
	c.close(err)
}

func (c *conn) readLoop(in *wire.Reader) error {
	for {
		f, size, err := in.Read()
		if err != nil {
			return err
		}
		c.received.Store(c.host.clock.Now().UnixNano())
		c.pinged.Store(0)
		kind, err := c.handle(&f)
		if err != nil {
			return err
		}
		c.host.traffic.of(kind).received.Add(uint64(size))
	}
}

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
		if _, err := c.raw.Write(buf); err != nil {
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
	select {
	case lane <- i:
		return nil
	case <-c.done:
		return c.cause()
	case <-ctx.Done():
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
	select {
	case lane <- i:
		return nil
	default:
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
	c.sendGoAway(reason)
	c.finish()
}

func (c *conn) sendGoAway(reason error) {
	body, err := wire.Marshal(wire.GoAway{Reason: reason.Error()})
	if err != nil {
		return
	}
	i, err := c.encode(&wire.Frame{Type: wire.TypeGoAway, Body: body}, KindTransport)
	if err != nil {
		return
	}
	if c.offer(c.bulk, i) != nil {
		go func() { _ = c.push(context.Background(), c.bulk, i) }()
	}
}

// sayGoodbye tells the other side why the connection closes. The write is
// best effort and must not wait on a stuck socket.
func (c *conn) sayGoodbye(reason error) {
	body, err := wire.Marshal(wire.GoAway{Reason: reason.Error()})
	if err != nil {
		return
	}
	i, err := c.encode(&wire.Frame{Type: wire.TypeGoAway, Body: body}, KindTransport)
	if err != nil {
		return
	}
	i.final = true
	if c.offer(c.bulk, i) != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := c.host.clock.AfterFunc(goodbyeLimit, cancel)
	defer stop()
	select {
	case <-c.done:
	case <-ctx.Done():
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
	if c.offer(c.bulk, i) != nil {
		go func() { _ = c.push(context.Background(), c.bulk, i) }()
	}
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
		s.cancel(errorf("connection to the caller's router ended: %w", err))
	}
	c.host.links.closed(c)
}

func (c *conn) cause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	return net.ErrClosed
}

// usable reports whether new streams may open on the connection.
func (c *conn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && !c.leaving && !c.left
}

// streams returns the numbers of open streams in both directions.
func (c *conn) streams() (opened, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.opened), len(c.served)
}

// tick probes a connection that is in use and silent. A probe that stays
// unanswered makes the connection suspect, so that another one is opened. It is
// closed when that other one works, which shows that the router is alive, or
// when the silence lasts too long.
func (c *conn) tick(now time.Time) {
	at := now.UnixNano()
	if p := c.pinged.Load(); p != 0 {
		c.judge(time.Duration(at - p))
		return
	}
	opened, served := c.streams()
	limit := c.host.settings.Ping.Std()
	received := c.received.Load()
	if opened > 0 || served > 0 {
		limit /= 2
	} else if c.sent.Load() <= received {
		return
	}
	if at-received > int64(limit) {
		c.ping(at)
	}
}

// judge decides on a connection whose probe has been unanswered for a time.
func (c *conn) judge(unanswered time.Duration) {
	limit := c.host.settings.Silence.Std()
	if c.host.links.replaced(c) {
		limit = min(limit, 2*c.host.settings.Suspect.Std())
	}
	switch {
	case unanswered > limit:
		c.host.metrics.silent.Inc(1)
		c.host.logger.WithField("peer", c.vm).Warn("Connection went silent.")
		c.close(errSilent)
	case unanswered > c.host.settings.Suspect.Std():
		c.host.links.suspect(c)
	}
}

// excuse forgets how long the other side has been silent, because this one was
// paused and has not read what came.
func (c *conn) excuse(now time.Time) {
	at := now.UnixNano()
	c.received.Store(at)
	if c.pinged.Load() != 0 {
		c.pinged.Store(at)
	}
}

// probe pings a connection that has been silent, before it is used.
func (c *conn) probe() {
	at := c.host.clock.Now().UnixNano()
	if c.pinged.Load() == 0 && at-c.received.Load() > int64(c.host.settings.Ping) {
		c.ping(at)
	}
}

func (c *conn) ping(at int64) {
	if c.pinged.CompareAndSwap(0, at) {
		c.offerFrame(&wire.Frame{Type: wire.TypePing}, KindTransport)
	}
}
