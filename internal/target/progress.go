package target

import (
	"context"
	"sync"
	"time"
)

// progress watches one response for silence.
type progress struct {
	watch    *Watch
	ctx      context.Context
	cancel   context.CancelCauseFunc
	mu       sync.Mutex
	received uint64
	// lastAt is the time of the last bytes, or of the start.
	lastAt time.Time
	// doubted is true when a check has failed and nothing has come since.
	doubted  bool
	answered bool
	ended    bool
	timer    func() bool
}

// watch starts to watch a response that begins at h.Offset.
func (h *HTTPRun) watch(ctx context.Context, cancel context.CancelCauseFunc) *progress {
	p := &progress{watch: h.Watch, ctx: ctx, cancel: cancel, received: h.Offset}
	if p.watch == nil {
		return p
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAt = p.watch.Clock.Now()
	p.arm(p.limit())
	return p
}

// limit returns the silence after which the target is checked.
func (p *progress) limit() time.Duration {
	if p.answered {
		return p.watch.Progress
	}
	return p.watch.Progress / firstCheckShare
}

// arm starts the timer; the caller holds the lock.
func (p *progress) arm(wait time.Duration) {
	if !p.ended {
		p.timer = p.watch.Clock.AfterFunc(wait, p.check)
	}
}

// firstCheckShare is the share of the progress time after which a request
// without an answer is looked into. An idle connection that had gone silent
// shows there first. A check that has failed is repeated after the same time.
const firstCheckShare = 4

// note tells that n bytes of the body, or the header, have come.
func (p *progress) note(n int) {
	if p.watch == nil {
		return
	}
	now := p.watch.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received += uint64(n)
	p.lastAt = now
	p.answered, p.doubted = true, false
}

func (p *progress) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	if p.timer != nil {
		p.timer()
		p.timer = nil
	}
}

// check runs when the progress time may have passed. Without any progress it asks
// whether the target is alive. It cancels the request when a second check fails as well
// and nothing has come since the first: an engine that was paused answers the check and
// goes on with the response at the same moment, and one failed check shows little.
func (p *progress) check() {
	now := p.watch.Clock.Now()
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		return
	}
	if wait := p.limit() - now.Sub(p.lastAt); wait > 0 {
		p.arm(wait)
		p.mu.Unlock()
		return
	}
	received, lastAt := p.received, p.lastAt
	p.mu.Unlock()
	alive := p.alive(received)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.ended:
	case alive || p.lastAt.After(lastAt):
		p.doubted = false
		p.arm(p.limit())
	case !p.doubted:
		p.doubted = true
		p.arm(p.watch.Progress / firstCheckShare)
	default:
		p.cancel(ErrSilent)
	}
}

func (p *progress) alive(received uint64) bool {
	if p.watch.Alive == nil {
		return false
	}
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	stop := p.watch.Clock.AfterFunc(p.watch.Progress/2, cancel)
	defer stop()
	return p.watch.Alive(ctx, received)
}
