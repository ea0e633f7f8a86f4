package callerapi

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/kernel"
)

// benchTokens is the number of events in the response.
const benchTokens = 100

// BenchmarkChat measures one streamed chat of 100 tokens through the caller
// interface, including the HTTP client. The router responds at once.
func BenchmarkChat(b *testing.B) {
	h := newHarness(b, kernel.SystemNetwork{}, "max_concurrent = 100000")
	event := []byte(`data: {"id":"0e4f9f3c-8b1c-4a86-9d5c-3a4c6f2b7d11-0123abcd","choices":[{"index":0,"delta":{"content":"w1234 "}}]}` + "\n\n")
	h.router.run = func(_ context.Context, _ *call.Request, sink call.Sink) error {
		_ = sink.Head(call.Head{Status: 200, Header: http.Header{"Content-Type": {"text/event-stream"}}})
		for i := range benchTokens {
			_ = sink.Chunk(call.Chunk{Offset: uint64(i * len(event)), Data: event})
		}
		return sink.End(call.End{})
	}
	body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("x", 4<<10) + `"}]}`
	b.ReportAllocs()
	for b.Loop() {
		resp := h.open(b, http.MethodPost, chatPath, body, map[string]string{HeaderChat: "c1"})
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
		_ = resp.Body.Close()
	}
}
