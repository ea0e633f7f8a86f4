package target_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/standin/standintest"
	"github.com/zinniafork/zinniafork/internal/target"
)

func runOn(t *testing.T, client *http.Client, url, method, body string) error {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, target.Body([]byte(body)))
	must.NoError(t, err)
	r.ContentLength = int64(len(body))
	r.Header.Set("Idempotency-Key", "k1")
	run := &target.HTTPRun{Client: client, Target: "t1", Attempt: 1}
	return run.Do(t.Context(), r, new(standintest.Answer))
}

// TestBrokenIdleConnectionIsNotUsedTwice serves two requests on one connection
// and breaks it on the second, when net/http may repeat what it takes to be
// idempotent.
func TestBrokenIdleConnectionIsNotUsedTwice(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		for _, body := range []string{"", "plate"} {
			t.Run(method+" "+body, func(t *testing.T) {
				var hits atomic.Int32
				served := standintest.Serve(t, kernel.SystemNetwork{}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					if hits.Add(1) > 1 {
						panic(http.ErrAbortHandler)
					}
				}))
				must.NoError(t, runOn(t, served.Client, served.URL, method, body))
				err := runOn(t, served.Client, served.URL, method, body)
				must.Eq(t, call.RunUnknown, call.AsError(err).Run)
				must.Eq(t, 2, hits.Load())
			})
		}
	}
}

// TestRunClaimsNotRunOnlyWithoutABytesSent lets a server close the idle
// connection at any moment around the next request. Whenever the client says
// "not run", the server must not have seen the request.
func TestRunClaimsNotRunOnlyWithoutABytesSent(t *testing.T) {
	var hits atomic.Int32
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerOnce(c, &hits)
		}
	}()
	client := target.NewHTTPClient(kernel.SystemNetwork{})
	t.Cleanup(client.CloseIdleConnections)
	notRun := 0
	for range 200 {
		before := hits.Load()
		err := runOn(t, client, "http://"+ln.Addr().String(), http.MethodPost, "plate")
		var e *call.Error
		if !errors.As(err, &e) {
			must.Eq(t, before+1, hits.Load())
			continue
		}
		if e.Run == call.RunNot {
			notRun++
			must.Eq(t, before, hits.Load())
		}
	}
	t.Logf("%d of 200 requests were not run", notRun)
}

// answerOnce answers one request as if the connection stayed open, and closes
// it.
func answerOnce(c net.Conn, hits *atomic.Int32) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	hits.Add(1)
	_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
}

// brokenBody is a body that breaks off with an error that has io.EOF beneath it, as the end of a
// connection on the way has.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		err = fmt.Errorf("connection of the tunnel ended: %w", err)
	}
	return n, err
}

func (brokenBody) Close() error { return nil }

// answerWith is a transport that answers each request with one body.
type answerWith struct{ body io.ReadCloser }

func (a answerWith) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: a.body, ContentLength: -1}, nil
}

// TestOnlyEOFItselfEndsAnAnswer checks that an error that wraps io.EOF is not taken for the end of
// the answer.
func TestOnlyEOFItselfEndsAnAnswer(t *testing.T) {
	sent := func() io.Reader { return strings.NewReader("data: once\n\n") }
	for _, c := range []struct {
		name string
		body io.ReadCloser
		code call.Code
	}{
		{"whole", io.NopCloser(sent()), ""},
		{"broken between two reads", brokenBody{sent()}, call.CodeCut},
		{"broken with the last bytes", brokenBody{iotest.DataErrReader(sent())}, call.CodeCut},
	} {
		t.Run(c.name, func(t *testing.T) {
			run := &target.HTTPRun{Client: &http.Client{Transport: answerWith{c.body}}, Target: "t1", Attempt: 1}
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://t1", http.NoBody)
			must.NoError(t, err)
			answer := new(standintest.Answer)
			err = run.Do(t.Context(), r, answer)
			must.Eq(t, "data: once\n\n", answer.Body())
			_, ended := answer.Ended()
			must.Eq(t, c.code == "", ended)
			if c.code != "" {
				must.Eq(t, c.code, call.AsError(err).Code)
				must.Eq(t, call.RunUnknown, call.AsError(err).Run)
			}
		})
	}
}

// refusingSink takes no part of an answer, as that of a router that is lost.
type refusingSink struct {
	standintest.Answer
	err error
}

func (s *refusingSink) Chunk(call.Chunk) error { return s.err }

// TestLostAskerIsNoFailureOfTheTarget loses the router that asked for an answer, by the error of
// its sink or the end of the call's context. Neither may pass for an answer that its target cut off.
func TestLostAskerIsNoFailureOfTheTarget(t *testing.T) {
	served := standintest.Serve(t, kernel.SystemNetwork{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "data: once\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	lost := fmt.Errorf("connection to the caller's router ended: %w", io.EOF)
	for _, ends := range []string{"sink", "context"} {
		t.Run(ends, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			var sink call.Sink = &refusingSink{err: lost}
			if ends == "context" {
				sink = &standintest.Answer{OnChunk: func() { cancel(lost) }}
			}
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, served.URL, http.NoBody)
			must.NoError(t, err)
			run := &target.HTTPRun{Client: served.Client, Target: "t1", Attempt: 1}
			e := call.AsError(run.Do(ctx, r, sink))
			must.Eq(t, call.CodeCanceled, e.Code, must.Sprint(e))
			must.Eq(t, call.RunUnknown, e.Run)
		})
	}
}
