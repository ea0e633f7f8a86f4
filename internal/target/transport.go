package target

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

// Limits of connections to targets.
const (
	dialTimeout   = 2 * time.Second
	idleTimeout   = 30 * time.Second
	idlePerTarget = 256
)

// Keep-alive probes of a connection.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 3 * time.Second
	keepAliveProbes   = 2
)

// NewHTTPClient returns a client for targets and platform services. It dials
// on network, follows no redirect and changes no body.
func NewHTTPClient(network kernel.Network) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, kind, address string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, dialTimeout)
				defer cancel()
				raw, err := network.DialContext(ctx, kind, address)
				if err != nil {
					return nil, err
				}
				// Lets the kernel notice a path that has lost track of an idle connection.
				if err := kernel.SetKeepAlive(raw, keepAliveIdle, keepAliveInterval, keepAliveProbes); err != nil {
					_ = raw.Close()
					return nil, err
				}
				return &countedConn{Conn: raw}, nil
			},
			MaxIdleConnsPerHost: idlePerTarget,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// WithoutReuse returns a client like c that opens a connection for each
// request. Open connections can go silent while new ones work, so a request
// that can't be repeated does not rely on one.
func WithoutReuse(c *http.Client) *http.Client {
	fresh := *c
	if t, ok := c.Transport.(*http.Transport); ok {
		t = t.Clone()
		t.DisableKeepAlives = true
		fresh.Transport = t
	}
	return &fresh
}

// countedConn counts the bytes that were handed to the network, so that a
// request of which none left can be told from one that may have run.
type countedConn struct {
	net.Conn
	written atomic.Uint64
}

func (c *countedConn) Write(p []byte) (int, error) {
	// Counted before the write: a failed write may have sent some bytes.
	c.written.Add(uint64(len(p)))
	return c.Conn.Write(p)
}

// sentCounter tells whether bytes of one request have left on its connection.
type sentCounter struct {
	conn  atomic.Pointer[countedConn]
	start atomic.Uint64
	other atomic.Bool // on a connection that is not counted
}

func (s *sentCounter) got(c net.Conn) {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	counted, ok := c.(*countedConn)
	if !ok {
		s.other.Store(true)
		return
	}
	s.start.Store(counted.written.Load())
	s.conn.Store(counted)
}

func (s *sentCounter) any() bool {
	if s.other.Load() {
		return true
	}
	c := s.conn.Load()
	return c != nil && c.written.Load() > s.start.Load()
}
