package app

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// callerConn is a connection of a caller that sends requests piece by piece.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

// connect opens a connection to a router.
func (b *siteBed) connect(router string) *callerConn {
	c, err := b.network.DialContext(b.t.Context(), "tcp", "10.0.0."+router+":80")
	must.NoError(b.t, err)
	b.t.Cleanup(func() { _ = c.Close() })
	return &callerConn{Conn: c, reader: bufio.NewReader(c)}
}

// headBegin and headEnd are the two parts of a request that no route matches.
const (
	headBegin = "GET /nowhere HTTP/1.1\r\n"
	headEnd   = "Host: a.example\r\n\r\n"
)

// receive reads the next answer.
func (c *callerConn) receive() answer {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(body), header: resp.Header, err: err}
}

// ask sends a whole request and reads its answer.
func (c *callerConn) ask() answer {
	if err := c.send(headBegin + headEnd); err != nil {
		return answer{err: err}
	}
	return c.receive()
}

func (c *callerConn) send(text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// TestSlowHeadOnKeptConnectionIsNotCut begins a request within the idle time-out and
// ends its head after it.
func TestSlowHeadOnKeptConnectionIsNotCut(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		c := b.connect("1")
		must.Eq(t, 404, c.ask().status)
		b.wait(4 * time.Second)
		must.NoError(t, c.send(headBegin))
		b.wait(3 * time.Second)
		must.NoError(t, c.send(headEnd))
		a := c.receive()
		must.NoError(t, a.err)
		must.Eq(t, 404, a.status)
	})
}
