// Package logd is a stand-in for the platform's append-only log service.
package logd

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/platform/logstream"
)

// Server keeps streams in memory.
type Server struct {
	mu      sync.Mutex
	streams map[string]*stream
}

type stream struct {
	records []logstream.Record
	changed chan struct{}
}

// New returns an empty log.
func New() *Server {
	return &Server{streams: make(map[string]*stream)}
}

// Handler serves the log's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.append)
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.read)
	return mux
}

// Append adds records directly, for tests and first set-up.
func (s *Server) Append(name string, records ...[]byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	first := uint64(len(st.records))
	for _, data := range records {
		st.records = append(st.records, logstream.Record{
			Offset: uint64(len(st.records)),
			Time:   time.Now(),
			Data:   data,
		})
	}
	close(st.changed)
	st.changed = make(chan struct{})
	return first
}

func (s *Server) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	var in logstream.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	first := s.Append(r.PathValue("stream"), in.Records...)
	writeJSON(w, logstream.AppendResponse{First: first})
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		http.Error(w, "limit: "+err.Error(), http.StatusBadRequest)
		return
	}
	waitMS, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		http.Error(w, "wait_ms: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait := time.Duration(waitMS) * time.Millisecond
	writeJSON(w, s.page(r.Context(), r.PathValue("stream"), from, limit, wait))
}

// page returns the records from offset on, waiting for the first of them.
func (s *Server) page(ctx context.Context, name string, from uint64, limit int, wait time.Duration) logstream.Page {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed := s.snapshot(name, from, limit)
		if len(page.Records) > 0 {
			return page
		}
		select {
		case <-changed:
		case <-timer.C:
			return page
		case <-ctx.Done():
			return page
		}
	}
}

func (s *Server) snapshot(name string, from uint64, limit int) (logstream.Page, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	next := uint64(len(st.records))
	from = min(from, next)
	end := min(next, from+uint64(max(limit, 0)))
	page := logstream.Page{Next: next}
	page.Records = append(page.Records, st.records[from:end]...)
	return page, st.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
