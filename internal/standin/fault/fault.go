// Package fault makes stand-ins fail on demand, in the ways that the platform
// and targets do.
package fault

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/config"
)

// Plan is the faults of one stand-in. The zero value is none.
type Plan struct {
	// Delay and Jitter hold each request up before it is handled.
	Delay  config.Duration `json:"delay,omitempty" help:"Time that each request waits before it is handled." default:"0s"`
	Jitter config.Duration `json:"jitter,omitempty" help:"Most of a random time on top of the delay." default:"0s"`
	// LoseAnswers is the share of requests that take effect while their answer
	// is lost.
	LoseAnswers float64 `json:"lose_answers,omitempty" help:"Share of requests that take effect while their answer is lost." default:"0"`
	// Refuse is the share of requests that are answered with status 500 and
	// have no effect.
	Refuse float64 `json:"refuse,omitempty" help:"Share of requests that fail without effect." default:"0"`
	// Outage closes each connection without handling the request.
	Outage bool `json:"outage,omitempty" help:"Close every connection without handling its request."`
	// CutAfterBytes cuts answers that are longer; zero cuts none.
	CutAfterBytes int `json:"cut_after_bytes,omitempty" help:"Cut answers off after this many bytes." default:"0"`
	// Cuts limits the number of answers that are cut; zero means no limit.
	Cuts int `json:"cuts,omitempty" help:"Cut this many answers and no more; 0 means no limit." default:"0"`
	// FlapUp and FlapDown alternate service and outage.
	FlapUp   config.Duration `json:"flap_up,omitempty" help:"Time in service while flapping." default:"0s"`
	FlapDown config.Duration `json:"flap_down,omitempty" help:"Time of each outage while flapping; 0s means no flapping." default:"0s"`
}

// Injector applies a plan to the handler and the connections of a stand-in.
type Injector struct {
	mu    sync.Mutex
	rand  *rand.Rand
	plan  Plan
	since time.Time
	cuts  int
	conns map[*conn]struct{}
}

// New returns an injector without faults. Random choices come from seed.
func New(seed uint64) *Injector {
	return &Injector{
		rand:  rand.New(rand.NewPCG(seed, seed)),
		since: time.Now(),
		conns: make(map[*conn]struct{}),
	}
}

// Set replaces the plan.
func (i *Injector) Set(p Plan) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.plan, i.since, i.cuts = p, time.Now(), 0
}

// Plan returns the plan.
func (i *Injector) Plan() Plan {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.plan
}

// choice is what happens to one request.
type choice struct {
	delay  time.Duration
	down   bool
	refuse bool
	lose   bool
	cut    int
}

func (i *Injector) choose() choice {
	i.mu.Lock()
	defer i.mu.Unlock()
	p := i.plan
	c := choice{
		delay:  p.Delay.Std(),
		down:   p.Outage || i.flappedDown(),
		refuse: i.happens(p.Refuse),
		lose:   i.happens(p.LoseAnswers),
	}
	if p.Jitter > 0 {
		c.delay += time.Duration(i.rand.Int64N(int64(p.Jitter)))
	}
	if p.CutAfterBytes > 0 && (p.Cuts == 0 || i.cuts < p.Cuts) {
		c.cut = p.CutAfterBytes
	}
	return c
}

func (i *Injector) flappedDown() bool {
	up, down := i.plan.FlapUp.Std(), i.plan.FlapDown.Std()
	return down > 0 && time.Since(i.since)%(up+down) >= up
}

// happens draws a chance; the caller holds the lock.
func (i *Injector) happens(share float64) bool { return share > 0 && i.rand.Float64() < share }

// Wrap returns a handler with the faults of the plan in front.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := i.choose()
		if !Sleep(r.Context(), c.delay) || c.down {
			panic(http.ErrAbortHandler)
		}
		if c.refuse {
			http.Error(w, "fault: refused", http.StatusInternalServerError)
			return
		}
		if c.lose {
			next.ServeHTTP(&lostAnswer{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		if c.cut > 0 {
			w = &cutAnswer{ResponseWriter: w, left: c.cut, cut: i.countCut}
		}
		next.ServeHTTP(w, r)
	})
}

func (i *Injector) countCut() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cuts++
}

// lostAnswer takes an answer that nobody receives.
type lostAnswer struct{ header http.Header }

func (l *lostAnswer) Header() http.Header       { return l.header }
func (*lostAnswer) Write(p []byte) (int, error) { return len(p), nil }
func (*lostAnswer) WriteHeader(int)             {}
func (*lostAnswer) Flush()                      {}

// AnswerIsLost reports whether nobody will receive what is written to w.
func AnswerIsLost(w http.ResponseWriter) bool {
	_, lost := w.(*lostAnswer)
	return lost
}

// cutAnswer ends the connection after a number of bytes.
type cutAnswer struct {
	http.ResponseWriter
	left int
	cut  func()
}

func (c *cutAnswer) Unwrap() http.ResponseWriter { return c.ResponseWriter }

func (c *cutAnswer) Write(p []byte) (int, error) {
	if len(p) <= c.left {
		c.left -= len(p)
		return c.ResponseWriter.Write(p)
	}
	_, _ = c.ResponseWriter.Write(p[:c.left])
	_ = http.NewResponseController(c.ResponseWriter).Flush()
	c.cut()
	panic(http.ErrAbortHandler)
}

// Sleep waits for d and reports whether ctx lasted that long.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
