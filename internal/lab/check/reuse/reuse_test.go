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

func TestUnlimited(t *testing.T) {
	h := &history.History{Requests: []history.Request{
		request(3, 1, 2, 4), request(1, 1), request(2, 1, 2),
	}}
	must.Eq(t, 30.0/60, reuse.Unlimited(h, 1000))
	// A block that was pushed out is not found again.
	h = &history.History{Requests: []history.Request{request(1, 1), request(2, 2), request(3, 1)}}
	must.Eq(t, 0, reuse.Unlimited(h, 10))
	must.Eq(t, 1.0/3, reuse.Unlimited(h, 20))
	// The answer of a turn is part of the next turn's prompt.
	first := request(1, 1)
	first.Reply = history.Block{Hash: 2, Tokens: 10}
	h = &history.History{Requests: []history.Request{first, request(2, 1, 2, 3)}}
	must.Eq(t, 20.0/40, reuse.Unlimited(h, 1000))
}

// ran is a run of the request with the ID from one second to another.
func ran(id string, from, to int) history.EngineRun {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	return history.EngineRun{Request: id, Started: at(from), Ended: at(to)}
}

func TestOracle(t *testing.T) {
	up := []history.Span{{From: start}}
	h := &history.History{Engines: []history.Engine{
		{Target: "a", Slots: 4, Up: up},
		{Target: "b", Slots: 4, Up: up},
	}}
	for i, hashes := range [][]uint64{{1}, {2}, {1, 3}, {2, 4}} {
		r := request(i, hashes...)
		r.ID = string(rune('k' + i))
		h.Requests = append(h.Requests, r)
	}
	// One after another: each return finds its engine.
	h.EngineRuns = []history.EngineRun{ran("k", 0, 1), ran("l", 2, 3), ran("m", 4, 5), ran("n", 6, 7)}
	must.Eq(t, 20.0/60, reuse.Oracle(h, 1000, 1.25))
	// The same prefix three times at once: the bound lets an engine run two.
	for i := range h.Requests {
		h.Requests[i].Prompt = h.Requests[0].Prompt
	}
	h.EngineRuns = []history.EngineRun{ran("k", 0, 1), ran("l", 2, 9), ran("m", 3, 9), ran("n", 4, 9)}
	must.Eq(t, 20.0/40, reuse.Oracle(h, 1000, 1.25))
	// A cache is lost with its engine.
	h.EngineRuns = []history.EngineRun{ran("k", 0, 1), ran("l", 4, 5)}
	must.Eq(t, 10.0/20, reuse.Oracle(h, 1000, 1.25))
	h.Engines[0].TurnedCold = []time.Time{start.Add(2 * time.Second)}
	must.Eq(t, 0, reuse.Oracle(h, 1000, 1.25))
}
