package httpserve

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

// TestSegmentsAreShorterThanBuffers guards against connections that stall for 0.2 s at a time on
// the loopback interface, whose segments would be as long as the bounded buffers.
func TestSegmentsAreShorterThanBuffers(t *testing.T) {
	n := &trackedNetwork{Network: kernel.SystemNetwork{}, conns: newConns(kernel.SystemClock{}, ConnLimits{})}
	ln, err := n.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	defer client.Close()
	accepted, err := ln.Accept()
	must.NoError(t, err)
	defer accepted.Close()
	raw, err := accepted.(*conn).Conn.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	must.NoError(t, raw.Control(func(fd uintptr) {
		segment, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG)
		must.NoError(t, err)
		must.LessEq(t, clientBufferBytes/4, segment)
	}))
}

// TestConnectionsAtTheLimit guards against a limit that closes connections with requests, or idle
// ones while others have never sent a request.
func TestConnectionsAtTheLimit(t *testing.T) {
	s := newConns(kernel.SystemClock{}, ConnLimits{Total: 3})
	add := func() (*conn, net.Conn) {
		raw, client := net.Pipe()
		t.Cleanup(func() { _, _ = raw.Close(), client.Close() })
		return s.add(raw), raw
	}
	running, _ := add()
	s.setState(running, http.StateActive)
	idle, _ := add()
	s.setState(idle, http.StateActive)
	s.setState(idle, http.StateIdle)
	silent, _ := add()
	next, _ := add()
	must.NotNil(t, next)
	must.True(t, silent.wasClosed())
	s.setState(next, http.StateActive)
	last, _ := add()
	must.True(t, idle.wasClosed())
	s.setState(last, http.StateActive)
	refused, _ := add()
	must.Nil(t, refused)
	must.False(t, running.wasClosed())
}

// acceptOne returns both ends of a connection, the accepted one in a set.
func acceptOne(t *testing.T, limits ConnLimits) (*conn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	raw, err := ln.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	limitBuffers(raw)
	return newConns(kernel.SystemClock{}, limits).add(raw), client
}

// TestStuckSinceTheLastCheck guards against the reset of a connection whose response was written
// just before a check, as long as it takes to reach its client.
func TestStuckSinceTheLastCheck(t *testing.T) {
	c, client := acceptOne(t, ConnLimits{})
	must.NoError(t, client.(*net.TCPConn).SetReadBuffer(4<<10))
	must.NoError(t, c.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	for range 1 << 10 {
		if _, err := c.Write(make([]byte, 4<<10)); err != nil {
			break // both buffers are full
		}
	}
	in, out := socketBytes(c.Conn)
	must.Eq(t, 0, in)
	must.GreaterEq(t, minStuckBytes, out)
	c.sent = c.written.Load() - int64(out) // all that was sent before is acknowledged
	first := queued{conn: c, active: true}
	first.check()
	must.False(t, first.stuck, must.Sprint("nothing was unsent at the check before"))
	second := queued{conn: c, active: true}
	second.check()
	must.True(t, second.stuck)
}

// TestBegunHeadEnds guards against connections that send the first bytes of a further request and
// stay: net/http times a head from its fourth byte on, and they do not count as idle.
func TestBegunHeadEnds(t *testing.T) {
	c, client := acceptOne(t, ConnLimits{})
	s := c.set
	s.headTimeout = 500 * time.Millisecond
	s.setState(c, http.StateIdle)
	_, err := client.Write([]byte("GE"))
	must.NoError(t, err)
	_, err = c.Read(make([]byte, 2))
	must.NoError(t, err)
	s.closeIdle(time.Hour)
	must.False(t, c.wasClosed())
	time.Sleep(s.headTimeout + time.Millisecond)
	_, err = client.Write([]byte("T"))
	must.NoError(t, err)
	for !hasUnread(c.Conn) {
		time.Sleep(time.Millisecond)
	}
	s.closeIdle(time.Hour)
	must.False(t, c.wasClosed(), must.Sprint("the server had no time to read what has arrived"))
	_, err = c.Read(make([]byte, 1))
	must.NoError(t, err)
	s.closeIdle(time.Hour)
	must.True(t, c.wasClosed())
}

// closedListeners is a network whose listeners take no options, as under a filter of system calls
// or with a protocol that has no segments.
type closedListeners struct{ kernel.SystemNetwork }

// Listen returns a closed listener.
func (n closedListeners) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	ln, err := n.SystemNetwork.Listen(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return ln, ln.Close()
}

// TestListensWithoutSegmentLimit guards against a server that does not start where the segments of
// connections can't be bounded.
func TestListensWithoutSegmentLimit(t *testing.T) {
	n := &trackedNetwork{Network: closedListeners{}, conns: newConns(kernel.SystemClock{}, ConnLimits{})}
	_, err := n.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
}
