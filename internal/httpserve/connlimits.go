package httpserve

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

const (
	// freeHeadBytes is the length of a head that is not reserved: the server's read buffer holds
	// it. headStep is the unit of reservations above it.
	freeHeadBytes = 4 << 10
	headStep      = 8 << 10
	// headSlack is what may be read beyond the largest head: the server's read buffer, and
	// what its parts take beyond their counted length.
	headSlack = 8 << 10
	// clientBufferBytes bounds the receive and the send buffer of a client's connection. The
	// kernel takes up to twice that.
	clientBufferBytes = 64 << 10
	// minStuckBytes is the number of bytes from which a connection that makes no progress
	// counts as stuck, and socketCheckPeriod the interval of checks for such connections.
	minStuckBytes     = 16 << 10
	socketCheckPeriod = 500 * time.Millisecond
	// refuseTime and refuseBytes bound what is read of a head that was refused.
	refuseTime  = 500 * time.Millisecond
	refuseBytes = 256 << 10
)

// Reasons to close or refuse a connection.
var (
	ErrConnLimit   = errors.New("too many connections")
	ErrHeadMemory  = errors.New("no room for the head of a request")
	ErrHeadTooLong = errors.New("head of a request is too long")
	ErrSocketBytes = errors.New("sockets hold too many bytes")
)

// Hold is memory that is held for the head of a request.
type Hold interface {
	// TryGrow reserves n more bytes if there is room.
	TryGrow(n int) bool
	// SetComplete sets whether the head is complete, so that it does not give way.
	SetComplete(complete bool)
	// Close gives the memory back.
	Close()
}

// ConnLimits bound the connections of a server. Zero values bound nothing.
type ConnLimits struct {
	// Total is the largest number of connections. A further one replaces one without a request:
	// the oldest that has not sent a whole head, or else the one that has been idle longest,
	// of the address that has most of them.
	Total int
	// SocketBytes is the number of bytes that sockets may hold, unread or unsent. Above it the
	// connections without progress that hold most are closed.
	SocketBytes int
	// HeadBytes returns the length of the longest head.
	HeadBytes func() int
	// Hold begins a hold for the head of a client's request; evict closes the connection.
	Hold func(c net.Conn, evict func()) Hold
	// Closed is called for a connection that is closed or refused for a limit.
	Closed func(why error, address string)
}

// report reports that a connection is closed for a limit.
func (s *conns) report(why error, address string) {
	if s.limits.Closed != nil {
		s.limits.Closed(why, address)
	}
}

// maxRoomChecks bounds the search for an idle connection whose next request has not arrived.
const maxRoomChecks = 8

// makeRoom closes a connection without a request, and reports whether there was one. The caller
// holds the lock.
func (s *conns) makeRoom() bool {
	for range maxRoomChecks {
		c := s.leastNeeded()
		if c == nil {
			return false
		}
		if c.kept && hasUnread(c.Conn) {
			c.busy = true // its next request has arrived
			continue
		}
		c.closed = true
		delete(s.open, c) // at once, so that the next one closes another
		c.releaseHead()
		_ = c.Close()
		go s.report(ErrConnLimit, c.address) // without the lock
		return true
	}
	return false
}

// leastNeeded returns the connection without a request that is closed first, nil if there is none.
// The caller holds the lock.
func (s *conns) leastNeeded() *conn {
	perAddress := make(map[string]int)
	for c := range s.open {
		if !c.closed && !c.active {
			perAddress[c.address]++
		}
	}
	var out *conn
	for c := range s.open {
		if c.closed || c.active || c.kept && c.busy {
			continue
		}
		if out == nil || c.givesWayBefore(out, perAddress) {
			out = c
		}
	}
	return out
}

// givesWayBefore reports whether a connection without a request is closed before another one.
func (c *conn) givesWayBefore(other *conn, perAddress map[string]int) bool {
	if c.kept != other.kept {
		return !c.kept
	}
	if n := cmp.Compare(perAddress[c.address], perAddress[other.address]); n != 0 {
		return n > 0
	}
	return c.idleSince.Before(other.idleSince)
}

// holdHead reserves the memory of a head of so many bytes, and closes the connection if there is
// none or the head is too long.
func (c *conn) holdHead(bytes int) bool {
	limits := &c.set.limits
	if limits.HeadBytes != nil && bytes > limits.HeadBytes()+headSlack {
		c.refuseHead()
		return false
	}
	if limits.Hold == nil {
		return true
	}
	c.set.mu.Lock()
	if c.closed {
		c.set.mu.Unlock()
		return false
	}
	if c.hold == nil {
		c.hold, c.heldBytes = limits.Hold(c.Conn, c.evict), freeHeadBytes
	}
	hold, more := c.hold, 0
	for c.heldBytes+more < bytes {
		more += headStep
	}
	c.heldBytes += more
	c.set.mu.Unlock()
	if more > 0 && !hold.TryGrow(more) {
		c.close(ErrHeadMemory)
		return false
	}
	return true
}

