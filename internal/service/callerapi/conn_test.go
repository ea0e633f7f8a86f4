package callerapi

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
)

// TestWriteTimeoutEndsWithItsWrite ends a response, and begins the next one on the
// connection, later than write_timeout after the last write.
func TestWriteTimeoutEndsWithItsWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, kerneltest.NewNetwork(), "")
		pause := h.settings.WriteTimeout.Std() + time.Second
		const body = "whole"
		h.router.run = func(_ context.Context, _ *call.Request, sink call.Sink) error {
			_ = sink.Head(call.Head{Status: 200, Header: http.Header{"Content-Type": {"text/plain"}}})
			_ = sink.Chunk(call.Chunk{Data: []byte(body)})
			time.Sleep(pause)
			return sink.End(call.End{Length: uint64(len(body)), Digest: xxhash.Sum64String(body)})
		}
		_, got := h.send(t, http.MethodGet, "/v1/services/print/x", "", nil)
		must.Eq(t, body, got)
		time.Sleep(pause)
		resp, _ := h.send(t, http.MethodPost, "/v1/nothing", "x", nil)
		must.Eq(t, http.StatusNotFound, resp.StatusCode)
	})
}

// TestDrainingRouterAsksCallersToClose reads the answers of a router that drains: of a
// request that ran before, and of one that came later. A caller that keeps the
// connection would lose its next request at the end of the drain.
func TestDrainingRouterAsksCallersToClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, kerneltest.NewNetwork(), "")
		h.router.run = func(ctx context.Context, req *call.Request, sink call.Sink) error {
			time.Sleep(time.Second)
			return respondWith("text/event-stream", stream)(ctx, req, sink)
		}
		closes := make(chan bool, 2)
		sendChat := func() {
			resp, _ := h.send(t, http.MethodPost, chatPath, chatText, nil)
			closes <- resp.Close
		}
		go sendChat()
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- h.kernel.Drain(context.Background()) }()
		synctest.Wait()
		go sendChat()
		first, second := <-closes, <-closes
		must.NoError(t, <-drained)
		must.True(t, first)
		must.True(t, second)
	})
}
