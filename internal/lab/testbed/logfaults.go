package testbed

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// logFaults stands before the log service and makes it slow or loses its
// answers after the effect.
type logFaults struct {
	next http.Handler

	mu    sync.Mutex
	rng   *rand.Rand
	delay time.Duration
	// lose is the share of appends whose answer is lost.
	lose float64

	appends, reads, appendBytes uint64
}

func newLogFaults(next http.Handler, seed uint64) *logFaults {
	return &logFaults{
		next: next,
		rng:  rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // faults need no secret randomness
	}
}

func (l *logFaults) set(delay time.Duration, lose float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay, l.lose = delay, lose
}

func (l *logFaults) draw() (delay time.Duration, lose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay, l.rng.Float64() < l.lose
}

func (l *logFaults) count(r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Method != http.MethodPost {
		l.reads++
		return
	}
	l.appends++
	l.appendBytes += uint64(max(r.ContentLength, 0))
}

func (l *logFaults) counts() (appends, reads, appendBytes uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads, l.appendBytes
}

// ServeHTTP serves one call.
func (l *logFaults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.count(r)
	delay, lose := l.draw()
	time.Sleep(delay)
	if !lose || r.Method != http.MethodPost {
		l.next.ServeHTTP(w, r)
		return
	}
	l.next.ServeHTTP(discard{}, r)
	panic(http.ErrAbortHandler)
}

// discard drops an answer.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

// SlowLog delays every answer of the log service; zero ends that.
func (b *Testbed) SlowLog(delay time.Duration) { b.logFaults.set(delay, 0) }

// LoseLogAnswers loses a share of the answers to appends after their effect;
// zero ends that.
func (b *Testbed) LoseLogAnswers(share float64) { b.logFaults.set(0, share) }
