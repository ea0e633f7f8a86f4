package peer

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
)

// slowNetwork delays what is written to its connections as a narrow link does. Writes
// return at once, since the sender's buffers take them.
type slowNetwork struct {
	*kerneltest.Network
	bytesPerSecond int
	// stalledUntil is the time in nanoseconds before which nothing arrives.
	stalledUntil atomic.Int64
}

func (n *slowNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := n.Network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return n.slow(c), nil
}

func (n *slowNetwork) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	ln, err := n.Network.Listen(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &slowListener{Listener: ln, network: n}, nil
}

type slowListener struct {
	net.Listener
	network *slowNetwork
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.slow(c), nil
}

// slowPiece is the number of bytes that arrive at a time.
const slowPiece = 16 << 10

type slowConn struct {
	net.Conn
	queue chan []byte
	once  sync.Once
	done  chan struct{}
}

func (n *slowNetwork) slow(inner net.Conn) net.Conn {
	c := &slowConn{Conn: inner, queue: make(chan []byte, 1<<12), done: make(chan struct{})}
	go func() {
		for {
			select {
			case <-c.done:
				return
			case p := <-c.queue:
				time.Sleep(time.Duration(len(p)) * time.Second / time.Duration(n.bytesPerSecond))
				time.Sleep(time.Until(time.Unix(0, n.stalledUntil.Load())))
				if _, err := inner.Write(p); err != nil {
					return
				}
			}
		}
	}()
	return c
}

func (c *slowConn) Write(p []byte) (int, error) {
	for at := 0; at < len(p); at += slowPiece {
		select {
		case <-c.done:
			return at, net.ErrClosed
		case c.queue <- bytes.Clone(p[at:min(at+slowPiece, len(p))]):
		}
	}
	return len(p), nil
}

func (c *slowConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// TestLargeRequestOnSlowLinkIsNotCut sends a request that takes longer to arrive than a
// probe may stay unanswered.
func TestLargeRequestOnSlowLinkIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(time.Second) }) // pieces on the slow link notice the close
		network := &slowNetwork{Network: kerneltest.NewNetwork(), bytesPerSecond: 1 << 20}
		a := startRouter(t, "a", network, "", nil)
		b := startRouter(t, "b", network, "", func(s *Service) { s.HandleCall(KindRun, echo) })
		introduceAll(t, a, b)
		body := bytes.Repeat([]byte("x"), 4<<20)
		out := new(recorded)
		must.NoError(t, a.Call(t.Context(), "b", KindRun, &call.Request{ID: "r", Attempt: 1, Body: body}, out))
		must.Eq(t, len(body), len(out.body))
		must.Eq(t, 0, a.count("connections_silent")+b.count("connections_silent"))
	})
}

// TestStalledLinkDoesNotCutAnswer holds up all bytes between two routers, also those of
// new connections, for less than the time after which a connection counts as silent.
func TestStalledLinkDoesNotCutAnswer(t *testing.T) {
	for stall := 300 * time.Millisecond; stall < 1400*time.Millisecond; stall += 10 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			t.Cleanup(func() { time.Sleep(time.Second) })     // pieces on the slow link notice the close
			t.Cleanup(func() { time.Sleep(2 * time.Second) }) // bytes under way arrive
			network := &slowNetwork{Network: kerneltest.NewNetwork(), bytesPerSecond: 10 << 20}
			a := startRouter(t, "a", network, "", nil)
			b := startRouter(t, "b", network, "", func(s *Service) { s.HandleCall(KindRun, slowly(4*time.Second, 1)) })
			introduceAll(t, a, b)
			answer := startCall(t, a)
			time.Sleep(time.Second)
			network.stalledUntil.Store(time.Now().Add(stall).UnixNano())
			must.NoError(t, <-answer, must.Sprint(stall))
		})
	}
}
