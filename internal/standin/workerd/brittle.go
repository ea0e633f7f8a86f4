package workerd

import (
	"net/http"
	"strconv"
	"time"
)

// brittleness is the state of a worker that falls over when it has to turn too many
// requests away.
type brittleness struct {
	// names is true while the answers say that the worker is brittle, and limit is the
	// number of requests that it may turn away in a second.
	names bool
	limit int
	// rejected holds the times of the last rejections, falls those at which it fell over.
	rejected []time.Time
	falls    []time.Time
}

// SetBrittle lets the worker say that it is brittle, and fall over when it turns more than
// limit requests away in a second. It is back after Options.Restart.
func (s *Server) SetBrittle(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brittle.names, s.brittle.limit, s.brittle.rejected = true, limit, nil
}

// SetSturdy ends SetBrittle.
func (s *Server) SetSturdy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brittle.names = false
}

// Falls returns the times at which the worker fell over.
func (s *Server) Falls() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.brittle.falls...)
}

// nameBrittle says that the worker is brittle, if it is.
func (s *Server) nameBrittle(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.brittle.names {
		h.Set("Server-Brittle", strconv.Itoa(s.brittle.limit))
	}
}

// fallOver records that a request was turned away, and crashes the worker if there were
// too many in a second.
func (s *Server) fallOver() {
	s.mu.Lock()
	b := &s.brittle
	now := time.Now()
	b.rejected = append(b.rejected, now)
	for len(b.rejected) > 0 && now.Sub(b.rejected[0]) > time.Second {
		b.rejected = b.rejected[1:]
	}
	falls := b.names && len(b.rejected) > b.limit
	s.mu.Unlock()
	if falls {
		s.FallOver()
		panic(http.ErrAbortHandler)
	}
}

// FallOver makes the worker fall over now.
func (s *Server) FallOver() {
	s.mu.Lock()
	s.brittle.falls, s.brittle.rejected = append(s.brittle.falls, time.Now()), nil
	s.mu.Unlock()
	s.crash()
}
