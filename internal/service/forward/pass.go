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
	// wholeLimit is the length in bytes up to which an answer is read whole
	// before any of it is passed on, so that one that breaks off can still be
	// repeated or reported.
	wholeLimit = 256 << 10
	// chunkBytes is the size of the buffer that an answer is read into.
	chunkBytes = 16 << 10
	// silentFactor times the objective is the time without a first byte after
	// which an idempotent request is given up at a target.
	silentFactor = 2
	// lastFactor stretches that time for the last target that a request may go
	// to, after which its caller is told to try again itself.
	lastFactor = 2
	// silentLeast keeps short objectives from repeating requests that only
	// wait in a queue.
	silentLeast = 300 * time.Millisecond
	// gapLimit is the silence within a resumable stream after which it goes on
	// at another target. Callers leave after two seconds or more.
	gapLimit = 1200 * time.Millisecond
)

// watch ends a send to a silent target while the request may be repeated.
type watch struct {
	clock  kernel.Clock
	cancel context.CancelCauseFunc

	mu   sync.Mutex
	end  func() bool
	over bool
}

// watch starts to wait for the first byte of an answer.
func (r *request) watch(cancel context.CancelCauseFunc) *watch {
	w := &watch{clock: r.s.clock, cancel: cancel, over: !r.route.Idempotent()}
	limit := max(silentFactor*r.route.Objective, silentLeast)
	if !r.mayRepeat() {
		limit *= lastFactor
	}
	w.wait(limit)
	return w
}

// mayRepeat reports whether another target may still get the request.
func (r *request) mayRepeat() bool {
	return r.route.Idempotent() && r.machine.Sends()+1 < r.route.Attempts
}

// wait sets the time of silence that is borne from now on.
func (w *watch) wait(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over {
		return
	}
	if w.end != nil {
		w.end()
	}
	w.end = w.clock.AfterFunc(d, func() { w.cancel(errSilent) })
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	if w.end != nil {
		w.end()
	}
}

// pass gives a target's answer to the caller.
func (r *request) pass(ctx context.Context, a *Response, w *watch) attempt.Action {
	defer a.Body.Close()
	if a.Status >= http.StatusInternalServerError || !a.Stamped {
		return r.passFailure(ctx, a)
	}
	if r.route.Kind == routing.Stream {
		return r.passStream(ctx, a, w)
	}
	return r.passWhole(ctx, a)
}

// errForged is an answer that lacks the mark of a target's run.
var errForged = errors.New("answer is not the target's")

// passFailure takes a failure of the target, which is passed on when the
// request can't be repeated.
func (r *request) passFailure(ctx context.Context, a *Response) attempt.Action {
	body, err := io.ReadAll(io.LimitReader(a.Body, wholeLimit))
	now := r.s.clock.Now()
	if gaveUp(ctx) {
		r.lastErr = fmt.Errorf("read failure of %s: %w", r.choice.Target.ID, context.Cause(ctx))
		r.s.release(now, r.choice.Target.ID, outlier.Failed, false)
		return r.over(true)
	}
	r.s.release(now, r.choice.Target.ID, outlier.Failed, true)
	if err != nil {
		r.lastErr = err
		return r.next(now, attempt.Unknown)
	}
	if a.Status < http.StatusInternalServerError {
		r.lastErr = errForged
		return r.next(now, attempt.Unknown)
	}
	step := r.next(now, attempt.FailedResponse)
	if step != attempt.PassFailure {
		return step
	}
	r.reply.WriteHead(a)
	if err := r.reply.Write(body); err != nil {
		r.lastErr = err
	}
	r.reply.End()
	r.finish("target_failed", a.Status)
	return done
}