// refuseHead refuses a head that is too long. On a connection with TLS it only closes.
func (c *conn) refuseHead() {
	if !c.set.secure {
		_ = c.SetWriteDeadline(time.Now().Add(refuseTime))
		_, _ = c.Write([]byte("HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
			"Connection: close\r\nContent-Length: 20\r\n\r\nheader is too large\n"))
		_ = c.CloseWrite()
		// A connection that is closed with unread bytes is reset, and the client may lose the
		// refusal.
		_ = c.SetReadDeadline(time.Now().Add(refuseTime))
		_, _ = io.CopyN(io.Discard, c.Conn, refuseBytes)
	}
	c.set.mu.Lock()
	c.closed = true
	c.set.mu.Unlock()
	c.set.report(ErrHeadTooLong, c.address)
}

// evict closes a connection whose head gives way for others.
func (c *conn) evict() {
	c.set.mu.Lock()
	active := c.active
	c.set.mu.Unlock()
	if !active {
		c.close(ErrHeadMemory)
	}
}

// close closes the connection for a limit.
func (c *conn) close(why error) {
	c.set.mu.Lock()
	closed := c.closed
	c.closed = true
	c.set.mu.Unlock()
	if closed {
		return
	}
	_ = c.Close()
	c.set.report(why, c.address)
}

// releaseHead gives the memory of a head back. The caller holds the lock.
func (c *conn) releaseHead() {
	if c.hold != nil {
		c.hold.Close()
		c.hold, c.heldBytes = nil, 0
	}
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// queued is what the socket of a connection holds.
type queued struct {
	conn   *conn
	active bool
	bytes  int
	stuck  bool
}

// check notes what the socket holds, and whether that has not changed since the last check.
func (q *queued) check() {
	in, out := socketBytes(q.conn.Conn)
	if !q.active {
		in = 0 // the server reads it now
	}
	sent := q.conn.written.Load() - int64(out)
	q.bytes = in + out
	waited := out > 0 && q.conn.unsent > 0 || out == 0 && in == q.conn.unread
	q.stuck = q.bytes >= minStuckBytes && sent == q.conn.sent && waited
	q.conn.sent, q.conn.unsent, q.conn.unread = sent, out, in
}

// checkSockets closes connections without progress while the sockets of all connections hold too
// much. Those that hold most are closed first.
func (s *conns) checkSockets() {
	s.mu.Lock()
	all := make([]queued, 0, len(s.open))
	for c := range s.open {
		all = append(all, queued{conn: c, active: c.active})
	}
	s.mu.Unlock()
	total := 0
	for i := range all {
		all[i].check()
		total += all[i].bytes
	}
	if total <= s.limits.SocketBytes {
		return
	}
	slices.SortFunc(all, func(a, b queued) int { return cmp.Compare(b.bytes, a.bytes) })
	for _, q := range all {
		if total <= s.limits.SocketBytes {
			return
		}
		if !q.stuck {
			continue
		}
		total -= q.bytes
		if c, ok := q.conn.Conn.(interface{ SetLinger(sec int) error }); ok {
			_ = c.SetLinger(0) // drops what the socket holds
		}
		q.conn.close(ErrSocketBytes)
	}
}

// socketBytes returns the bytes that a socket has received and nobody has read, and those that it
// has not sent.
func socketBytes(c net.Conn) (unread, unsent int) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return 0, 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, 0
	}
	_ = raw.Control(func(fd uintptr) { // fails once it is closed
		unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		unsent, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return unread, unsent
}

// limitSegments bounds the segments of the connections that a listener accepts.
func limitSegments(ln net.Listener) {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		kernel.LimitSegments(raw)
	}
}

// limitBuffers bounds the buffers of a client's connection.
func limitBuffers(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(clientBufferBytes)
		_ = tcp.SetWriteBuffer(clientBufferBytes)
	}
}

// hostOf returns the address of a client without its port.
func hostOf(c net.Conn) string {
	remote := c.RemoteAddr()
	if remote == nil {
		return ""
	}
	host, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		return remote.String()
	}
	return host
}

// trackedNetwork is a network whose listeners accept tracked connections.
type trackedNetwork struct {
	kernel.Network
	conns *conns
}

// Listen returns a listener of tracked connections.
func (n *trackedNetwork) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	ln, err := n.Network.Listen(ctx, network, address)
	if err != nil {
		return nil, err
	}
	limitSegments(ln)
	return &trackedListener{Listener: ln, conns: n.conns}, nil
}

// trackedListener accepts tracked connections.
type trackedListener struct {
	net.Listener
	conns *conns
}

// Accept waits for the next connection. One beyond the limit is closed.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limitBuffers(raw)
		if c := l.conns.add(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
		l.conns.report(ErrConnLimit, hostOf(raw))
	}
}
