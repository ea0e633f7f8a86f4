package crowdtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// ask sends one ordinary request on a connection of its own and returns the status of the
// response, zero if there is none.
func (b *bed) ask(t *testing.T) int {
	t.Helper()
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(answerLimit / 2)) // fails for a closed connection only
	head := b.head(kindPlain, fmt.Sprintf("ordinary-%d", time.Now().UnixNano()), contentLength(len(b.small)))
	if _, err := io.WriteString(c, head+"\r\n"+b.small); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// checkServes checks that an ordinary request is answered, after refusals perhaps.
func (b *bed) checkServes(t *testing.T) {
	t.Helper()
	status := 0
	for end := time.Now().Add(answerLimit); b.router.alive() && time.Now().Before(end); time.Sleep(pollPeriod) {
		if status = b.ask(t); status == http.StatusOK {
			return
		}
	}
	must.Eq(t, http.StatusOK, status, must.Sprint("status of an ordinary request"))
}

// crowdOfBodies lets a crowd send bodies of the largest legal size, most without their end, and
// checks the router. length is the header line for the length of a body.
func crowdOfBodies(t *testing.T, length func(n int) string, send func(c net.Conn, body string, incomplete bool)) {
	t.Helper()
	for _, bed := range beds {
		t.Run(bed.name, func(t *testing.T) {
			b := bed.start(t)
			m := measure(t, b.router)
			gather(t, b.address, crowdSize, func(i int, c net.Conn) {
				if _, err := io.WriteString(c, b.head(kindPlain, fmt.Sprintf("body-%d", i), length(len(b.body)))+"\r\n"); err != nil {
					return
				}
				send(c, b.body, i%completeEvery != 0)
			})
			b.checkServes(t)
			m.check(t, b.router)
		})
	}
}

// cut returns a body without its last byte if it is to be incomplete.
func cut(body string, incomplete bool) string {
	if incomplete {
		return body[:len(body)-1]
	}
	return body
}

// TestWholeBodies guards against a process that holds all bodies that clients have begun to
// send, here at once.
func TestWholeBodies(t *testing.T) {
	crowdOfBodies(t, contentLength, func(c net.Conn, body string, incomplete bool) {
		sendPieces(c, cut(body, incomplete), len(body), 0)
	})
}

// TestBodiesInPieces guards against the same with bodies that come piece by piece.
func TestBodiesInPieces(t *testing.T) {
	crowdOfBodies(t, contentLength, func(c net.Conn, body string, incomplete bool) {
		sendPieces(c, cut(body, incomplete), pieceBytes, pieceGap)
	})
}

// TestLargeChunks guards against the same with bodies whose length is not announced.
func TestLargeChunks(t *testing.T) {
	crowdOfBodies(t, func(int) string { return chunkedHeader }, func(c net.Conn, body string, incomplete bool) {
		sendChunks(c, body, pieceBytes, incomplete)
	})
}

// TestSmallChunks guards against the same with chunks of a few bytes.
func TestSmallChunks(t *testing.T) {
	crowdOfBodies(t, func(int) string { return chunkedHeader }, func(c net.Conn, body string, incomplete bool) {
		sendChunks(c, body, smallChunkBytes, incomplete)
	})
}

// crowdFarOver lets a crowd send bodies far over the limit after a head that ends with rest.
func crowdFarOver(t *testing.T, rest string) {
	t.Helper()
	for _, bed := range beds {
		t.Run(bed.name, func(t *testing.T) {
			b := bed.start(t)
			m := measure(t, b.router)
			gather(t, b.address, crowdSize, func(i int, c net.Conn) {
				if _, err := io.WriteString(c, b.head(kindPlain, fmt.Sprintf("far-%d", i), rest)); err != nil {
					return
				}
				sendFar(c)
			})
			b.checkServes(t)
			m.check(t, b.router)
		})
	}
}

// TestFarOverTheLimitAnnounced guards against memory that grows with bodies which are refused
// for the length that they announce.
func TestFarOverTheLimitAnnounced(t *testing.T) {
	crowdFarOver(t, contentLength(farBytes)+"\r\n")
}

// TestFarOverTheLimitSent guards against memory that grows with bodies which turn out to be too
// long.
func TestFarOverTheLimitSent(t *testing.T) {
	crowdFarOver(t, fmt.Sprintf("%s\r\n%x\r\n", chunkedHeader, farBytes))
}

// TestLargestBodyAlone guards against limits that refuse one request of the largest legal size
// when nothing else happens.
func TestLargestBodyAlone(t *testing.T) {
	for _, bed := range beds {
		t.Run(bed.name, func(t *testing.T) {
			b := bed.start(t)
			b.small = b.body
			must.Eq(t, http.StatusOK, b.ask(t))
		})
	}
}

// TestTargetThatDoesNotRead guards against memory that grows with complete bodies whose target
// does not read them.
func TestTargetThatDoesNotRead(t *testing.T) {
	b := newSite(t)
	m := measure(t, b.router)
	gather(t, b.address, crowdSize, func(i int, c net.Conn) {
		head := b.head(kindStuck, fmt.Sprintf("stuck-%d", i), contentLength(len(b.body)))
		_, _ = io.WriteString(c, head+"\r\n"+b.body) // fails when the router closes the connection
	})
	b.checkServes(t)
	m.check(t, b.router)
}

// TestBytesAfterARequest guards against sockets that fill with what clients send after a request
// that still runs.
func TestBytesAfterARequest(t *testing.T) {
	b := newSite(t)
	m := measure(t, b.router)
	gather(t, b.address, crowdSize, func(i int, c net.Conn) {
		if _, err := io.WriteString(c, b.head(kindStuck, fmt.Sprintf("first-%d", i), contentLength(0))+"\r\n"); err != nil {
			return
		}
		sendFar(c)
	})
	b.checkServes(t)
	m.check(t, b.router)
}
