package peer

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// Sizes of the send queues in frames, and of one write in bytes.
const (
	urgentQueue = 1024
	bulkQueue   = 256
	writeBytes  = 64 << 10
)

// timedConn is a connection that records when bytes arrive.
type timedConn struct {
	net.Conn
	clock kernel.Clock
	// arrived is the time of the last bytes in nanoseconds, zero for never.
	arrived atomic.Int64
}

// Read reads from the connection.
func (c *timedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.arrived.Store(c.clock.Now().UnixNano())
	}
	return n, err
}

// conn is one connection to another router, after the hello.
//
// Control messages, queries and pings are sent ahead of the frames of calls.
type conn struct {
	host   *Service
	raw    *timedConn
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

	// Times in nanoseconds of the process clock, zero for never. received is that of
	// the last whole frame.
	received atomic.Int64
	sent     atomic.Int64
	pinged   atomic.Int64
	// queued is the number of bytes in both queues.
	queued atomic.Int64

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
	replayed  wire.ReplayWindow
}

func newConn(host *Service, raw *timedConn, remote wire.Hello, dialedHere bool) *conn {
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
