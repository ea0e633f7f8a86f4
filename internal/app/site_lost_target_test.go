package app

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// lostTarget ends the connection of each response in the middle of its body, once it is on.
// Requests without an ID are served by its worker.
type lostTarget struct {
	worker http.Handler
	// framing is how the length of a response is told, and end how its connection ends.
	framing, end string
	on           atomic.Bool
	lost         atomic.Int64
}

// ServeHTTP sends a part of a response.
func (l *lostTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !l.on.Load() || r.Header.Get("X-Request-Id") == "" {
		l.worker.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // of a caller that has gone, the answer can't be sent
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	l.lost.Add(1)
	head, pieces := l.response(r)
	for i, text := range append([]string{head}, l.sent(pieces)...) {
		if i > 0 {
			time.Sleep(30 * time.Millisecond)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
	time.Sleep(30 * time.Millisecond)
	if strings.HasPrefix(l.end, "reset") {
		_ = conn.(interface{ NetConn() net.Conn }).NetConn().(interface{ SetLinger(sec int) error }).SetLinger(0)
	}
}

// response returns the head of the response to a request, and the parts of its body.
func (l *lostTarget) response(r *http.Request) (head string, pieces []string) {
	id := r.Header.Get("X-Request-Id")
	head = fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nX-Request-Id: %s\r\nX-Response-Stamp: stamp-lost\r\n", id)
	if r.Header.Get("X-Prompt-Prefix") == "" {
		pieces = []string{"answer of p1", " to r", strings.Repeat("1", workerd.LongBytes/2), strings.Repeat("2", workerd.LongBytes/2)}
	} else {
		head += "Content-Type: text/event-stream\r\n"
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // zero at the beginning
		for i := last + 1; i <= 6; i++ {
			pieces = append(pieces, fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i))
		}
	}
	switch l.framing {
	case "length":
		head += fmt.Sprintf("Content-Length: %d\r\n", len(strings.Join(pieces, "")))
	case "chunked":
		head += "Transfer-Encoding: chunked\r\n"
	}
	return head + "\r\n", pieces
}

// sent returns what the target sends of a body: its first half, and what comes before the end of
// its connection.
func (l *lostTarget) sent(pieces []string) []string {
	frame := func(text string) string {
		if l.framing == "chunked" {
			return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		return text
	}
	var out []string
	for _, piece := range pieces {
		out = append(out, frame(piece))
	}
	if l.end == "whole" {
		if l.framing == "chunked" {
			out = append(out, "0\r\n\r\n")
		}
		return out
	}
	half := len(pieces) / 2
	next := pieces[half]
	switch l.end {
	case "closed before the body", "reset before the body":
		return nil
	case "closed inside a piece", "reset inside a piece":
		return append(out[:half], frame(next[:len(next)/2]))
	case "closed inside a chunk":
		return append(out[:half], fmt.Sprintf("%x\r\n%s", len(next), next))
	case "closed inside the length of a chunk":
		return append(out[:half], "1")
	case "closed after the length of the last chunk":
		return append(out[:half], "0\r\n")
	}
	return out[:half]
}

// lostTargetEnds are the ways in which connections end, by how the length of a response is told.
var lostTargetEnds = map[string][]string{
	"length": {
		"closed before the body", "closed between pieces", "closed inside a piece",
		"reset before the body", "reset between pieces", "reset inside a piece",
	},
	"chunked": {
		"closed before the body", "closed between pieces", "closed inside a piece", "closed inside a chunk",
		"closed inside the length of a chunk", "closed after the length of the last chunk",
		"reset before the body", "reset between pieces", "reset inside a piece",
	},
	// Closed plain responses without length and chunks are whole ones.
	"unframed": {"reset before the body", "reset between pieces", "reset inside a piece"},
}

// loseTargets replaces all workers by ones whose connections end.
func (b *siteBed) loseTargets(framing, end string, path func(*siteBed)) []*lostTarget {
	var all []*lostTarget
	for _, id := range []string{"e1", "e2", "p1", "p2"} {
		target := &lostTarget{worker: b.workers[id].Handler(), framing: framing, end: end}
		must.NoError(b.t, b.servers[id].Close())
		b.servers[id] = b.serve("10.1.0."+id+":80", target)
		all = append(all, target)
	}
	b.wait(2 * time.Second)
	path(b)
	for _, target := range all {
		target.on.Store(true)
	}
	return all
}

// checkLostTargets sends a request to each route while targets end their connections, and checks
// that only whole responses look complete.
func (b *siteBed) checkLostTargets(t *testing.T, framing, end string, path func(*siteBed), routes ...string) {
	t.Helper()
	targets := b.loseTargets(framing, end, path)
	for _, route := range routes {
		before := lostResponses(targets)
		a := b.call("1", route)
		must.Less(t, lostResponses(targets), before, must.Sprintf("%s: no response was lost: %d %v", route, a.status, a.err))
		complete := a.err == nil && a.status == http.StatusOK
		must.Eq(t, end == "whole", complete, must.Sprintf("%s: %d %.60q %v", route, a.status, a.body, a.err))
		if complete && (route == "chat" || route == "draft") {
			must.Eq(t, wholeStream(6), a.body)
		}
		b.wait(time.Second) // for the retry budget
	}
}

// TestLostTargetEndsNoResponse ends connections of targets in the middle of responses while all
// routers live. No response may look complete that its target didn't end.
func TestLostTargetEndsNoResponse(t *testing.T) {
	for name, path := range paths {
		for framing, ends := range lostTargetEnds {
			for _, end := range append([]string{"whole"}, ends...) {
				t.Run(fmt.Sprint(name, " ", framing, " ", end), func(t *testing.T) {
					onSite(t, func(t *testing.T, b *siteBed) {
						b.checkLostTargets(t, framing, end, path, "order", "status", "chat", "draft")
					})
				})
			}
		}
	}
}

// TestLostTargetEndsNoUnframedStream closes connections of targets before the first event and
// inside an event of streams that have neither a length nor chunks.
func TestLostTargetEndsNoUnframedStream(t *testing.T) {
	for name, path := range paths {
		for _, end := range []string{"closed before the body", "closed inside a piece"} {
			t.Run(name+" "+end, func(t *testing.T) {
				onSite(t, func(t *testing.T, b *siteBed) {
					b.checkLostTargets(t, "unframed", end, path, "chat", "draft")
				})
			})
		}
	}
}

// lostResponses counts the responses that targets have lost.
func lostResponses(targets []*lostTarget) (n int64) {
	for _, target := range targets {
		n += target.lost.Load()
	}
	return n
}
