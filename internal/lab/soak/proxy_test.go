package soak

import (
	"io"
	"net"
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
	done := make(chan bool, 1)
	go p.pump(sink, in, CutDown, done)

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
	must.False(t, <-done, must.Sprint("the end is not that of all bytes"))
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
