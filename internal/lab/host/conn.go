package host

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// pumpBytes is the size of the buffers between a lane and a socket.
const pumpBytes = 32 << 10

// dialed is the dialing end of a connection between two hosts. Its lanes apply
// the delay and the faults of the way in both directions.
type dialed struct {
	*net.TCPConn
	from, to *Host
	out, in  *lane
	silent   atomic.Bool
	bytes    *counter
	closed   chan struct{}
	once     sync.Once
}

func newDialed(from, to *Host, conn *net.TCPConn) *dialed {
	c := &dialed{
		TCPConn: conn,
		from:    from,
		to:      to,
		out:     newLane(),
		in:      newLane(),
		bytes:   from.counter(to.name),
		closed:  make(chan struct{}),
	}
	from.fabric.add(c)
	from.track(c)
	go c.send()
	go c.receive()
	return c
}

func (c *dialed) delay(from, to *Host) time.Duration {
	return c.from.fabric.opt.Delay(from.zone, to.zone)
}

// send moves bytes from the lane to the socket.
func (c *dialed) send() {
	buf := make([]byte, pumpBytes)
	for {
		n, err := c.out.pop(buf)
		if err != nil {
			c.finish()
			return
		}
		if !c.from.fabric.waitOpen(c.from, c.to, c.closed) {
			c.finish()
			return
		}
		if c.silent.Load() {
			continue
		}
		if _, err := c.TCPConn.Write(buf[:n]); err != nil {
			c.out.abort(err)
		}
	}
}

// receive moves bytes from the socket to the lane.
func (c *dialed) receive() {
	buf := make([]byte, pumpBytes)
	for {
		n, err := c.TCPConn.Read(buf)
		if !c.from.fabric.waitOpen(c.to, c.from, c.closed) {
			return
		}
		if c.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		due := time.Now().Add(c.delay(c.to, c.from))
		if n > 0 {
			data := append([]byte(nil), buf[:n]...)
			if c.in.push(data, due) != nil {
				return
			}
		}
		if err != nil {
			c.in.fail(err, due)
			return
		}
	}
}

// Read waits while the host is frozen.
func (c *dialed) Read(p []byte) (int, error) {
	c.from.clock.gate()
	n, err := c.in.pop(p)
	c.from.clock.gate()
	c.bytes.received.Add(uint64(n))
	return n, err
}

// Write waits while the host is frozen.
func (c *dialed) Write(p []byte) (int, error) {
	c.from.clock.gate()
	due := time.Now().Add(c.delay(c.from, c.to))
	if err := c.out.push(append([]byte(nil), p...), due); err != nil {
		return 0, err
	}
	c.bytes.sent.Add(uint64(len(p)))
	c.bytes.writes.Add(1)
	return len(p), nil
}

// ReadFrom and WriteTo keep io.Copy from going around the lanes.
func (c *dialed) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// WriteTo copies what arrives to w.
func (c *dialed) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// Close ends the connection once the bytes under way have been sent.
func (c *dialed) Close() error {
	c.from.clock.gate()
	c.out.fail(net.ErrClosed, time.Now().Add(c.delay(c.from, c.to)))
	c.in.abort(net.ErrClosed)
	return nil
}

// CloseWrite ends the sending direction.
func (c *dialed) CloseWrite() error { return c.Close() }

// finish closes the socket unless the other end must not notice.
func (c *dialed) finish() {
	c.once.Do(func() {
		close(c.closed)
		c.from.fabric.remove(c)
		c.from.untrack(c)
		c.in.abort(net.ErrClosed)
		if !c.silent.Load() {
			_ = c.TCPConn.Close()
			return
		}
		// The other end of a silent connection hears nothing of the close.
		c.from.fabric.keepOpen(c.TCPConn)
	})
}

// abort resets the connection.
func (c *dialed) abort() {
	if !c.silent.Load() {
		_ = c.SetLinger(0)
	}
	c.out.abort(ErrKilled)
	c.finish()
}

// SetDeadline sets both deadlines.
func (c *dialed) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets the time at which reads give up.
func (c *dialed) SetReadDeadline(t time.Time) error {
	c.in.setPopLimit(c.from.clock.toReal(t))
	return nil
}

// SetWriteDeadline sets the time at which writes give up.
func (c *dialed) SetWriteDeadline(t time.Time) error {
	c.out.setPushLimit(c.from.clock.toReal(t))
	return nil
}

// listener is a listening socket of a host.
type listener struct {
	net.Listener
	host *Host
}

// Accept waits while the host is frozen.
func (l *listener) Accept() (net.Conn, error) {
	l.host.clock.gate()
	conn, err := l.Listener.Accept()
	l.host.clock.gate()
	if err != nil {
		return nil, err
	}
	return newAccepted(l.host, conn.(*net.TCPConn)), nil
}

// Close stops listening.
func (l *listener) Close() error {
	l.host.untrack(l)
	return l.Listener.Close()
}

func (l *listener) abort() { _ = l.Listener.Close() }

// accepted is the accepting end of a connection.
type accepted struct {
	*net.TCPConn
	host  *Host
	bytes *counter
}

func newAccepted(h *Host, conn *net.TCPConn) *accepted {
	name := ""
	if ip, _, err := net.SplitHostPort(conn.RemoteAddr().String()); err == nil {
		if from := h.fabric.at(ip); from != nil {
			name = from.name
		}
	}
	c := &accepted{TCPConn: conn, host: h, bytes: h.counter(name)}
	h.track(c)
	return c
}

// Read waits while the host is frozen.
func (c *accepted) Read(p []byte) (int, error) {
	c.host.clock.gate()
	n, err := c.TCPConn.Read(p)
	c.host.clock.gate()
	c.bytes.received.Add(uint64(n))
	return n, err
}

// Write waits while the host is frozen.
func (c *accepted) Write(p []byte) (int, error) {
	c.host.clock.gate()
	n, err := c.TCPConn.Write(p)
	c.bytes.sent.Add(uint64(n))
	c.bytes.writes.Add(1)
	return n, err
}

// ReadFrom keeps io.Copy from going around the host.
func (c *accepted) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// WriteTo copies what arrives to w.
func (c *accepted) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// Close ends the connection.
func (c *accepted) Close() error {
	c.host.clock.gate()
	c.host.untrack(c)
	return c.TCPConn.Close()
}

func (c *accepted) abort() {
	if c.host.vanished.Load() {
		_ = c.TCPConn.SetReadDeadline(time.Now())
		return
	}
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
}

// SetDeadline sets both deadlines.
func (c *accepted) SetDeadline(t time.Time) error {
	return c.TCPConn.SetDeadline(c.host.clock.toReal(t))
}

// SetReadDeadline sets the time at which reads give up.
func (c *accepted) SetReadDeadline(t time.Time) error {
	return c.TCPConn.SetReadDeadline(c.host.clock.toReal(t))
}

// SetWriteDeadline sets the time at which writes give up.
func (c *accepted) SetWriteDeadline(t time.Time) error {
	return c.TCPConn.SetWriteDeadline(c.host.clock.toReal(t))
}
