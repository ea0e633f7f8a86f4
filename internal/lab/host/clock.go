package host

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// clock is the clock of one host. While the host is frozen all its calls wait.
type clock struct {
	done <-chan struct{}

	mu sync.Mutex
	// behind is the time that passed unseen while the host was frozen.
	behind     time.Duration
	frozenAt   time.Time
	clockStops bool
	// open is closed while the host runs.
	open chan struct{}
}

func newClock(done <-chan struct{}) *clock {
	c := &clock{done: done, open: make(chan struct{})}
	close(c.open)
	return c
}

func (c *clock) freeze(clockStops bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.frozenAt.IsZero() {
		return
	}
	c.frozenAt = time.Now()
	c.clockStops = clockStops
	c.open = make(chan struct{})
}

func (c *clock) thaw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozenAt.IsZero() {
		return
	}
	if c.clockStops {
		c.behind += time.Since(c.frozenAt)
	}
	c.frozenAt = time.Time{}
	close(c.open)
}

// running returns a channel that is closed while the host runs.
func (c *clock) running() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// gate waits while the host is frozen.
func (c *clock) gate() { <-c.running() }

// toReal converts a time of this clock to one of the machine's clock.
func (c *clock) toReal(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return t.Add(c.behind)
}

// Now returns the host's time.
func (c *clock) Now() time.Time {
	c.gate()
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(-c.behind)
}

// Sleep waits for d on the host's clock or for the end of ctx. On a host that
// is down it returns at once.
func (c *clock) Sleep(ctx context.Context, d time.Duration) error {
	until := c.Now().Add(d)
	for {
		left := until.Sub(c.Now())
		if left <= 0 {
			return ctx.Err()
		}
		t := time.NewTimer(left)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			c.gate()
			return ctx.Err()
		case <-c.done:
			t.Stop()
			return ErrKilled
		}
	}
}

// AfterFunc calls f after d on the host's clock.
func (c *clock) AfterFunc(d time.Duration, f func()) func() bool {
	ctx, cancel := context.WithCancel(context.Background())
	var settled atomic.Bool
	go func() {
		defer cancel()
		if c.Sleep(ctx, d) == nil && settled.CompareAndSwap(false, true) {
			f()
		}
	}()
	return func() bool {
		cancel()
		return settled.CompareAndSwap(false, true)
	}
}
