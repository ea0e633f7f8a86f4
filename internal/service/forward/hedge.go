package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/attempt"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/kernel"
)

const (
	// streamIdleTimeout is the time without an event after which a target counts as
	// silent. Callers give up after two seconds or more.
	streamIdleTimeout = 1200 * time.Millisecond
	// hedgeTimeoutFactor times the time for the first byte is the time after which a
	// request whose hedge is silent as well is given up, unless its response has begun:
	// a retry of the caller's may find a target that responds.
	hedgeTimeoutFactor = 2
	// maxHedgeOverlap is the time from the head of a hedge's response to the end of the
	// silent send of a stream. The platform allows two targets at work on a stream for
	// 400 ms.
	maxHedgeOverlap = 250 * time.Millisecond
)

// silenceTimer starts a hedge when the target of a send has sent nothing for too
// long. It ends nothing by itself, and is disabled for requests that are not
// idempotent.
type silenceTimer struct {
	clock    kernel.Clock
	onSilent func()

	mu        sync.Mutex
	stopTimer func() bool
	disabled  bool
}

// startSilenceTimer starts the timer for a send, which waits for its first byte or, if
// its head is there, for its first event. Hedges end with ctx.
func (r *request) startSilenceTimer(ctx context.Context, s *send) *silenceTimer {
	t := &silenceTimer{clock: r.s.clock, disabled: !r.route.Idempotent()}
	t.onSilent = func() { r.silent(ctx, s, t) }
	if s.resp != nil && r.headSent {
		t.reset(streamIdleTimeout)
	} else {
		t.reset(r.firstByteTimeout())
	}
	return t
}

// firstByteTimeout returns the time without a first byte after which a target counts
// as silent.
func (r *request) firstByteTimeout() time.Duration {
	return r.route.FirstByteTimeout()
}

// reset restarts the timer with a new duration.
func (t *silenceTimer) reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.disabled {
		return
	}
	if t.stopTimer != nil {
		t.stopTimer()
	}
	t.stopTimer = t.clock.AfterFunc(d, t.onSilent)
}

// pause stops the timer until the next reset. A caller that reads slowly holds up the
// router, and is no silence of the target.
func (t *silenceTimer) pause() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopTimer != nil {
		t.stopTimer()
	}
}

// stop disables the timer for good.
func (t *silenceTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.disabled = true
	if t.stopTimer != nil {
		t.stopTimer()
	}
}

// hedge is a send to another target while the current one is silent.
type hedge struct {
	cancel context.CancelFunc
	// ended receives the send whose response takes over, nil if there is none. It
	// receives once unless the hedge is dropped before.
	ended chan *send
	// won is set once a response takes over, dropped once none is wanted any more.
	// Both are guarded by request.mu.
	won, dropped bool
}

// silent handles the silence of a send: the request is hedged if it may be, and the
// send goes on.
func (r *request) silent(ctx context.Context, s *send, timer *silenceTimer) {
	r.observeSilence(s)
	h := &hedge{ended: make(chan *send, 1)}
	ctx, cancel := context.WithCancel(ctx)
	h.cancel = cancel
	r.mu.Lock()
	// The timer may have fired just before it was stopped. Only a stream can be replaced
	// once it has begun.
	begun := r.headSent && r.route.Kind != routing.Stream
	if begun || r.hedge != nil || s.ctx.Err() != nil {
		r.mu.Unlock()
		cancel()
		return
	}
	r.hedge = h
	r.mu.Unlock()
	if !r.endHedge(h, s, r.sendHedge(ctx, h, s)) {
		cancel()
		timer.reset(streamIdleTimeout)
	}
}

