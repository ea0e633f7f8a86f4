package app

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/siteclient"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
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
	if resp.Close {
		resp.Header.Set("Connection", "close") // http.ReadResponse removes it
	}
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

// drain drains and stops a router in the background, within the time that the platform
// gives it.
func (b *siteBed) drain(router string) <-chan error {
	k := b.routers[router]
	delete(b.routers, router)
	drained := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 7*time.Second)
		defer cancel()
		drained <- k.Drain(ctx)
	}()
	return drained
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

// TestLoweredIdleTimeoutSparesConnectionsThatAreIdle lowers the limit while a connection
// is idle. Its caller may know only the limit that was in force at the last answer.
func TestLoweredIdleTimeoutSparesConnectionsThatAreIdle(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		c := b.connect("1")
		must.Eq(t, 404, c.ask().status)
		b.wait(2 * time.Second)
		b.publishIdle(2, "plain", time.Second)
		b.wait(2 * time.Second)
		a := c.ask()
		must.NoError(t, a.err)
		must.Eq(t, 404, a.status)
		b.wait(2100 * time.Millisecond)
		must.Error(t, c.ask().err, must.Sprint("the new limit holds from the next answer on"))
	})
}

// TestIdleTimeoutAboveDefaultHolds keeps a connection for longer than the limit without
// a configuration.
func TestIdleTimeoutAboveDefaultHolds(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.publishIdle(2, "plain", 2*time.Minute)
		b.wait(2 * time.Second)
		c := b.connect("1")
		must.Eq(t, 404, c.ask().status)
		b.wait(96 * time.Second)
		a := c.ask()
		must.NoError(t, a.err)
		must.Eq(t, 404, a.status)
	})
}

// TestRequestBegunBeforeEndOfDrainIsAnswered sends the rest of a request when the
// drained router no longer listens.
func TestRequestBegunBeforeEndOfDrainIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name        string
		kept        bool
		begin, rest string
	}{
		{"new connection", false, "", headBegin + headEnd},
		{"new connection, part of the head", false, headBegin, headEnd},
		{"kept connection, part of the head", true, headBegin, headEnd},
	} {
		t.Run(c.name, func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				kept := b.connect("3")
				if c.kept {
					must.Eq(t, 404, kept.ask().status)
				}
				drained := b.drain("3")
				b.wait(2400 * time.Millisecond)
				conn := kept
				if !c.kept {
					conn = b.connect("3")
				}
				if c.begin != "" {
					must.NoError(t, conn.send(c.begin))
				}
				b.wait(500 * time.Millisecond)
				_, err := b.network.DialContext(t.Context(), "tcp", "10.0.0.3:80")
				must.Error(t, err)
				must.NoError(t, conn.send(c.rest))
				a := conn.receive()
				must.NoError(t, a.err)
				must.Eq(t, "close", a.header.Get("Connection"))
				must.NoError(t, <-drained)
			})
		})
	}
}

// TestAnswerOfRunningRequestClosesConnectionDuringDrain stops a router before it answers
// a request. A caller that keeps the connection would lose its next request at the end
// of the drain.
func TestAnswerOfRunningRequestClosesConnectionDuringDrain(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		for _, id := range []string{"p1", "p2"} {
			b.restartWorker(id, "plain", workerd.Options{Slots: 6, Work: 300 * time.Millisecond})
		}
		c := b.connect("3")
		request := &siteclient.Request{ID: "r", Host: "a.example", Route: "status", Key: "key", Deadline: 3 * time.Second}
		r, err := request.HTTP(t.Context(), "10.0.0.3:80")
		must.NoError(t, err)
		must.NoError(t, r.Write(c))
		b.wait(100 * time.Millisecond)
		drained := b.drain("3")
		a := c.receive()
		must.NoError(t, a.err)
		must.Eq(t, 200, a.status)
		must.Eq(t, "close", a.header.Get("Connection"))
		must.NoError(t, <-drained)
	})
}

// TestLateRequestsOfAPlannedStopAreNotTaken stops a router while callers go on to send orders, on
// the connections that they have kept and on new ones, until the router has ended. Each order
// lasts as long as it may. It must be answered whole, be refused as not run, or never reach a
// worker.
func TestLateRequestsOfAPlannedStopAreNotTaken(t *testing.T) {
	for _, route := range []string{"order", "status", "draft", "chat"} {
		t.Run(route, func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				opt := workerd.Options{Slots: 64, Events: 6, Work: 2800 * time.Millisecond}
				if route != "order" {
					opt.Work, opt.Gap = 200*time.Millisecond, 500*time.Millisecond
				}
				b.replaceWorkers(opt)
				ended := make(chan struct{})
				done := make(chan []string)
				for caller := range 8 {
					go func() { done <- b.sendUntil(ended, route, caller) }()
				}
				b.wait(4 * time.Second)
				drained := b.drain("3")
				must.NoError(t, <-drained)
				b.wait(500 * time.Millisecond)
				close(ended)
				unanswered := make(map[string]bool)
				for range 8 {
					for _, id := range <-done {
						unanswered[id] = true
					}
				}
				must.Greater(t, 16, b.runs(), must.Sprint("it serves on while callers have not heard"))
				for _, w := range b.workers {
					for _, run := range w.Runs() {
						must.False(t, unanswered[run.Request], must.Sprintf("%s reached a worker and got no answer", run.Request))
					}
				}
				b.ranOnce()
			})
		})
	}
}

// sendUntil sends requests to router 3 one after the other until ended is closed, each on the
// connection of the one before if that is kept. It returns those that got neither an answer nor
// a refusal.
func (b *siteBed) sendUntil(ended <-chan struct{}, route string, caller int) (unanswered []string) {
	var conn *callerConn
	for i := 0; ; i++ {
		select {
		case <-ended:
			return unanswered
		case <-time.After(10 * time.Millisecond):
		}
		if conn == nil {
			raw, err := b.network.DialContext(b.t.Context(), "tcp", "10.0.0.3:80")
			if err != nil {
				continue // the router takes no connections any more
			}
			conn = &callerConn{Conn: raw, reader: bufio.NewReader(raw)}
		}
		request := b.request(route)
		if route == "chat" || route == "draft" {
			request = b.request(route, "aa", "bb")
		}
		request.ID = fmt.Sprintf("late-%d-%d", caller, i)
		r, err := request.HTTP(b.t.Context(), "10.0.0.3:80")
		if err == nil {
			err = r.Write(conn)
		}
		a := answer{err: err}
		if err == nil {
			a = conn.receive()
		}
		if a.err != nil || a.status != 200 && a.status != 503 {
			unanswered = append(unanswered, request.ID)
		}
		if a.err != nil || a.header.Get("Connection") == "close" {
			_ = conn.Close()
			conn = nil
		}
	}
}
