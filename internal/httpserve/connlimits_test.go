package httpserve

import (
	"net"
	"net/http"
	"testing"

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
