package reuse_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/lab/check/reuse"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func request(s int, hashes ...uint64) history.Request {
	r := history.Request{Intended: start.Add(time.Duration(s) * time.Second)}
	for _, hash := range hashes {
		r.Prompt = append(r.Prompt, history.Block{Hash: hash, Tokens: 10})
	}
	return r
}

func TestMeasure(t *testing.T) {
	h := &history.History{EngineRuns: []history.EngineRun{
		{PromptTokens: 100, CachedTokens: 25},
		{PromptTokens: 100, CachedTokens: 75},
		{PromptTokens: 100, Refused: true},
	}}
	must.Eq(t, 0.5, reuse.Measure(h))
	must.Eq(t, 0, reuse.Measure(new(history.History)))
}

func TestOracle(t *testing.T) {
	h := &history.History{Requests: []history.Request{
		request(3, 1, 2, 4), request(1, 1), request(2, 1, 2),
	}}
	must.Eq(t, 30.0/60, reuse.Oracle(h, 1000))
	// A block that was pushed out is not found again.
	h = &history.History{Requests: []history.Request{request(1, 1), request(2, 2), request(3, 1)}}
	must.Eq(t, 0, reuse.Oracle(h, 10))
	must.Eq(t, 1.0/3, reuse.Oracle(h, 20))
	// The answer of a turn is part of the next turn's prompt.
	first := request(1, 1)
	first.Reply = history.Block{Hash: 2, Tokens: 10}
	h = &history.History{Requests: []history.Request{first, request(2, 1, 2, 3)}}
	must.Eq(t, 20.0/40, reuse.Oracle(h, 1000))
}
