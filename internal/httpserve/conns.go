package httpserve

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

// newConnGrace is how long a draining server waits for the first request of a new
// connection.
const newConnGrace = time.Second

// conns tracks the connections of a server and closes idle ones. It is safe for
// concurrent use.
//
// A connection is idle until the first byte of its next request arrives. net/http calls
// it active only once it has read the whole head, which may come slowly, and closes it
// before that when it shuts down. Bytes that nobody has read yet also keep a connection
// open.
//
// A request may still arrive while its connection is being closed. It must not be
// handled: the client gets no response and may send the request again. Closing a
// connection therefore marks it under the same lock under which its requests begin.
type conns struct {
	clock  kernel.Clock
	limits ConnLimits

	mu   sync.Mutex
	open map[*conn]struct{}
	// secure is true for a server with TLS.
	secure bool
	// limit is the limit of the last call of closeIdle.
	limit time.Duration
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	set *conns

	// The fields below are guarded by set.mu.

	// busy is true from the first byte of a request to the end of its response.
	busy bool
	// kept is true once the connection has carried a request.
	kept bool
	// idleSince is the time at which the connection was opened or became idle.
	idleSince time.Time
	// idleLimit is the limit that was in force when it became idle. A client may not
	// know of a shorter one yet.
	idleLimit time.Duration
	// closed is true if the connection was closed for being idle or beyond a limit.
	closed bool
	// address is that of the client without its port.
	address string
	// active is true from the end of a request's head to that of its response. headBytes is the
	// number of bytes read since the end of the last response, while active is false, and
	// headSince the time of the first of them.
	active    bool
	headBytes int
	headSince time.Time
	// hold is the memory held for the head beyond freeHeadBytes, heldBytes its size.
	hold      Hold
	heldBytes int
	// sent is the number of sent bytes that the client has acknowledged, and unread the bytes
	// that it has sent after its request, as of the last check.
	sent   int64
	unread int
	// written is the number of bytes written.
	written atomic.Int64
}

// newConns returns an empty set of connections.
func newConns(clock kernel.Clock, limits ConnLimits) *conns {
	return &conns{clock: clock, limits: limits, open: make(map[*conn]struct{})}
}

// add returns a connection that reports to the set what it reads. At the limit of connections
// another one is closed, or nil is returned.
func (s *conns) add(raw net.Conn) *conn {
	c := &conn{Conn: raw, set: s, address: hostOf(raw)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits.Total > 0 && len(s.open) >= s.limits.Total && !s.makeRoom() {
		return nil
	}
	c.idleSince = s.clock.Now()
	s.open[c] = struct{}{}
	return c
}

// setState records a state change that net/http reports.
func (s *conns) setState(raw net.Conn, state http.ConnState) {
	c, ok := tracked(raw)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.busy, c.kept, c.idleSince, c.idleLimit = false, true, s.clock.Now(), s.limit
		c.active, c.headBytes = false, 0
		c.releaseHead()
	case http.StateActive:
		c.busy, c.active = true, true
		if c.hold != nil {
			c.hold.SetComplete(true)
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
		c.releaseHead()
	}
}

// closeIdle closes connections that have been idle for longer than limit since their
// last request, and for longer than the limit at that time.
func (s *conns) closeIdle(limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	now := s.clock.Now()
	for c := range s.open {
		if c.kept && now.Sub(c.idleSince) > max(limit, c.idleLimit) {
			c.closeQuiet()
		}
	}
}

// closeRest closes connections without a request for good, and reports whether none is
// left. New ones get newConnGrace for their first request.
func (s *conns) closeRest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for c := range s.open {
		if c.kept || now.Sub(c.idleSince) >= newConnGrace {
			c.closeQuiet()
		}
	}
	return len(s.open) == 0
}

// closeQuiet closes the connection unless a request has begun. The caller holds the
// lock.
func (c *conn) closeQuiet() {
	if c.busy || c.closed || hasUnread(c.Conn) {
		return
	}
	c.closed = true
	_ = c.Close() // the server reports StateClosed, which removes it
}

// begin records that n bytes of a request were read. It reports false if the connection was
// closed before, or is closed for its head.
func (c *conn) begin(n int) bool {
	c.set.mu.Lock()
	c.busy = true
	if c.active {
		closed := c.closed
		c.set.mu.Unlock()
		return !closed
	}
	if c.headBytes == 0 {
		c.headSince = c.set.clock.Now()
	}
	c.headBytes += n
	bytes, closed := c.headBytes, c.closed
	c.set.mu.Unlock()
	return !closed && (bytes <= freeHeadBytes || c.holdHead(bytes))
}

// wasClosed reports whether the connection was closed for being idle.
func (c *conn) wasClosed() bool {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	return c.closed
}

// Read reads from the connection. It fails if the connection was closed for being idle.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.begin(n) {
		return 0, net.ErrClosed
	}
	return n, err
}

// CloseWrite closes the sending side, so that the server can wait until the client has
// read the last response.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// NetConn returns the connection of the network below, for a handler that has taken the
// connection over.
func (c *conn) NetConn() net.Conn { return c.Conn }

// hasUnread reports whether bytes have arrived on a connection that nobody has read. It
// does not block, also while another goroutine reads.
func hasUnread(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = rawConn.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// tracked returns the tracked connection below a connection of the server.
func tracked(raw net.Conn) (*conn, bool) {
	if secure, ok := raw.(*tls.Conn); ok {
		raw = secure.NetConn()
	}
	c, ok := raw.(*conn)
	return c, ok
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn returns a context that carries the connection.
func withConn(ctx context.Context, raw net.Conn) context.Context {
	if c, ok := tracked(raw); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// restTimeout bounds the time for which the server reads what a handler has left of a body. It
// reads up to 256 KB, so that the client sees the response.
const restTimeout = time.Second

// openOnly returns a handler that handles no request whose connection was closed for
// being idle or for a limit, and waits no longer than restTimeout for the rest of a body.
func openOnly(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && c.wasClosed() {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout))
		}
	})
}
