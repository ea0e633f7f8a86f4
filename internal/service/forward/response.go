package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/attempt"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/kernel"
)

const (
	// maxBufferedBytes is the length up to which a response is buffered before any
	// of it is passed on, so that a request whose response breaks off can still be
	// retried or answered with an error.
	maxBufferedBytes = 256 << 10
	// maxEventBytes is the length of an event from which a stream counts as broken, and
	// maxResponseBytes that of any other response: a faulty target may send bytes
	// without end.
	maxEventBytes    = 256 << 10
	maxResponseBytes = 64 << 20
	// discardTimeout limits the time to read the body of a response that is not used.
	discardTimeout = 50 * time.Millisecond
	// readBufferBytes is the size of the buffer for reading responses.
	readBufferBytes = 16 << 10
	// firstByteFactor times the latency objective of the route is the time without a
	// first byte after which an idempotent request is canceled at a target.
	firstByteFactor = 2
	// lastTargetFactor extends that time for the last target that a request may be
	// sent to. After it, the caller is told to retry.
	lastTargetFactor = 2
	// minFirstByteTimeout is the lower bound of that time. It keeps requests with a
	// short objective from being retried while they only wait in a queue.
	minFirstByteTimeout = 300 * time.Millisecond
	// streamIdleTimeout is the time without an event after which a resumable stream
	// is resumed at another target. Callers give up after two seconds or more.
	streamIdleTimeout = 1200 * time.Millisecond
)

// silenceTimer cancels a send with errSilent when the target sends nothing for too
// long. It is disabled for requests that are not idempotent.
type silenceTimer struct {
	clock  kernel.Clock
	cancel context.CancelCauseFunc

	mu        sync.Mutex
	stopTimer func() bool
	disabled  bool
}

// startSilenceTimer starts the timer for the first byte of a response.
func (r *request) startSilenceTimer(cancel context.CancelCauseFunc) *silenceTimer {
	t := &silenceTimer{clock: r.s.clock, cancel: cancel, disabled: !r.route.Idempotent()}
	limit := max(firstByteFactor*r.route.Objective, minFirstByteTimeout)
	if !r.mayRetry() {
		limit *= lastTargetFactor
	}
	t.reset(limit)
	return t
}

