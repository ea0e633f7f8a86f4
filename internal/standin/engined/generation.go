package engined

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/fault"
)

// generation is one request while the engine runs it, and its answer.
type generation struct {
	in          ChatRequest
	key         string
	prompt      []Block
	tokens      int
	incarnation uint64
	// run is written by the generating goroutine, once admitted.
	run Run

	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	answer   []byte
	done     bool
	complete bool
	changed  chan struct{}
	readers  int
	attached int
}

func (s *Server) newGeneration(in ChatRequest, id, key string) *generation {
	g := &generation{
		in:      in,
		key:     key,
		prompt:  Blocks(in.Model, in.Messages),
		tokens:  s.opt.Tokens,
		changed: make(chan struct{}),
		run:     Run{RequestID: id, User: in.User, Model: in.Model},
	}
	if in.MaxTokens > 0 {
		g.tokens = in.MaxTokens
	}
	g.ctx, g.cancel = context.WithCancel(s.ctx)
	return g
}

// begin starts the record of a request that counts as running. The caller
// holds the lock.
func (s *Server) begin(g *generation) {
	g.incarnation = s.incarnation
	g.run.Started = time.Now()
	g.run.PromptTokens = promptTokens(g.prompt)
	g.run.Running = s.batch.running
	g.run.Limit = s.batch.limit
	g.run.Cold = s.batch.cold()
	g.run.Refused = s.batch.overloaded()
	if !g.run.Refused {
		g.run.CachedTokens = s.store(g.key, g.prompt)
		s.activate(g)
	}
	s.noteLoad()
}

// leave takes a request off the batch and records it. The caller holds the
// lock.
func (s *Server) leave(g *generation) {
	g.run.Ended = time.Now()
	s.batch.leave(g.run.Whole)
	if g.run.Whole {
		s.store(g.key, answered(g))
	}
	s.runs = append(s.runs, g.run)
	s.noteLoad()
}

// answered returns the prompt with the answer as its last message, as the
// next turn of the chat will send it.
func answered(g *generation) []Block {
	answer := Message{Role: "assistant", Content: Answer(g.prompt, g.tokens)}
	return Blocks(g.in.Model, append(append([]Message(nil), g.in.Messages...), answer))
}

// generate produces the answer, token by token, until it is whole or nobody
// wants it.
func (s *Server) generate(g *generation) {
	missing := g.run.PromptTokens - g.run.CachedTokens
	base := s.opt.Prefill + time.Duration(missing)*s.opt.PrefillPerToken
	g.run.Whole = true
	for i := range g.tokens {
		if !fault.Sleep(g.ctx, s.step(base)) {
			g.run.Whole = false
			break
		}
		if i == 0 {
			g.run.FirstToken = time.Now()
		}
		if g.in.Stream {
			g.write(event(g, Word(g.prompt, i)))
		}
		base = s.opt.PerToken
	}
	if g.run.Whole {
		g.write(closing(g))
	}
	s.mu.Lock()
	s.leave(g)
	s.mu.Unlock()
	g.finish(g.run.Whole)
	time.AfterFunc(s.opt.ResumeGrace, func() { s.drop(g) })
}

// drop forgets an answer that is not kept any more.
func (s *Server) drop(g *generation) {
	g.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deactivate(g)
}

// activate makes the engine report the progress of a request. The caller holds the
// lock.
func (s *Server) activate(g *generation) {
	if g.run.RequestID != "" {
		s.active[g.run.RequestID] = g
	}
}

// deactivate ends the reports. The caller holds the lock.
func (s *Server) deactivate(g *generation) {
	if s.active[g.run.RequestID] == g {
		delete(s.active, g.run.RequestID)
	}
}

func (s *Server) step(base time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.batch.step(base)
}

// event returns the server-sent event of one token.
func event(g *generation, word string) []byte {
	return fmt.Appendf(nil, `data: {"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{"content":%q}}]}`+"\n\n",
		g.run.RequestID, g.in.Model, word)
}

// closing returns what ends the answer: the last event of a stream, or the
// whole document.
func closing(g *generation) []byte {
	if g.in.Stream {
		return []byte("data: [DONE]\n\n")
	}
	type choice struct {
		Index        int     `json:"index"`
		Message      Message `json:"message"`
		FinishReason string  `json:"finish_reason"`
	}
	out := struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
	}{
		ID:     g.run.RequestID,
		Object: "chat.completion",
		Model:  g.in.Model,
		Choices: []choice{{
			Message:      Message{Role: "assistant", Content: Answer(g.prompt, g.tokens)},
			FinishReason: "stop",
		}},
	}
	var text strings.Builder
	_ = json.NewEncoder(&text).Encode(out) // strings encode without errors
	return []byte(text.String())
}

func (g *generation) write(p []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answer = append(g.answer, p...)
	g.notify()
}

func (g *generation) finish(whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.done, g.complete = true, whole
	g.notify()
}

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// read returns the answer from an offset on, whether it has ended, and a
// channel that is closed when it has changed.
func (g *generation) read(from uint64) (part []byte, ended bool, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if from < uint64(len(g.answer)) {
		part = g.answer[from:]
	}
	return part, g.done, g.changed
}

func (g *generation) length() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return uint64(len(g.answer))
}

func (g *generation) ended() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.done
}

func (g *generation) whole() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.complete
}

func (g *generation) attach() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers++
	g.attached++
}

// detach returns the number of readers that are left.
func (g *generation) detach() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers--
	return g.readers
}

// attachments counts the readers that there have been.
func (g *generation) attachments() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attached
}
