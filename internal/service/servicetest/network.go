package servicetest

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

// Network connects the processes of a test by pipes in memory, so that a test
// with a false clock can use HTTP.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network { return &Network{listeners: make(map[string]*listener)} }

// DialContext connects to a listener.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	n.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("dial %s: connection refused", address)
	}
	here, there := net.Pipe()
	select {
	case l.accepted <- there:
		return here, nil
	case <-l.closed:
		return nil, fmt.Errorf("dial %s: connection refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Listen accepts connections to address.
func (n *Network) Listen(_ context.Context, _, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, fmt.Errorf("listen on %s: address is in use", address)
	}
	l := &listener{network: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Serve runs an HTTP handler at address until ctx ends.
func (n *Network) Serve(ctx context.Context, t *testing.T, address string, h http.Handler) {
	t.Helper()
	l, err := n.Listen(ctx, "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
}

type listener struct {
	network  *Network
	address  string
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, errors.New("listener is closed")
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (addr) Network() string  { return "pipe" }
func (a addr) String() string { return string(a) }

// Interface guard.
var _ kernel.Network = (*Network)(nil)