// sendHedge sends the request to other targets, one after the other, until one
// responds, and returns that send. It returns nil if none may get the request.
func (r *request) sendHedge(ctx context.Context, h *hedge, silent *send) (out *send) {
	defer func() {
		if p := recover(); p != nil {
			r.s.logger.WithFields(logrus.Fields{"request": r.ID, "panic": p, "stack": string(debug.Stack())}).Error("Hedge failed.")
			out = nil
		}
	}()
	for ctx.Err() == nil && silent.ctx.Err() == nil {
		r.s.site.AwaitCurrent(ctx)
		s := r.chooseHedge(ctx, h)
		if s == nil {
			return nil
		}
		s.open(ctx)
		stop := r.s.clock.AfterFunc(hedgeTimeoutFactor*r.firstByteTimeout(), func() { r.giveUp(silent, s) })
		responded := r.respondsUsably(s)
		stop()
		if responded && r.secured(h, silent, s) {
			return s
		}
		s.cancel(nil)
	}
	return nil
}

// chooseHedge starts the next send of a hedge. It returns nil if there is no target or
// the request may not be sent again.
func (r *request) chooseHedge(ctx context.Context, h *hedge) *send {
	now := r.s.clock.Now()
	if r.isolated() {
		return nil
	}
	r.mu.Lock()
	allowed := !h.dropped && r.machine.MayHedge(r.remaining())
	r.mu.Unlock()
	// A choice is recorded with the target: its load, its cache, its rate while cold. The
	// budget is therefore asked before.
	if !allowed || !r.retryAllowed(now) {
		return nil
	}
	s, _ := r.choose(ctx, now)
	if s.target() == "" {
		return nil
	}
	r.mu.Lock()
	allowed = !h.dropped && r.machine.StartHedge(now, r.remaining(), r)
	if !allowed {
		delete(r.tried, s.target())
	}
	r.mu.Unlock()
	if !allowed {
		r.s.sendEnded(now, s, outlier.OK, false)
		return nil
	}
	return s
}

// respondsUsably sends the request and reports whether the head of its response can be
// passed on. If not, it records how the send ended.
func (r *request) respondsUsably(s *send) bool {
	resp, err := r.roundTrip(s)
	result, outcome, observed := attempt.FailedResponse, outlier.Failed, true
	switch {
	case err != nil:
		var failure *SendError
		failure, outcome = failedSend(s, err)
		if result = attempt.NotSent; failure.Sent {
			result = attempt.Unknown
		}
		observed = !canceled(s.ctx)
		r.sendBroke(s, r.s.clock.Now(), err)
	case resp.NotRun || resp.Misdirected:
		r.discardRefusal(s)
		result, outcome, observed = notRunOutcome(s)
		err = errNotUsable(resp)
	case resp.Status >= http.StatusInternalServerError, !resp.Stamped, r.route.Kind == routing.Stream && !isEventStream(resp):
		_ = resp.Body.Close()
		err = errNotUsable(resp)
	default:
		return true
	}
	r.s.sendEnded(r.s.clock.Now(), s, outcome, observed)
	r.hedgeFailed(s, result, err)
	return false
}

// secured reports whether the response of a hedge can replace the silent send.
func (r *request) secured(h *hedge, silent, s *send) bool {
	if r.route.Kind == routing.Stream {
		stop := r.s.clock.AfterFunc(maxHedgeOverlap, func() { r.endOverlap(h, silent) })
		defer stop()
	}
	return r.readAhead(s)
}

// endOverlap ends the silent send while the hedge is wanted.
func (r *request) endOverlap(h *hedge, silent *send) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hedge == h {
		silent.cancel(errReplaced)
	}
}

// readAhead reads a hedge's response up to its first event, or the buffered part of
// one that is no stream, and reports whether it got that far: until then the response
// may break off, and the silent send is still needed.
func (r *request) readAhead(s *send) bool {
	body := s.resp.Body
	stream := r.route.Kind == routing.Stream
	read, err := readStart(body, stream)
	if err == nil && stream && len(bytes.TrimSpace(read)) == 0 && r.hedgeLacksEvents(s) {
		err = errNoEvents
	}
	if err != nil {
		now := r.s.clock.Now()
		s.pathFailed = pathFailed(err)
		r.sendBroke(s, now, err)
		_ = body.Close()
		r.s.sendEnded(now, s, outlier.Failed, !canceled(s.ctx))
		r.hedgeFailed(s, attempt.Unknown, err)
		return false
	}
	s.resp.Body = &startedBody{Reader: io.MultiReader(bytes.NewReader(read), body), Closer: body}
	return true
}

