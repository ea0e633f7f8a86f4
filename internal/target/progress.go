package target

import (
	"context"
	"sync"
)

// progress watches one response for silence.
type progress struct {
	watch    *Watch
	ctx      context.Context
	cancel   context.CancelCauseFunc
	mu       sync.Mutex
	received uint64
	moved    bool
	answered bool
	ended    bool
	timer    func() bool
}

// watch starts to watch a response that begins at h.Offset.
func (h *HTTPRun) watch(ctx context.Context, cancel context.CancelCauseFunc) *progress {
	p := &progress{watch: h.Watch, ctx: ctx, cancel: cancel, received: h.Offset}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arm()
	return p
}

// arm starts the timer; the caller holds the lock.
func (p *progress) arm() {
	if p.watch == nil || p.ended {
		return
	}
	wait := p.watch.Progress
	if !p.answered {
		wait /= firstCheckShare
	}
	p.timer = p.watch.Clock.AfterFunc(wait, p.check)
}

// firstCheckShare is the share of the progress time after which a request
// without an answer is looked into. An idle connection that had gone silent
// shows there first.
const firstCheckShare = 4

// note tells that n bytes of the body, or the header, have come.
func (p *progress) note(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received += uint64(n)
	p.moved, p.answered = true, true
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

// check runs when the progress time has passed. Without any progress it asks
// whether the target is alive, and cancels the request when it is not.
func (p *progress) check() {
	p.mu.Lock()
	moved, ended, received := p.moved, p.ended, p.received
	p.moved = false
	p.mu.Unlock()
	if ended {
		return
	}
	if !moved && !p.alive(received) {
		p.cancel(ErrSilent)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arm()
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
