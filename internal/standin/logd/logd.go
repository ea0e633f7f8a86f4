// Package logd is a stand-in for the platform's append-only log service.
package logd

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/zinniafork/zinniafork/internal/platform/logstream"
	"github.com/zinniafork/zinniafork/internal/standin/fault"
)

// Options shape a log service. The zero value keeps every record and takes
// any number of appends.
type Options struct {
	// Retention is the age at which records expire; zero keeps them.
	Retention time.Duration
	// AppendsPerSecond limits the appends of all callers together; those
	// above it wait.
	AppendsPerSecond float64
	// LateAppends makes an append whose answer is lost take effect this much
	// later.
	LateAppends time.Duration
}

// Server keeps streams in memory.
type Server struct {
	opt     Options
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	counts  Counts
}

// Counts is what a log service has done.
type Counts struct {
	Appends uint64 `json:"appends"`
	Records uint64 `json:"records"`
	Reads   uint64 `json:"reads"`
	// Bytes counts the data of appended records.
	Bytes uint64 `json:"bytes"`
}

type stream struct {
	// first is the offset of the oldest record that is kept.
	first   uint64
	records []logstream.Record
	changed chan struct{}
}

// New returns an empty log without limits.
func New() *Server { return NewWith(Options{}) }

// NewWith returns an empty log.
func NewWith(opt Options) *Server {
	limit := rate.Inf
	if opt.AppendsPerSecond > 0 {
		limit = rate.Limit(opt.AppendsPerSecond)
	}
	return &Server{
		opt:     opt,
		limiter: rate.NewLimiter(limit, max(1, int(opt.AppendsPerSecond/10))),
		streams: make(map[string]*stream),
	}
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
	first := st.next()
	for _, data := range records {
		st.records = append(st.records, logstream.Record{
			Offset: st.next(),
			Time:   time.Now(),
			Data:   data,
		})
		s.counts.Bytes += uint64(len(data))
	}
	s.counts.Appends++
	s.counts.Records += uint64(len(records))
	close(st.changed)
	st.changed = make(chan struct{})
	return first
}

// Expire drops the records of a stream below an offset, as retention does.
func (s *Server) Expire(name string, below uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(name).expire(func(r *logstream.Record) bool { return r.Offset < below })
}

// Records returns the records of a stream that are kept.
func (s *Server) Records(name string) []logstream.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.stream(name).records)
}

// Counts returns what the service has done.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (st *stream) next() uint64 { return st.first + uint64(len(st.records)) }

// expire drops the oldest records for which old is true.
func (st *stream) expire(old func(*logstream.Record) bool) {
	n := 0
	for n < len(st.records) && old(&st.records[n]) {
		n++
	}
	st.records = slices.Delete(st.records, 0, n)
	st.first += uint64(n)
}

func (s *Server) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	if s.opt.Retention > 0 {
		limit := time.Now().Add(-s.opt.Retention)
		st.expire(func(r *logstream.Record) bool { return r.Time.Before(limit) })
	}
	return st
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	var in logstream.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(in.Records) == 0 {
		http.Error(w, "no records", http.StatusBadRequest)
		return
	}
	if err := s.limiter.Wait(r.Context()); err != nil {
		return
	}
	if s.opt.LateAppends > 0 && fault.AnswerIsLost(w) {
		time.AfterFunc(s.opt.LateAppends, func() { s.Append(r.PathValue("stream"), in.Records...) })
		return
	}
	first := s.Append(r.PathValue("stream"), in.Records...)
	fault.WriteJSON(w, logstream.AppendResponse{First: first})
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
	fault.WriteJSON(w, s.page(r.Context(), r.PathValue("stream"), from, limit, wait))
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
	s.counts.Reads++
	st := s.stream(name)
	next := st.next()
	from = min(max(from, st.first), next)
	end := min(next, from+uint64(max(limit, 0)))
	page := logstream.Page{Earliest: st.first, Next: next}
	page.Records = append(page.Records, st.records[from-st.first:end-st.first]...)
	return page, st.changed
}
