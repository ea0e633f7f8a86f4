package httpserve

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

// TestRequestOnClosedIdleConnIsNotForwarded checks both orders of closing an idle
// connection and of reading its next request. A request whose connection was
// closed first must not be handled: its client would send it again.
func TestRequestOnClosedIdleConnIsNotForwarded(t *testing.T) {
	const limit = 5 * time.Second
	for _, c := range []struct {
		name   string
		idle   time.Duration
		steps  func(*conns, *conn)
		closed bool
	}{
		{"closed, then active", 6 * time.Second, func(s *conns, c *conn) {
			s.closeIdle(limit)
			s.setState(c, http.StateActive)
		}, true},
		{"closed, then read", 6 * time.Second, func(s *conns, c *conn) {
			s.closeIdle(limit)
			must.False(t, c.begin(1))
		}, true},
		{"active, then checked", 6 * time.Second, func(s *conns, c *conn) {
			s.setState(c, http.StateActive)
			s.closeIdle(limit)
		}, false},
		{"read, then checked", 6 * time.Second, func(s *conns, c *conn) {
			must.True(t, c.begin(1))
			s.closeIdle(limit)
		}, false},
		{"not idle for long", 5 * time.Second, func(s *conns, c *conn) {
			s.closeIdle(limit)
			s.setState(c, http.StateActive)
		}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			raw, other := net.Pipe()
			s := newConns(kernel.SystemClock{}, ConnLimits{})
			conn := s.add(raw)
			s.setState(conn, http.StateIdle)
			time.Sleep(c.idle)
			c.steps(s, conn)
			handled := false
			h := openOnly(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled = true }))
			func() {
				defer func() { _ = recover() }()
				h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(withConn(t.Context(), conn), "GET", "/", nil))
			}()
			must.Eq(t, c.closed, !handled, must.Sprint(c.name))
			err := raw.SetDeadline(time.Time{}) // fails on a closed pipe
			must.Eq(t, c.closed, err != nil, must.Sprint(c.name))
			s.setState(conn, http.StateClosed)
			must.MapEmpty(t, s.open)
			_, _ = raw.Close(), other.Close()
		})
	}
}

// TestConnWithUnreadRequestIsNotClosed checks a connection whose next request has
// arrived while the server had no time to read it.
func TestConnWithUnreadRequestIsNotClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	defer client.Close()
	raw, err := ln.Accept()
	must.NoError(t, err)
	defer raw.Close()
	_, err = client.Write([]byte("\nGET / HTTP/1.1\r\n\r\n"))
	must.NoError(t, err)
	buf := make([]byte, 1)
	_, err = raw.Read(buf) // what follows has arrived with it
	must.NoError(t, err)
	s := newConns(kernel.SystemClock{}, ConnLimits{})
	c := s.add(raw)
	s.setState(c, http.StateIdle)
	s.closeIdle(-1)
	_, err = c.Read(buf)
	must.NoError(t, err)
	must.Eq(t, "G", string(buf))
}
