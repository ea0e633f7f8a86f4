package crowdtest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSize is the number of clients that send bodies. All bodies together exceed the
	// machine's memory.
	crowdSize = 160
	// completeEvery is the ratio of clients to those that send the last byte.
	completeEvery = 8
	// pieceBytes is the length of the pieces of a body and of large chunks, pieceGap the time
	// between pieces, and smallChunkBytes the length of very small chunks.
	pieceBytes      = 128 << 10
	pieceGap        = 100 * time.Millisecond
	smallChunkBytes = 7
	// farBytes is the length of bodies far over the limit.
	farBytes = 16 * bodyLimit
	// settleLimit is the time that a crowd gets to send. What a router does not read stays unsent.
	settleLimit = 6 * time.Second
	// readTime is the time that a router gets to read what its sockets have received.
	readTime = time.Second
)

// crowd is a number of open connections.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
	done  sync.WaitGroup
}

// gather opens connections and lets each play its part, all at once. It returns when all have
// played it or settleLimit has passed; the connections stay open until the end of the test.
func gather(t *testing.T, address string, size int, part func(i int, c net.Conn)) {
	t.Helper()
	g := new(crowd)
	t.Cleanup(g.close)
	for i := range size {
		g.done.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return // the router refuses it
			}
			g.mu.Lock()
			g.conns = append(g.conns, c)
			g.mu.Unlock()
			part(i, c)
		})
	}
	played := make(chan struct{})
	go func() {
		g.done.Wait()
		close(played)
	}()
	select {
	case <-played:
	case <-time.After(settleLimit):
	}
	time.Sleep(readTime)
}

// close ends the crowd.
func (g *crowd) close() {
	g.mu.Lock()
	for _, c := range g.conns {
		_ = c.Close()
	}
	g.mu.Unlock()
	g.done.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		_ = c.Close() // those that were opened since
	}
}

// contentLength is the header of a body of known length.
func contentLength(length int) string { return fmt.Sprintf("Content-Length: %d\r\n", length) }

// chunkedHeader is the header of a body in chunks.
const chunkedHeader = "Transfer-Encoding: chunked\r\n"

// sendPieces sends a body in pieces with pauses between them.
func sendPieces(c net.Conn, body string, length int, gap time.Duration) {
	for len(body) > 0 {
		n := min(length, len(body))
		if _, err := io.WriteString(c, body[:n]); err != nil {
			return // the router closes the connection
		}
		body = body[n:]
		time.Sleep(gap)
	}
}

// sendChunks sends a body in chunks of one length, many of them in one write. An incomplete
// one lacks the last byte of its last chunk.
func sendChunks(c net.Conn, body string, length int, incomplete bool) {
	var out strings.Builder
	for len(body) > 0 {
		n := min(length, len(body))
		fmt.Fprintf(&out, "%x\r\n", n)
		if n == len(body) && incomplete {
			out.WriteString(body[:n-1])
			break
		}
		out.WriteString(body[:n] + "\r\n")
		body = body[n:]
		if out.Len() >= pieceBytes {
			if _, err := io.WriteString(c, out.String()); err != nil {
				return
			}
			out.Reset()
		}
	}
	if !incomplete {
		out.WriteString("0\r\n\r\n")
	}
	_, _ = io.WriteString(c, out.String())
}

// sendFar sends bytes until the router closes the connection or farBytes are sent.
func sendFar(c net.Conn) {
	piece := strings.Repeat("x", pieceBytes)
	for range farBytes / pieceBytes {
		if _, err := io.WriteString(c, piece); err != nil {
			return
		}
	}
}

// readByte waits for the first byte of a response and reads no more.
func readByte(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }
