package workerd

import (
	"net"
	"net/http"
	"strconv"
	"time"
)

// Run is one entry of the record.
type Run struct {
	Request   string `json:"request"`
	Path      string `json:"path"`
	Body      string `json:"body"`
	Query     string `json:"query,omitempty"`
	Account   string `json:"account"`
	Key       string `json:"key"`
	LastEvent string `json:"last_event"`
	// Resumes is the attempt that brought the first event, as the caller named it, and
	// Version that of the worker.
	Resumes string `json:"resumes,omitempty"`
	Version string `json:"version,omitempty"`
	// Bad is true if the response was bad by the version's fault.
	Bad bool `json:"bad,omitempty"`
	// From is the address that the request came from, without its port.
	From string `json:"from,omitempty"`
	// Prompt lists the parts of the prompt, as the caller sent them.
	Prompt    string    `json:"prompt,omitempty"`
	CacheFrom string    `json:"cache_from"`
	LeftMS    int       `json:"left_ms"`
	At        time.Time `json:"at"`
	// Ended is the time at which the worker stopped, by itself or since its
	// caller had gone.
	Ended time.Time `json:"ended"`
	// Leaving is true if the answer said that the worker is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Fault is what went wrong with the run.
	Fault Fault `json:"fault,omitempty"`
	// Limit is the limit that the answer named in requests a second, zero for none.
	Limit float64 `json:"limit,omitempty"`
}

// Refusal is a request that was refused. Pause is true if the answer asked for a pause.
type Refusal struct {
	Request string
	At      time.Time
	Pause   bool
}

// note notes a run that takes no notice of slots.
func (s *Server) note(r *http.Request, body string) *Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.noteLocked(r, body)
}

// noteLocked notes a run. The caller holds the lock.
func (s *Server) noteLocked(r *http.Request, body string) *Run {
	s.running++
	left, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms")) // zero when there is none
	run := &Run{
		Request:   r.Header.Get("X-Request-Id"),
		Path:      r.RequestURI,
		Body:      body,
		Query:     r.URL.RawQuery,
		Account:   r.Header.Get("X-Tenant"),
		Key:       r.Header.Get("Authorization"),
		LastEvent: r.Header.Get("Last-Event-Id"),
		Resumes:   r.Header.Get("Resumes"),
		Version:   s.opt.Version,
		From:      hostOf(r.RemoteAddr),
		Prompt:    r.Header.Get("X-Prompt-Prefix"),
		CacheFrom: r.Header.Get("Kv-Fetch"),
		LeftMS:    left,
		At:        time.Now(),
		Leaving:   s.fault == FaultLeaving,
		Fault:     s.fault,
		Limit:     s.limit,
	}
	s.runs = append(s.runs, run)
	return run
}

// hostOf returns an address without its port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

func (s *Server) end(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	run.Ended = time.Now()
}
