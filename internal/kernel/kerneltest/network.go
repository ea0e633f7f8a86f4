// Package kerneltest holds a network in memory for tests of services. It works
// inside a testing/synctest bubble, where time is injected.
package kerneltest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

// firstPort is the port of the first listener on port 0.
const firstPort = 20000

// Network connects listeners and dialers of one test.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	nextPort  int
	conns     []*conn
}

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*listener), nextPort: firstPort}
}

// SilenceOpen makes all connections that are open now lose every byte, in both
// directions and without an error. New connections work.
func (n *Network) SilenceOpen() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.silent.Store(true)
	}
}

// DialContext opens a connection.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	ln, ok := n.listeners[address]
	n.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("dial %s: connection refused", address)
	}
	here, there := net.Pipe()
	a, b := newConn(here), newConn(there)
	a.peer, b.peer = b, a
	select {
	case ln.backlog <- b:
	case <-ln.closed:
		return nil, fmt.Errorf("dial %s: connection refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.conns = append(n.conns, a, b)
	n.mu.Unlock()
	return a, nil
}

// Listen accepts connections on address; port 0 means any.
func (n *Network) Listen(_ context.Context, _, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if port == "0" {
		n.nextPort++
		address = fmt.Sprintf("%s:%d", host, n.nextPort)
	}
	if _, ok := n.listeners[address]; ok {
		return nil, fmt.Errorf("listen on %s: address is in use", address)
	}
	ln := &listener{
		network: n,
		address: address,
		backlog: make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	n.listeners[address] = ln
	return ln, nil
}

type listener struct {
	network *Network
	address string
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	err := net.ErrClosed
	l.once.Do(func() {
		err = nil
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return err
}

func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

// conn is one end of a connection.
type conn struct {
	net.Conn
	peer   *conn
	silent atomic.Bool
	// reset is true once the other end has asked for its close to be a reset.
	reset  atomic.Bool
	once   sync.Once
	closed chan struct{}
}

func newConn(inner net.Conn) *conn { return &conn{Conn: inner, closed: make(chan struct{})} }

// SetLinger makes the close of this end a reset, as with a TCP connection, if sec is
// zero.
func (c *conn) SetLinger(sec int) error {
	c.peer.reset.Store(sec == 0)
	return nil
}

// Read does not learn of the other end's close while the connection is
// silent.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.reset.Load() {
		err = syscall.ECONNRESET
	}
	if errors.Is(err, io.EOF) && c.silent.Load() {
		<-c.closed
	}
	return n, err
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Interface guard.
var _ kernel.Network = (*Network)(nil)
