package fault

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

// Network returns a network whose accepted connections can go silent.
func (i *Injector) Network(inner kernel.Network) kernel.Network {
	return &network{Network: inner, injector: i}
}

// SilenceOpen makes all connections that are open now lose every byte without
// an error. New connections work.
func (i *Injector) SilenceOpen() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		c.silent.Store(true)
	}
}

type network struct {
	kernel.Network
	injector *Injector
}

func (n *network) Listen(ctx context.Context, kind, address string) (net.Listener, error) {
	ln, err := n.Network.Listen(ctx, kind, address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: ln, injector: n.injector}, nil
}

type listener struct {
	net.Listener
	injector *Injector
}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, injector: l.injector}
	l.injector.mu.Lock()
	l.injector.conns[c] = struct{}{}
	l.injector.mu.Unlock()
	return c, nil
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	injector *Injector
	silent   atomic.Bool
}

// Read loses what comes while the connection is silent.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			_ = c.Conn.Close()
			return n, err
		}
	}
}

// Write loses what is sent while the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.injector.mu.Lock()
	delete(c.injector.conns, c)
	c.injector.mu.Unlock()
	if c.silent.Load() {
		// The other end must not learn of the end of the connection.
		return nil
	}
	return c.Conn.Close()
}