// mayRetry reports whether the request may still be sent to another target after
// this send.
func (r *request) mayRetry() bool {
	return r.route.Idempotent() && r.machine.Sends()+1 < r.route.Attempts
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
	t.stopTimer = t.clock.AfterFunc(d, func() { t.cancel(errSilent) })
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

// forwardResponse passes a target's response on to the caller and returns what to do
// next.
func (r *request) forwardResponse(ctx context.Context, resp *Response, timer *silenceTimer) attempt.Action {
	defer resp.Body.Close()
	if resp.Status >= http.StatusInternalServerError || !resp.Stamped {
		return r.forwardFailure(ctx, resp)
	}
	if r.route.Kind == routing.Stream {
		return r.forwardStream(ctx, resp, timer)
	}
	return r.forwardBuffered(ctx, resp, timer)
}

// errNoStamp is the error of a response without the stamp of a target, which comes
// from something else at its address.
var errNoStamp = errors.New("response lacks the target's stamp")

// errTooLong is the error of a response that is longer than its limit.
var errTooLong = errors.New("response is too long")

// forwardFailure handles an error response, or one without a stamp. An error
// response is passed on when the request cannot be retried.
func (r *request) forwardFailure(ctx context.Context, resp *Response) attempt.Action {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err == nil && len(body) == maxBufferedBytes {
		err = errTooLong
	}
	now := r.s.clock.Now()
	if canceled(ctx) {
		r.lastErr = fmt.Errorf("read error response of %s: %w", r.choice.Target.ID, context.Cause(ctx))
		r.s.sendEnded(now, r.choice.Target.ID, outlier.Failed, false)
		return r.canceledAction(true)
	}
	r.s.sendEnded(now, r.choice.Target.ID, outlier.Failed, true)
	if err != nil {
		r.lastErr = err
		return r.nextAction(ctx, now, attempt.Unknown)
	}
	if resp.Status < http.StatusInternalServerError {
		r.lastErr = errNoStamp
		return r.nextAction(ctx, now, attempt.Unknown)
	}
	action := r.nextAction(ctx, now, attempt.FailedResponse)
	if action != attempt.PassFailure {
		return action
	}
	r.reply.WriteHead(resp)
	if err := r.reply.Write(body); err != nil {
		r.lastErr = err
	}
	r.reply.End()
	r.finish("target_failed", resp.Status)
	return responseDone
}

// forwardBuffered reads a response completely before passing it on. One of
// maxBufferedBytes or more is passed on while it is read, until the deadline: it is
// not sent again once a part of it was passed on.
func (r *request) forwardBuffered(ctx context.Context, resp *Response, timer *silenceTimer) attempt.Action {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil {
		return r.responseBroken(ctx, err, attempt.Unknown)
	}
	if len(body) == maxBufferedBytes {
		timer.stop()
		return r.forwardLong(ctx, resp, body)
	}
	r.reply.WriteHead(resp)
	err = r.reply.Write(body)
	return r.responseComplete(resp, err)
}

// forwardLong passes on the first bytes of a long response, and the rest while it is
// read.
func (r *request) forwardLong(ctx context.Context, resp *Response, head []byte) attempt.Action {
	r.reply.WriteHead(resp)
	r.headSent = true
	err := r.reply.Write(head)
	buf := make([]byte, readBufferBytes)
	for length := len(head); err == nil; {
		n, readErr := resp.Body.Read(buf)
		if n > 0 {
			err = r.reply.Write(buf[:n])
		}
		if length += n; length > maxResponseBytes {
			return r.responseBroken(ctx, errTooLong, attempt.Broken)
		}
		if errors.Is(readErr, io.EOF) {
			return r.responseComplete(resp, err)
		}
		if readErr != nil {
			return r.responseBroken(ctx, readErr, attempt.Broken)
		}
	}
	return r.callerLeft(err)
}

// responseComplete handles the end of a complete response.
func (r *request) responseComplete(resp *Response, writeErr error) attempt.Action {
	r.s.sendEnded(r.s.clock.Now(), r.choice.Target.ID, outlier.OK, true)
	if writeErr != nil {
		r.lastErr = writeErr
		r.cut("caller_left")
		return responseDone
	}
	r.reply.End()
	r.lastErr = nil
	r.finish("answered", resp.Status)
	return responseDone
}

// callerLeft handles a caller that no longer reads the response.
func (r *request) callerLeft(err error) attempt.Action {
	r.s.sendEnded(r.s.clock.Now(), r.choice.Target.ID, outlier.OK, false)
	r.lastErr = err
	r.cut("caller_left")
	return responseDone
}

// responseBroken handles a response that ended early or was canceled.
func (r *request) responseBroken(ctx context.Context, err error, outcome attempt.Outcome) attempt.Action {
	now := r.s.clock.Now()
	r.lastErr = err
	if canceled(ctx) {
		timedOut := errors.Is(context.Cause(ctx), errDeadline)
		r.s.sendEnded(now, r.choice.Target.ID, outlier.Failed, timedOut && !r.headSent)
		return r.canceledAction(true)
	}
	r.s.sendEnded(now, r.choice.Target.ID, outlier.Failed, true)
	if !r.headSent {
		outcome = attempt.Unknown // the caller can still get an error response
	}
	return r.nextAction(ctx, now, outcome)
}

// forwardStream passes on complete events only, so that a stream that breaks off can
// be resumed at another target after the last of them.
func (r *request) forwardStream(ctx context.Context, resp *Response, timer *silenceTimer) attempt.Action {
	buf := make([]byte, readBufferBytes)
	var pending []byte
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			pending = append(pending, buf[:n]...)
			complete := bytes.LastIndex(pending, eventDelimiter) + len(eventDelimiter)
			if complete >= len(eventDelimiter) {
				r.resetIdleTimer(timer)
				if writeErr := r.forwardEvents(resp, pending[:complete]); writeErr != nil {
					return r.callerLeft(writeErr)
				}
				pending = append(pending[:0], pending[complete:]...)
			}
			if len(pending) > maxEventBytes {
				return r.responseBroken(ctx, errTooLong, attempt.Broken)
			}
		}
		if errors.Is(err, io.EOF) {
			return r.streamEnded(ctx, resp, pending)
		}
		if err != nil {
			return r.responseBroken(ctx, err, attempt.Broken)
		}
	}
}

// resetIdleTimer restarts the timer after an event. On the last target that a stream
// may be sent to, a pause ends nothing: the stream may still go on, and its caller or
// the deadline ends it if it does not.
func (r *request) resetIdleTimer(timer *silenceTimer) {
	if r.mayRetry() {
		timer.reset(streamIdleTimeout)
		return
	}
	timer.stop()
}

// eventDelimiter ends each event of a stream.
var eventDelimiter = []byte("\n\n")

// forwardEvents passes on complete events, after the head if it was not sent yet.
func (r *request) forwardEvents(resp *Response, events []byte) error {
	if !r.headSent {
		r.reply.WriteHead(resp)
		r.headSent = true
		r.observeFirstByte()
		r.firstByte = r.s.clock.Now().Sub(r.Received)
		r.s.metrics.firstByteSent(r.firstByte)
	}
	r.noteWrite()
	if id, ok := lastEventID(events); ok {
		r.lastSentID = id
	}
	return r.reply.Write(events)
}

// noteWrite records the pause since the last write of a stream.
func (r *request) noteWrite() {
	now := r.s.clock.Now()
	if !r.lastWriteAt.IsZero() {
		r.longestPause = max(r.longestPause, now.Sub(r.lastWriteAt))
	}
	r.lastWriteAt = now
}

// streamEnded handles the end of a stream. A stream that ends within an event is
// incomplete.
func (r *request) streamEnded(ctx context.Context, resp *Response, rest []byte) attempt.Action {
	if len(bytes.TrimSpace(rest)) > 0 {
		return r.responseBroken(ctx, io.ErrUnexpectedEOF, attempt.Broken)
	}
	if !r.headSent {
		r.reply.WriteHead(resp)
	}
	return r.responseComplete(resp, nil)
}

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) (string, bool) {
	for len(events) > 0 {
		start := bytes.LastIndexByte(events[:len(events)-1], '\n') + 1
		line := bytes.TrimRight(events[start:], "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
		events = events[:start]
	}
	return "", false
}
