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

// benchTokens is the length of a benchmarked answer.
const benchTokens = 100

// BenchmarkChat is one streamed chat of 100 tokens at the caller interface,
// its HTTP client included, with a router that answers at once.
func BenchmarkChat(b *testing.B) {
	bench := newBench(b, kernel.SystemNetwork{}, "max_concurrent = 100000")
	event := []byte(`data: {"id":"0e4f9f3c-8b1c-4a86-9d5c-3a4c6f2b7d11-0123abcd","choices":[{"index":0,"delta":{"content":"w1234 "}}]}` + "\n\n")
	bench.router.run = func(_ context.Context, _ *call.Request, sink call.Sink) error {
		_ = sink.Head(call.Head{Status: 200, Header: http.Header{"Content-Type": {"text/event-stream"}}})
		for i := range benchTokens {
			_ = sink.Chunk(call.Chunk{Offset: uint64(i * len(event)), Data: event})
		}
		return sink.End(call.End{})
	}
	body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("x", 4<<10) + `"}]}`
	b.ReportAllocs()
	for b.Loop() {
		resp := bench.open(b, http.MethodPost, chatPath, body, map[string]string{HeaderChat: "c1"})
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
		_ = resp.Body.Close()
	}
}
