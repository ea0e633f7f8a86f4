package soak

import (
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// TestLostBytesAreNotSteppedOver loses a piece of a connection, as seed 5042 did:
// nothing that came after it may arrive, since TCP has no holes.
func TestLostBytesAreNotSteppedOver(t *testing.T) {
	p := &proxy{mode: Pass}
	in, source := net.Pipe()
	out, sink := net.Pipe()
	done := make(chan struct{}, 1)
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
	<-done
	must.NoError(t, sink.Close())
	must.Eq(t, "", <-read)
}
