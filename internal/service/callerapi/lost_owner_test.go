package callerapi

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/kernel"
)

// TestRefusedResumeIsNotCalledNotRun cuts a stream that has run and refuses each attempt to go on
// with it. The error event must not say that the request did not run.
func TestRefusedResumeIsNotCalledNotRun(t *testing.T) {
	h := newHarness(t, kernel.SystemNetwork{}, "")
	for _, first := range []call.Error{
		{Code: call.CodeUnavailable, Step: "peer", Peer: "dc1b", Run: call.RunUnknown},
		{Code: call.CodeCut, Step: "target", Peer: "engine-1", Run: call.RunUnknown},
	} {
		attempts := 0
		h.router.run = func(_ context.Context, _ *call.Request, sink call.Sink) error {
			attempts++
			if attempts > 1 {
				return &call.Error{Code: call.CodeOverloaded, Step: "admission", Run: call.RunNot}
			}
			_ = sink.Head(call.Head{Status: 200, Header: http.Header{"Content-Type": {"text/event-stream"}}})
			_ = sink.Chunk(call.Chunk{Data: []byte(stream[:len(stream)/2])})
			return &first
		}
		_, body := h.send(t, http.MethodPost, chatPath, chatText, nil)
		must.Eq(t, 2, attempts)
		_, event, found := strings.Cut(body, "event: error\ndata: ")
		must.True(t, found)
		must.Eq(t, call.RunUnknown, decodeError(t, strings.TrimSpace(event)).Run)
		must.Eq(t, call.RunUnknown, h.figures.last().Run)
	}
}

// TestCutResponseIsResetForOldCallers cuts a response without a length to a caller of HTTP/1.0, who
// knows its end by that of the connection alone.
func TestCutResponseIsResetForOldCallers(t *testing.T) {
	h := newHarness(t, kernel.SystemNetwork{}, "")
	get := func() (string, error) {
		c, err := net.Dial("tcp", strings.TrimPrefix(h.URL(), "http://"))
		must.NoError(t, err)
		defer c.Close()
		_, err = fmt.Fprintf(c, "GET /v1/services/print/x HTTP/1.0\r\nAuthorization: Bearer %s\r\n\r\n", key)
		must.NoError(t, err)
		body, err := io.ReadAll(c)
		return string(body), err
	}
	h.router.run = respondWith("text/plain", "whole")
	body, err := get()
	must.NoError(t, err)
	must.StrHasSuffix(t, "\r\n\r\nwhole", body)

	h.router.run = func(_ context.Context, _ *call.Request, sink call.Sink) error {
		_ = sink.Head(call.Head{Status: 200, Header: http.Header{"Content-Type": {"text/plain"}}})
		_ = sink.Chunk(call.Chunk{Data: []byte("par")})
		return &call.Error{Code: call.CodeUnavailable, Step: "peer", Peer: "dc1b", Run: call.RunUnknown}
	}
	_, err = get()
	must.ErrorIs(t, err, syscall.ECONNRESET)
}
