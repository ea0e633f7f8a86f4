package crowdtest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

const (
	// readerCount is the number of clients that do not read. All their responses together
	// exceed the machine's memory.
	readerCount = 100
	// readerBuffer is the receive buffer of such a client.
	readerBuffer = 4 << 10
	// streamTokens is the number of tokens of a stream of about 2 MB from an engine.
	streamTokens = 15000
	// connectionCount exceeds the machine's descriptors.
	connectionCount = machineDescriptors + 100
	// endlessHeadBytes is the length of a head that does not end, and headLineBytes that of
	// its lines; headCount such heads exceed the machine's memory.
	endlessHeadBytes = 900 << 10
	headLineBytes    = 1 << 10
	headCount        = 150
	// trickleGap is the time between two bytes of a head that trickles.
	trickleGap = 500 * time.Millisecond
	// holdTime is the time that responses stay unread before the ordinary request.
	holdTime = 4 * time.Second
)

// crowdThatDoesNotRead lets a crowd ask for responses of a kind and not read them, and checks
// the router.
func crowdThatDoesNotRead(t *testing.T, kind string) {
	t.Helper()
	for _, bed := range beds {
		t.Run(bed.name, func(t *testing.T) {
			b := bed.startFor(t, kind)
			body := b.small
			if bed.name == "owners" {
				body = chat(true, "Hello")
				if kind == kindLarge {
					body = strings.Repeat("x", bodyLimit)
				}
			}
			m := measure(t, b.router)
			gather(t, b.address, readerCount, func(i int, c net.Conn) {
				_ = c.(*net.TCPConn).SetReadBuffer(readerBuffer) // more memory here if it fails
				head := b.head(kind, fmt.Sprintf("reader-%d", i), contentLength(len(body)))
				if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
					return
				}
				readByte(c)
			})
			time.Sleep(holdTime)
			b.checkServes(t)
			m.check(t, b.router)
		})
	}
}

// TestUnreadResponses guards against memory that grows with large responses which clients do not
// read.
func TestUnreadResponses(t *testing.T) { crowdThatDoesNotRead(t, kindLarge) }

// TestUnreadStreams guards against the same with streams.
func TestUnreadStreams(t *testing.T) { crowdThatDoesNotRead(t, kindStream) }

// startFor starts a router with workers whose responses of a kind are long.
func (b bedOf) startFor(t *testing.T, kind string) *bed {
	t.Helper()
	if b.name == "owners" && kind == kindStream {
		return newOwnersWith(t, streamTokens)
	}
	return b.start(t)
}

// crowdOfConnections lets a crowd play a part on both interfaces and checks the router.
func crowdOfConnections(t *testing.T, size int, part func(b *bed, i int, c net.Conn)) {
	t.Helper()
	for _, bed := range beds {
		t.Run(bed.name, func(t *testing.T) {
			b := bed.start(t)
			m := measure(t, b.router)
			gather(t, b.address, size, func(i int, c net.Conn) { part(b, i, c) })
			b.checkServes(t)
			m.check(t, b.router)
		})
	}
}

// TestSilentConnections guards against connections without a request that take all descriptors.
func TestSilentConnections(t *testing.T) {
	crowdOfConnections(t, connectionCount, func(*bed, int, net.Conn) {})
}

// TestTricklingHeads guards against the same by heads that come byte by byte.
func TestTricklingHeads(t *testing.T) {
	crowdOfConnections(t, connectionCount, func(b *bed, i int, c net.Conn) {
		trickle(c, b.head(kindPlain, fmt.Sprintf("trickle-%d", i), ""))
	})
}

// TestEndlessHeads guards against memory that grows with heads that do not end.
func TestEndlessHeads(t *testing.T) {
	crowdOfConnections(t, headCount, func(b *bed, i int, c net.Conn) {
		if _, err := io.WriteString(c, b.head(kindPlain, fmt.Sprintf("head-%d", i), "")); err != nil {
			return
		}
		line := "X-More: " + strings.Repeat("x", headLineBytes) + "\r\n"
		for range endlessHeadBytes / len(line) {
			if _, err := io.WriteString(c, line); err != nil {
				return
			}
		}
	})
}

// trickle sends a text byte by byte until the crowd has settled.
func trickle(c net.Conn, text string) {
	for end := time.Now().Add(settleLimit); text != "" && time.Now().Before(end); text = text[1:] {
		if _, err := io.WriteString(c, text[:1]); err != nil {
			return
		}
		time.Sleep(trickleGap)
	}
}
