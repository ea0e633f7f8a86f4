package httpserve

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

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
