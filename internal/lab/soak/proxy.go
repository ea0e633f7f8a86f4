package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Mode is what a proxy does to the bytes of its connections.
type Mode string

// Modes.
const (
	// Pass hands bytes on.
	Pass Mode = "pass"
	// Delay holds each piece up.
	Delay Mode = "delay"
	// CutUp loses the bytes towards the server, CutDown those towards the
	// client, Silent both. Connections stay open.
	CutUp   Mode = "cut_up"
	CutDown Mode = "cut_down"
	Silent  Mode = "silent"
	// Refuse resets new connections at once.
	Refuse Mode = "refuse"
)

const (
	// delayTime is how long Delay holds a piece up.
	delayTime = 80 * time.Millisecond
	// proxyBuffer is the size of a piece in bytes.
	proxyBuffer = 16 << 10
)

// proxy is a TCP proxy on loopback that misbehaves on demand.
type proxy struct {
	listener net.Listener
	to       string

	mu   sync.Mutex
	mode Mode
	// conns holds the address that opened each connection, and silent those whose bytes are lost.
	conns  map[net.Conn]netip.Addr
	silent map[netip.Addr]bool
	// disturbed holds the times in which bytes were lost, held up or refused, or
	// connections reset.
	disturbed spans
}

// newProxy listens on address and hands connections on to another one.
func newProxy(ctx context.Context, address, to string) (*proxy, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: ln, to: to, mode: Pass, conns: make(map[net.Conn]netip.Addr), silent: make(map[netip.Addr]bool)}
	go p.accept()
	return p, nil
}

// set replaces the mode.
func (p *proxy) set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == Pass {
		p.disturbed.end()
	} else {
		p.disturbed.begin()
	}
}

// now returns what happens to the connections of an address.
func (p *proxy) now(source netip.Addr) Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent[source] {
		return Silent
	}
	return p.mode
}

// lose begins or ends to lose the bytes of the connections of an address.
func (p *proxy) lose(source netip.Addr, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent[source] = silent
}

// resetFrom breaks the open connections of an address.
func (p *proxy) resetFrom(source netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, from := range p.conns {
		if from == source {
			resetOnClose(c)
			_ = c.Close()
		}
	}
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == Pass {
		p.disturbed.begin()
		defer p.disturbed.end()
	}
	for c := range p.conns {
		resetOnClose(c)
		_ = c.Close()
	}
}

// resetOnClose makes the close of a connection a reset.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a connection that has gone needs none
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	source := sourceOf(client)
	defer p.track(client, source)()
	if p.now(source) == Refuse {
		resetOnClose(client)
		return
	}
	server, err := dialFrom(source, p.to)
	if err != nil {
		resetOnClose(client) // the server has said nothing, not even an end
		return
	}
	defer p.track(server, source)()
	done := make(chan end, 2)
	go p.pump(server, client, CutUp, source, done)
	go p.pump(client, server, CutDown, source, done)
	for range 2 {
		e := <-done
		if e == endInOrder {
			continue
		}
		resetOnClose(server)
		resetOnClose(client)
		if e == endBroken {
			return
		}
	}
}

// sourceOf returns the address that opened a connection.
func sourceOf(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// dialFrom connects from an address, so that the server sees who connects.
func dialFrom(source netip.Addr, to string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) { failed = bindTo(int(fd), source) })
		return errors.Join(err, failed)
	}}
	return d.Dial("tcp4", to)
}

// track notes a connection; the returned function closes and forgets it.
func (p *proxy) track(c net.Conn, source netip.Addr) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = source
	return func() {
		_ = c.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}
}

// end tells how one direction of a connection ended.
type end int

const (
	// endInOrder is an end after all bytes, which was handed on.
	endInOrder end = iota
	// endLost is an end that nobody hears of, since bytes are lost.
	endLost
	// endBroken is any other end.
	endBroken
)

// pump hands bytes on in one direction, which is lost in mode cut. Once bytes were lost, those that
// follow on the connection are lost too: TCP has no holes. The end of one direction is not that of
// the other one, and it is handed on only after all bytes: the other side may take nothing else for
// the end of an answer.
func (p *proxy) pump(to io.Writer, from io.Reader, cut Mode, source netip.Addr, done chan<- end) {
	lost := false
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		mode := p.now(source)
		lost = lost || mode == cut || mode == Silent
		switch {
		case lost && err != nil:
			done <- endLost
			return
		case lost:
			continue
		case errors.Is(err, io.EOF):
			closeWrite(to)
			done <- endInOrder
			return
		case err != nil:
			done <- endBroken
			return
		}
		if mode == Delay {
			time.Sleep(delayTime)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			done <- endBroken
			return
		}
	}
}

// closeWrite hands on that no more bytes come.
func closeWrite(to io.Writer) {
	if c, ok := to.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite() // a connection that has gone needs none
	}
}
