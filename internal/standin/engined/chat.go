package engined

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// generation is one request while the engine runs it.
type generation struct {
	run    Run
	in     ChatRequest
	prompt []Block
	tokens int
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	in, err := decode(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g := s.begin(in, r.Header.Get("X-Request-Id"))
	if g.run.Refused {
		s.end(g)
		http.Error(w, "engine is overloaded", http.StatusServiceUnavailable)
		return
	}
	if in.Stream {
		g.run.Whole = s.stream(w, r, g)
	} else {
		g.run.Whole = s.answer(w, r, g)
	}
	s.end(g)
}

// begin admits a request into the batch. An engine that is over its limit
// refuses it and slows down all others.
func (s *Server) begin(in ChatRequest, id string) *generation {
	g := &generation{in: in, prompt: Blocks(in.Model, in.Messages), tokens: s.opt.Tokens}
	if in.MaxTokens > 0 {
		g.tokens = in.MaxTokens
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.running++
	g.run = Run{
		RequestID:    id,
		User:         in.User,
		Model:        in.Model,
		Started:      time.Now(),
		PromptTokens: promptTokens(g.prompt),
		Running:      s.batch.running,
		Limit:        s.batch.limit,
		Cold:         s.batch.cold(),
		Refused:      s.batch.overloaded(),
	}
	if !g.run.Refused {
		g.run.CachedTokens = s.cache.use(g.prompt)
	}
	return g
}

// end takes the request off the batch and records it.
func (s *Server) end(g *generation) {
	g.run.Ended = time.Now()
	s.mu.Lock()
	s.batch.running--
	if g.run.Whole {
		s.batch.complete()
		s.cache.use(answered(g))
	}
	s.mu.Unlock()
	s.record(g.run)
}

// answered returns the prompt with the answer as its last message, as the
// next turn of the chat will send it.
func answered(g *generation) []Block {
	answer := Message{Role: "assistant", Content: Answer(g.prompt, g.tokens)}
	return Blocks(g.in.Model, append(append([]Message(nil), g.in.Messages...), answer))
}

// generate calls emit for each token at its time and reports whether all of
// them were emitted.
func (s *Server) generate(r *http.Request, g *generation, emit func(i int, word string) error) bool {
	missing := g.run.PromptTokens - g.run.CachedTokens
	base := s.opt.Prefill + time.Duration(missing)*s.opt.PrefillPerToken
	for i := range g.tokens {
		if !sleep(r, s.step(base)) {
			return false
		}
		if i == 0 {
			g.run.FirstToken = time.Now()
		}
		if err := emit(i, Word(g.prompt, i)); err != nil {
			return false
		}
		base = s.opt.PerToken
	}
	return true
}

func (s *Server) step(base time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.batch.step(base)
}

// stream writes the answer as server-sent events and reports whether all of
// it was written.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, g *generation) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	if flush() != nil {
		return false
	}
	whole := s.generate(r, g, func(_ int, word string) error {
		event := fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{"content":%q}}]}`, g.run.RequestID, g.in.Model, word)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", event); err != nil {
			return err
		}
		return flush()
	})
	if !whole {
		return false
	}
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	return err == nil
}

// answer writes the answer as one JSON document.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, g *generation) bool {
	var text strings.Builder
	whole := s.generate(r, g, func(_ int, word string) error {
		text.WriteString(word)
		return nil
	})
	if !whole {
		return false
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
			Message:      Message{Role: "assistant", Content: text.String()},
			FinishReason: "stop",
		}},
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(out) == nil
}

func sleep(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
