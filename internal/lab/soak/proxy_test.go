package soak

import (
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// TestLostBytesAreNotSteppedOver loses a piece of a connection, as seed 5042 did:
// nothing that came after it may arrive, since TCP has no holes.
func TestLostBytesAreNotSteppedOver(t *testing.T) {
	p := &proxy{mode: Pass}
	in, source := net.Pipe()
	out, sink := net.Pipe()
	done := make(chan end, 1)
	go p.pump(sink, in, CutDown, netip.Addr{}, done)

	write := func(s string) {
		_, err := io.WriteString(source, s)
		must.NoError(t, err)
	}
	got := make([]byte, 1)
	go write("a")
	_, err := io.ReadFull(out, got)
	must.NoError(t, err)
	must.Eq(t, "a", string(got))

	p.set(CutDown)
	write("b")
	write("c") // taken once b is lost
	p.set(Pass)
	read := make(chan string, 1)
	go func() {
		rest, _ := io.ReadAll(out) // the end is all that may come
		read <- string(rest)
	}()
	write("d")
	must.NoError(t, source.Close())
	must.Eq(t, endLost, <-done, must.Sprint("the end is not that of all bytes"))
	must.NoError(t, sink.Close())
	must.Eq(t, "", <-read)
}

// TestEndsAreHandedOn closes and resets connections behind the proxy: its client must
// see the same end, since that of an answer without a length is told by it.
func TestEndsAreHandedOn(t *testing.T) {
	for name, reset := range map[string]bool{"close": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer ln.Close()
			p, err := newProxy(t.Context(), "127.0.0.1:0", ln.Addr().String())
			must.NoError(t, err)
			defer p.close()
			client, err := net.Dial("tcp", p.listener.Addr().String())
			must.NoError(t, err)
			defer client.Close()
			server, err := ln.Accept()
			must.NoError(t, err)
			_, err = io.WriteString(server, "answer")
			must.NoError(t, err)
			got := make([]byte, len("answer"))
			_, err = io.ReadFull(client, got)
			must.NoError(t, err)
			if reset {
				resetOnClose(server)
			}
			must.NoError(t, server.Close())
			_, err = client.Read(got)
			if reset {
				must.ErrorIs(t, err, syscall.ECONNRESET)
			} else {
				must.ErrorIs(t, err, io.EOF)
			}
		})
	}
}

// serverBehind starts a server behind a proxy, and returns the proxy and what accepts from it.
func serverBehind(t *testing.T) (p *proxy, accept func() net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	p, err = newProxy(t.Context(), "127.0.0.1:0", ln.Addr().String())
	must.NoError(t, err)
	t.Cleanup(p.close)
	return p, func() net.Conn {
		c, err := ln.Accept()
		must.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// clientOf connects to a proxy from an address.
func clientOf(t *testing.T, p *proxy, from string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp", p.listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestEndOfARequestIsNoEndOfItsAnswer ends one direction of a connection: the other one goes on.
func TestEndOfARequestIsNoEndOfItsAnswer(t *testing.T) {
	p, accept := serverBehind(t)
	client := clientOf(t, p, "127.0.0.1")
	_, err := io.WriteString(client, "request")
	must.NoError(t, err)
	must.NoError(t, client.(*net.TCPConn).CloseWrite())
	server := accept()
	request, err := io.ReadAll(server)
	must.NoError(t, err)
	must.Eq(t, "request", string(request))
	_, err = io.WriteString(server, "answer")
	must.NoError(t, err)
	must.NoError(t, server.Close())
	answer, err := io.ReadAll(client)
	must.NoError(t, err)
	must.Eq(t, "answer", string(answer))
}

// TestRefusalIsNoEndOfAnAnswer checks that a client sees no end in order from a server that was
// not reached, since an answer may end with its connection.
func TestRefusalIsNoEndOfAnAnswer(t *testing.T) {
	for name, mode := range map[string]Mode{"refuse": Refuse, "no such server": Pass} {
		t.Run(name, func(t *testing.T) {
			p, err := newProxy(t.Context(), "127.0.0.1:0", "127.0.0.1:1")
			must.NoError(t, err)
			defer p.close()
			p.set(mode)
			client, err := net.Dial("tcp", p.listener.Addr().String())
			if err == nil { // the reset may come before the client has looked
				defer client.Close()
				_, err = client.Read(make([]byte, 1))
			}
			must.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}

// TestEndIsLostWithTheBytes closes a connection while bytes are lost: its end must be lost too.
func TestEndIsLostWithTheBytes(t *testing.T) {
	for _, mode := range []Mode{CutDown, Silent} {
		p := &proxy{mode: mode}
		in, source := net.Pipe()
		out, sink := net.Pipe()
		done := make(chan end, 1)
		must.NoError(t, source.Close())
		p.pump(sink, in, CutDown, netip.Addr{}, done)
		must.Eq(t, endLost, <-done, must.Sprint(mode))
		must.NoError(t, out.Close())
	}
}

// TestOneAddressIsCutOff loses the bytes of one address and breaks its connections, while those of
// another one go on. The server sees who connects.
func TestOneAddressIsCutOff(t *testing.T) {
	p, accept := serverBehind(t)
	clients, servers := make(map[string]net.Conn), make(map[string]net.Conn)
	for _, from := range []string{"127.0.0.8", "127.0.0.9"} {
		clients[from] = clientOf(t, p, from)
		servers[from] = accept()
		must.Eq(t, from, sourceOf(servers[from]).String())
	}
	cut := netip.MustParseAddr("127.0.0.9")
	p.lose(cut, true)
	got := make([]byte, len("answer"))
	for _, from := range []string{"127.0.0.9", "127.0.0.8"} {
		_, err := io.WriteString(servers[from], "answer")
		must.NoError(t, err)
	}
	_, err := io.ReadFull(clients["127.0.0.8"], got)
	must.NoError(t, err)
	must.Eq(t, "answer", string(got))
	p.resetFrom(cut)
	n, err := clients["127.0.0.9"].Read(got)
	must.Eq(t, 0, n)
	must.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = io.WriteString(servers["127.0.0.8"], "answer")
	must.NoError(t, err)
	_, err = io.ReadFull(clients["127.0.0.8"], got)
	must.NoError(t, err)
}
