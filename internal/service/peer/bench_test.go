package peer

import (
	"bytes"
	"context"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
)

// Shape of a benchmarked chat.
const (
	benchTokens     = 100
	benchTokenBytes = 160
	benchPrompt     = 4 << 10
)

// streamed answers with tokens one by one.
func streamed(_ context.Context, _ fleet.VM, req *call.Request, sink call.Sink) error {
	token := bytes.Repeat([]byte("x"), benchTokenBytes)
	digest := xxhash.New()
	if err := sink.Head(call.Head{Attempt: req.Attempt, Status: 200}); err != nil {
		return err
	}
	for i := range benchTokens {
		_, _ = digest.Write(token)
		if err := sink.Chunk(call.Chunk{Attempt: req.Attempt, Offset: uint64(i * benchTokenBytes), Data: token}); err != nil {
			return err
		}
	}
	return sink.End(call.End{Attempt: req.Attempt, Length: benchTokens * benchTokenBytes, Digest: digest.Sum64()})
}

type discard struct{}

func (discard) Head(call.Head) error   { return nil }
func (discard) Chunk(call.Chunk) error { return nil }
func (discard) End(call.End) error     { return nil }

func benchPair(b *testing.B) (*router, *router) {
	one := startRouter(b, "a", kernel.SystemNetwork{}, "", nil)
	two := startRouter(b, "b", kernel.SystemNetwork{}, "", func(s *Service) {
		s.HandleCall(KindRun, streamed)
		s.HandleQuery(KindLease, func(_ context.Context, _ fleet.VM, p []byte) ([]byte, error) { return p, nil })
	})
	introduceAll(b, one, two)
	return one, two
}

// BenchmarkCall is one chat of 100 tokens between two routers.
func BenchmarkCall(b *testing.B) {
	one, _ := benchPair(b)
	req := &call.Request{ID: "0e4f9f3c-8b1c-4a86-9d5c-3a4c6f2b7d11-0123abcd", Attempt: 1, Body: make([]byte, benchPrompt)}
	b.ReportAllocs()
	for b.Loop() {
		if err := one.Call(b.Context(), "b", KindRun, req, discard{}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCallParallel is the same with many chats at once.
func BenchmarkCallParallel(b *testing.B) {
	one, _ := benchPair(b)
	b.ReportAllocs()
	b.SetParallelism(32)
	b.RunParallel(func(p *testing.PB) {
		req := &call.Request{ID: "0e4f9f3c-8b1c-4a86-9d5c-3a4c6f2b7d11-0123abcd", Attempt: 1, Body: make([]byte, benchPrompt)}
		for p.Next() {
			if err := one.Call(b.Context(), "b", KindRun, req, discard{}); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkQuery is one question and its answer.
func BenchmarkQuery(b *testing.B) {
	one, _ := benchPair(b)
	payload := make([]byte, 64)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := one.Query(b.Context(), "b", KindLease, payload); err != nil {
			b.Fatal(err)
		}
	}
}