// startedBody is the body of a response whose start was read ahead.
type startedBody struct {
	io.Reader
	io.Closer
}

// readStart reads a body up to the end of the first event of a stream, otherwise up to
// maxBufferedBytes.
func readStart(body io.Reader, stream bool) ([]byte, error) {
	var read []byte
	buf := make([]byte, readBufferBytes)
	for len(read) < maxBufferedBytes {
		n, ended, err := readBody(body, buf)
		read = append(read, buf[:n]...)
		switch {
		case stream && bytes.Contains(read, eventDelimiter):
			return read, nil
		case ended && stream && len(bytes.TrimSpace(read)) > 0:
			return nil, errMidEvent
		case ended:
			return read, nil
		case err != nil:
			return nil, err
		}
	}
	if stream {
		return nil, errTooLong
	}
	return read, nil
}

// hedgeFailed records and logs the end of a hedge that is not used.
func (r *request) hedgeFailed(s *send, result attempt.Outcome, err error) {
	r.mu.Lock()
	r.machine.HedgeEnded(result)
	r.mu.Unlock()
	r.s.logger.WithFields(logrus.Fields{
		"request": r.ID, "target": s.target(), "sent": result.String(), "ended_by": s.endedBy(),
	}).WithError(err).Info("Hedge ended without a usable response.")
}

// giveUp ends the sends of a request whose hedge is silent as well. Once the caller or the
// router has the head of a response, the silent send goes on, and the hedge gives way to
// another one if there may be one.
func (r *request) giveUp(silent, hedge *send) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.headSent && silent.resp == nil {
		silent.cancel(errSilent)
		hedge.cancel(errSilent)
	} else if now := r.s.clock.Now(); r.machine.MayHedge(r.remaining()) && r.retryAllowed(now) {
		hedge.cancel(errSilent)
	}
}

// endHedge records the end of a hedge. With a response that is still wanted, it
// ends the silent send, and the response takes over. It returns false if the silent
// send goes on.
func (r *request) endHedge(h *hedge, silent, s *send) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.dropped {
		if s != nil {
			r.discardSend(s)
		}
		return true
	}
	h.ended <- s
	if s == nil {
		r.hedge = nil
		return false
	}
	h.won = true
	silent.cancel(errReplaced)
	return true
}

// discardSend ends a send whose response is not used.
func (r *request) discardSend(s *send) {
	s.cancel(errReplaced)
	_ = s.resp.Body.Close()
	r.s.sendEnded(r.s.clock.Now(), s, outlier.OK, false)
}

// awaitHedge waits for the end of the hedge, if there is one, and returns the send
// whose response takes over.
func (r *request) awaitHedge() *send {
	r.mu.Lock()
	h := r.hedge
	r.mu.Unlock()
	if h == nil {
		return nil
	}
	s := <-h.ended
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hedge = nil
	if s != nil {
		r.machine.Replaced()
	}
	return s
}

// dropHedge ends the hedge, if there is one, and discards its response.
func (r *request) dropHedge() {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.hedge
	if h == nil {
		return
	}
	r.hedge = nil
	if h.won {
		r.discardSend(<-h.ended)
	}
	h.dropped = true
	h.cancel()
}

// progress records that the current send has brought events, which ends its hedge. It
// returns false if the send was given up or ended for its hedge, whose response goes on
// after the events before these.
func (r *request) progress(events []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cause := context.Cause(r.cur.ctx); errors.Is(cause, errSilent) || errors.Is(cause, errReplaced) {
		return false
	}
	if h := r.hedge; h != nil {
		r.hedge = nil
		h.dropped = true
		h.cancel()
	}
	r.pinVersion(&r.cur.choice.Target)
	r.headSent = true
	if id, ok := lastEventID(events); ok {
		r.lastSentID = id
	}
	return true
}
