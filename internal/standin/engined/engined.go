// Package engined is a stand-in for a model engine.
package engined

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Options shape an engine.
type Options struct {
	Name string
	// Slots is the number of requests that the engine bears at once.
	Slots int
	// Prefill is the time before the first token; PerToken between tokens.
	Prefill  time.Duration
	PerToken time.Duration
	// Tokens is the length of an answer.
	Tokens int
}

// Run is one entry of the engine's own record of what it ran.
type Run struct {
	RequestID string    `json:"request_id"`
	Started   time.Time `json:"started"`
	Ended     time.Time `json:"ended"`
	Whole     bool      `json:"whole"`
}

// Server is one engine.
type Server struct {
	opt Options

	mu   sync.Mutex
	runs []Run
}

// New returns an engine.
func New(opt Options) *Server { return &Server{opt: opt} }

// Runs returns the engine's record.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Handler serves the chat-completions API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.chat)
	return mux
}

type chatRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	var in chatRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run := Run{RequestID: r.Header.Get("X-Request-Id"), Started: time.Now()}
	defer func() {
		run.Ended = time.Now()
		s.mu.Lock()
		s.runs = append(s.runs, run)
		s.mu.Unlock()
	}()
	run.Whole = s.stream(w, r, in, run.RequestID)
}

// stream writes the answer and reports whether all of it was written.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, in chatRequest, id string) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	if !sleep(r, s.opt.Prefill) {
		return false
	}
	for i := range s.opt.Tokens {
		if i > 0 && !sleep(r, s.opt.PerToken) {
			return false
		}
		event := fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{"content":"w%d "}}]}`, id, in.Model, i)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", event); err != nil {
			return false
		}
		if err := flush(); err != nil {
			return false
		}
	}
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	return err == nil
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
