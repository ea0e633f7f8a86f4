package workerd

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Badness is how the responses of a bad version are bad.
type Badness struct {
	// Share is the share of bad responses.
	Share float64
	// Slowness is the ratio of their time to the usual one, zero for responses that fail.
	Slowness float64
	// From is the time from which on they are.
	From time.Time
	// Above is the number of running requests above which they are.
	Above int
	// Route is the only route that shows it, empty for all.
	Route string
	// Seed makes the draws repeatable.
	Seed uint64
}

// badState draws the bad responses of a worker.
type badState struct {
	Badness
	rng *rand.Rand
}

// SetBad makes the worker one of a bad version.
func (s *Server) SetBad(b Badness) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bad = &badState{Badness: b, rng: rand.New(rand.NewPCG(b.Seed, 0))}
}

// slownessKey is the key of the slowness in the context of a request.
type slownessKey struct{}

// worsen decides whether a run is bad. It returns the request with its slowness, and whether it
// fails.
func (s *Server) worsen(r *http.Request, run *Run) (*http.Request, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bad
	if b == nil || run.At.Before(b.From) || s.running <= b.Above || b.Route != "" && !strings.HasPrefix(run.Path, "/"+b.Route+"/") {
		return r, false
	}
	if b.rng.Float64() >= b.Share {
		return r, false
	}
	run.Bad = true
	if b.Slowness == 0 {
		return r, true
	}
	return r.WithContext(context.WithValue(r.Context(), slownessKey{}, b.Slowness)), false
}

// slowness returns the ratio of the time of a request to the usual one.
func slowness(r *http.Request) float64 {
	if out, ok := r.Context().Value(slownessKey{}).(float64); ok {
		return out
	}
	return 1
}

// failBadly answers with an error of the version's own.
func (s *Server) failBadly(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Response-Stamp", "stamp-"+s.opt.ID)
	s.work(r)
	w.WriteHeader(http.StatusInternalServerError)
}
