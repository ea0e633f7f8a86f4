package kernel_test

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

// option returns an option of a connection's socket.
func option(t *testing.T, c net.Conn, level, name int) int {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	var value int
	var failed error
	must.NoError(t, raw.Control(func(fd uintptr) { value, failed = unix.GetsockoptInt(int(fd), level, name) }))
	must.NoError(t, failed)
	return value
}

// dialed returns a connection to a listener on this machine.
func dialed(t *testing.T) net.Conn {
	t.Helper()
	network := kernel.SystemNetwork{}
	ln, err := network.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	c, err := network.DialContext(t.Context(), "tcp", ln.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestLostProbeEndsNoConnection covers a sound connection that is idle while its request
// runs. With a user timeout the kernel gives it up at the first probe after that time if
// one is unanswered, whatever their count.
func TestLostProbeEndsNoConnection(t *testing.T) {
	c := dialed(t)
	must.Positive(t, option(t, c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), must.Sprint("sent bytes have a timeout"))
	must.Eq(t, 0, option(t, c, unix.SOL_SOCKET, unix.SO_KEEPALIVE), must.Sprint("no probes"))
}

// TestUserTimeoutLeavesTimeForAllProbes checks that the count of probes holds.
func TestUserTimeoutLeavesTimeForAllProbes(t *testing.T) {
	c := dialed(t)
	must.NoError(t, kernel.SetKeepAlive(c, 5*time.Second, 3*time.Second, 2))
	must.Eq(t, 1, option(t, c, unix.SOL_SOCKET, unix.SO_KEEPALIVE))
	idle := option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
	interval := option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
	probes := option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
	must.Eq(t, 5, idle)
	must.Eq(t, 2, probes)
	must.GreaterEq(t, 1000*(idle+probes*interval), option(t, c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))

	pipe, other := net.Pipe()
	must.NoError(t, kernel.SetKeepAlive(pipe, time.Second, time.Second, 1))
	_, _ = pipe.Close(), other.Close()
}
