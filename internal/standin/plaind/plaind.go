// Package plaind is a stand-in for one worker of a plain service.
package plaind

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Run is one entry of the worker's own record of what it ran.
type Run struct {
	RequestID string    `json:"request_id"`
	Key       string    `json:"key"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Body      string    `json:"body"`
	At        time.Time `json:"at"`
}

// Server is one worker.
type Server struct {
	name string

	mu   sync.Mutex
	runs []Run
}

// New returns a worker.
func New(name string) *Server { return &Server{name: name} }

// Runs returns the worker's record.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Handler runs any call.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		run := Run{
			RequestID: r.Header.Get("X-Request-Id"),
			Key:       r.Header.Get("Idempotency-Key"),
			Method:    r.Method,
			Path:      r.URL.Path,
			Body:      string(body),
			At:        time.Now(),
		}
		s.mu.Lock()
		s.runs = append(s.runs, run)
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]string{"worker": s.name, "key": run.Key, "echo": run.Body})
	})
}
