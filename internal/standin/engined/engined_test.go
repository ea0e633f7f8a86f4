package engined_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/engined"
)

const tokens = 3

func ask(t *testing.T, url string, in engined.ChatRequest) (int, string) {
	t.Helper()
	body, err := json.Marshal(in)
	must.NoError(t, err)
	resp, err := http.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(string(body)))
	must.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp.StatusCode, string(data)
}

func chat(user string, contents ...string) engined.ChatRequest {
	in := engined.ChatRequest{Model: "m", User: user}
	for _, c := range contents {
		in.Messages = append(in.Messages, engined.Message{Role: "user", Content: c})
	}
	return in
}

func TestAnswerDependsOnPromptAlone(t *testing.T) {
	in := chat("u1", "hello")
	want := engined.Answer(engined.Blocks(in.Model, in.Messages), tokens)
	for _, stream := range []bool{false, true} {
		s := engined.New(engined.Options{Tokens: tokens})
		server := httptest.NewServer(s.Handler())
		in.Stream = stream
		status, text := ask(t, server.URL, in)
		server.Close()
		must.Eq(t, http.StatusOK, status)
		for _, word := range strings.Fields(want) {
			must.StrContains(t, text, word)
		}
		must.Eq(t, "u1", s.Runs()[0].User)
		must.True(t, s.Runs()[0].Whole)
	}
	other := engined.Answer(engined.Blocks("m", []engined.Message{{Role: "user", Content: "bye"}}), tokens)
	must.NotEq(t, want, other)
}

func TestPrefixCache(t *testing.T) {
	long := strings.Repeat("x", 400)
	s := engined.New(engined.Options{Tokens: tokens, CacheTokens: 250})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	for _, in := range []engined.ChatRequest{
		chat("first", long),
		chat("same prefix", long, "more"),
		chat("other", "y"+long),
		chat("third", "z"+long),
		chat("evicted", long),
	} {
		ask(t, server.URL, in)
	}
	var cached []int
	for _, r := range s.Runs() {
		cached = append(cached, r.CachedTokens)
	}
	must.Eq(t, []int{0, 101, 0, 0, 0}, cached)
}

func TestColdEngineWarmsByCompletions(t *testing.T) {
	s := engined.New(engined.Options{Tokens: 1, Slots: 3, ColdSlots: 1})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	for range 3 {
		ask(t, server.URL, chat("u", "hello"))
	}
	s.TurnCold()
	ask(t, server.URL, chat("u", "hello"))
	var limits []int
	for _, r := range s.Runs() {
		limits = append(limits, r.Limit)
	}
	must.Eq(t, []int{1, 2, 3, 1}, limits)
}

func TestEngineOverItsLimitRefuses(t *testing.T) {
	s := engined.New(engined.Options{Tokens: 1, Slots: 3, ColdSlots: 1, Prefill: time.Hour})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	body := strings.NewReader(`{"stream":true}`)
	first, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/chat/completions", body)
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(first)
	must.NoError(t, err)
	defer resp.Body.Close()
	status, _ := ask(t, server.URL, chat("second", "hello"))
	must.Eq(t, http.StatusServiceUnavailable, status)
	run := s.Runs()[0]
	must.True(t, run.Refused)
	must.Eq(t, 2, run.Running)
	must.Eq(t, 1, run.Limit)
}