// passWhole reads a plain answer whole before it passes any of it on; a long
// one is passed on as it comes.
func (r *request) passWhole(ctx context.Context, a *Response) attempt.Action {
	body, err := io.ReadAll(io.LimitReader(a.Body, wholeLimit))
	if err != nil {
		return r.broke(ctx, err, attempt.Unknown)
	}
	if len(body) == wholeLimit {
		return r.passLong(ctx, a, body)
	}
	r.reply.WriteHead(a)
	err = r.reply.Write(body)
	return r.ended(a, err)
}

// passLong passes on the rest of a long answer.
func (r *request) passLong(ctx context.Context, a *Response, first []byte) attempt.Action {
	r.reply.WriteHead(a)
	r.began = true
	err := r.reply.Write(first)
	buf := make([]byte, chunkBytes)
	for err == nil {
		n, readErr := a.Body.Read(buf)
		if n > 0 {
			err = r.reply.Write(buf[:n])
		}
		if errors.Is(readErr, io.EOF) {
			return r.ended(a, err)
		}
		if readErr != nil {
			return r.broke(ctx, readErr, attempt.Broken)
		}
	}
	return r.callerLeft(err)
}

// ended takes the end of a whole answer.
func (r *request) ended(a *Response, writeErr error) attempt.Action {
	r.s.release(r.s.clock.Now(), r.choice.Target.ID, outlier.OK, true)
	if writeErr != nil {
		r.lastErr = writeErr
		r.cut("caller_left")
		return done
	}
	r.reply.End()
	r.lastErr = nil
	r.finish("answered", a.Status)
	return done
}

// callerLeft takes a caller that reads no more.
func (r *request) callerLeft(err error) attempt.Action {
	r.s.release(r.s.clock.Now(), r.choice.Target.ID, outlier.OK, false)
	r.lastErr = err
	r.cut("caller_left")
	return done
}

// broke takes an answer that ended early.
func (r *request) broke(ctx context.Context, err error, state attempt.Outcome) attempt.Action {
	now := r.s.clock.Now()
	r.lastErr = err
	if gaveUp(ctx) {
		late := errors.Is(context.Cause(ctx), errTimeout)
		r.s.release(now, r.choice.Target.ID, outlier.Failed, late && !r.began)
		return r.over(true)
	}
	r.s.release(now, r.choice.Target.ID, outlier.Failed, true)
	return r.next(now, state)
}

// passStream passes whole events on as they come, so that a stream that breaks
// off can go on elsewhere after the last of them.
func (r *request) passStream(ctx context.Context, a *Response, w *watch) attempt.Action {
	buf := make([]byte, chunkBytes)
	var pending []byte
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			pending = append(pending, buf[:n]...)
			whole := bytes.LastIndex(pending, eventEnd) + len(eventEnd)
			if whole >= len(eventEnd) {
				w.wait(gapLimit)
				if writeErr := r.passEvents(a, pending[:whole]); writeErr != nil {
					return r.callerLeft(writeErr)
				}
				pending = append(pending[:0], pending[whole:]...)
			}
		}
		if errors.Is(err, io.EOF) {
			return r.endStream(ctx, a, pending)
		}
		if err != nil {
			return r.broke(ctx, err, attempt.Broken)
		}
	}
}

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// passEvents passes on whole events, after the head where it has not gone yet.
func (r *request) passEvents(a *Response, events []byte) error {
	if !r.began {
		r.reply.WriteHead(a)
		r.began = true
		r.s.meters.began(r.s.clock.Now().Sub(r.Received))
	}
	if id, ok := lastID(events); ok {
		r.lastEvent = id
	}
	return r.reply.Write(events)
}

// endStream takes the end of a stream. One that ends within an event is not
// whole.
func (r *request) endStream(ctx context.Context, a *Response, rest []byte) attempt.Action {
	if len(bytes.TrimSpace(rest)) > 0 {
		return r.broke(ctx, io.ErrUnexpectedEOF, attempt.Broken)
	}
	if !r.began {
		r.reply.WriteHead(a)
	}
	return r.ended(a, nil)
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) (string, bool) {
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
