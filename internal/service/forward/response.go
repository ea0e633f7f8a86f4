package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/attempt"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/service/membudget"
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
)

// forwardResponse passes a target's response on to the caller and returns what to do
// next.
func (r *request) forwardResponse(s *send, timer *silenceTimer) attempt.Action {
	defer s.resp.Body.Close()
	switch {
	case s.resp.Status >= http.StatusInternalServerError || !s.resp.Stamped:
		return r.forwardFailure(s)
	case r.route.Kind != routing.Stream:
		return r.forwardBuffered(s, timer)
	case r.headSent && !isEventStream(s.resp):
		return r.refusedToGoOn(s)
	case s.resp.Status != http.StatusOK:
		return r.forwardBuffered(s, timer)
	default:
		return r.forwardStream(s, timer)
	}
}

// isEventStream reports whether a response is a stream, or the rest of one, and no error.
func isEventStream(resp *Response) bool {
	contentType, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	contentType = strings.TrimSpace(contentType)
	return resp.Status == http.StatusOK && (contentType == "" || strings.EqualFold(contentType, "text/event-stream"))
}

// errNotResumed is the error of a response that is not the rest of a stream.
var errNotResumed = errors.New("target did not go on with the stream")

// refusedToGoOn handles the response of a target that has an error in place of the rest of a
// stream. The caller is in the middle of the stream and must not see any of it.
func (r *request) refusedToGoOn(s *send) attempt.Action {
	r.lastErr = fmt.Errorf("%w: status %d, content type %q", errNotResumed, s.resp.Status, s.resp.Header.Get("Content-Type"))
	r.discardRefusal(s)
	now := r.s.clock.Now()
	r.s.sendEnded(now, s, outlier.OK, false)
	return r.nextAction(s, now, attempt.Broken)
}

// errNoStamp is the error of a response without the stamp of a target, which comes
// from something else at its address.
var errNoStamp = errors.New("response lacks the target's stamp")

// errTooLong is the error of a response that is longer than its limit.
var errTooLong = errors.New("response is too long")

// forwardFailure handles an error response, or one without a stamp. An error
// response is passed on when the request cannot be retried.
func (r *request) forwardFailure(s *send) attempt.Action {
	resp := s.resp
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err == nil && len(body) == maxBufferedBytes {
		err = errTooLong
	}
	now := r.s.clock.Now()
	if canceled(s.ctx) {
		r.lastErr = fmt.Errorf("read error response of %s: %w", s.target(), context.Cause(s.ctx))
		r.s.sendEnded(now, s, outlier.Failed, false)
		return r.canceledAction(true)
	}
	r.s.sendEnded(now, s, outlier.Failed, true)
	if err != nil {
		r.lastErr = err
		return r.nextAction(s, now, attempt.Unknown)
	}
	if resp.Status < http.StatusInternalServerError {
		r.lastErr = errNoStamp
		return r.nextAction(s, now, attempt.Unknown)
	}
	action := r.nextAction(s, now, attempt.FailedResponse)
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
func (r *request) forwardBuffered(s *send, timer *silenceTimer) attempt.Action {
	hold := r.s.memory.Open(membudget.KindResponse, r.memoryOwner(), func() {})
	defer hold.Close()
	hold.SetComplete(true) // it has run
	body, ended, err := readBuffered(s.resp, hold)
	if err != nil {
		return r.responseBroken(s, err, attempt.Unknown)
	}
	timer.stop()
	if !ended {
		return r.forwardLong(s, body)
	}
	r.dropHedge()
	// The target has ended the request, however slowly the caller reads.
	r.s.sendEnded(r.s.clock.Now(), s, outlier.OK, true)
	r.partsServed(s)
	r.contentServed(s)
	r.reply.WriteHead(s.resp)
	err = r.reply.Write(body)
	return r.passedOn(s, err)
}

// memoryOwner returns the owner of memory that is held for the request.
func (r *request) memoryOwner() membudget.Owner {
	if r.account == nil {
		return ""
	}
	return membudget.Owner(r.account.Name)
}

// readBuffered reads a response up to maxBufferedBytes, or as far as there is memory for it, and
// reports whether it ended there.
func readBuffered(resp *Response, hold *membudget.Hold) (body []byte, ended bool, err error) {
	size := readBufferBytes
	if resp.Length >= 0 {
		size = int(min(resp.Length+1, maxBufferedBytes)) // one more to read the end
	}
	for {
		if !hold.TryGrow(size - cap(body)) {
			if body != nil {
				return body, false, nil
			}
			size = min(size, readBufferBytes) // the first part is read in any case
		}
		body = append(make([]byte, 0, size), body...)
		for len(body) < cap(body) {
			n, end, err := readBody(resp.Body, body[len(body):cap(body)])
			body = body[:len(body)+n]
			if end || err != nil {
				return body, end, err
			}
		}
		if len(body) >= maxBufferedBytes {
			return body, false, nil
		}
		size = min(2*size, maxBufferedBytes)
	}
}

// forwardLong passes on the first bytes of a long response, and the rest while it is
// read.
func (r *request) forwardLong(s *send, head []byte) attempt.Action {
	if !r.progress(nil) {
		return r.responseBroken(s, context.Cause(s.ctx), attempt.Unknown)
	}
	r.partsServed(s)
	r.reply.WriteHead(s.resp)
	err := r.reply.Write(head)
	buf := make([]byte, readBufferBytes)
	for length := len(head); err == nil; {
		n, ended, readErr := readBody(s.resp.Body, buf)
		if n > 0 {
			err = r.reply.Write(buf[:n])
		}
		if length += n; length > maxResponseBytes {
			return r.responseBroken(s, errTooLong, attempt.Broken)
		}
		if ended {
			return r.responseComplete(s, err)
		}
		if readErr != nil {
			return r.responseBroken(s, readErr, attempt.Broken)
		}
	}
	return r.callerLeft(s, err)
}

// responseComplete handles the end of a complete response.
func (r *request) responseComplete(s *send, writeErr error) attempt.Action {
	r.s.sendEnded(r.s.clock.Now(), s, outlier.OK, true)
	r.contentServed(s)
	return r.passedOn(s, writeErr)
}

// passedOn ends a request whose complete response was written to the caller.
func (r *request) passedOn(s *send, writeErr error) attempt.Action {
	if writeErr != nil {
		r.lastErr = writeErr
		r.cut("caller_left")
		return responseDone
	}
	r.reply.End()
	r.lastErr = nil
	r.finish("answered", s.resp.Status)
	return responseDone
}

// callerLeft handles a caller that no longer reads the response.
func (r *request) callerLeft(s *send, err error) attempt.Action {
	r.s.sendEnded(r.s.clock.Now(), s, outlier.OK, false)
	r.lastErr = err
	r.cut("caller_left")
	return responseDone
}

// responseBroken handles a response that ended early or was canceled.
func (r *request) responseBroken(s *send, err error, outcome attempt.Outcome) attempt.Action {
	now := r.s.clock.Now()
	r.lastErr = err
	s.pathFailed = pathFailed(err)
	if canceled(s.ctx) {
		timedOut := errors.Is(context.Cause(s.ctx), errDeadline)
		r.s.sendEnded(now, s, outlier.Failed, timedOut && !r.headSent)
		return r.canceledAction(true)
	}
	r.sendBroke(s, now, err)
	r.s.sendEnded(now, s, outlier.Failed, true)
	if !r.headSent {
		outcome = attempt.Unknown // the caller can still get an error response
	}
	return r.nextAction(s, now, outcome)
}

// forwardStream passes on complete events only, so that a stream that breaks off can
// be resumed at another target after the last of them.
func (r *request) forwardStream(s *send, timer *silenceTimer) attempt.Action {
	buf := make([]byte, readBufferBytes)
	var pending []byte
	for {
		n, ended, err := readBody(s.resp.Body, buf)
		if n > 0 {
			pending = append(pending, buf[:n]...)
			complete := bytes.LastIndex(pending, eventDelimiter) + len(eventDelimiter)
			if complete >= len(eventDelimiter) {
				first := !r.headSent
				if !r.progress(pending[:complete]) {
					return r.responseBroken(s, context.Cause(s.ctx), attempt.Broken)
				}
				s.observed.noteEvents(r.s.clock.Now(), pending[:complete])
				timer.pause()
				if writeErr := r.forwardEvents(s, pending[:complete], first); writeErr != nil {
					return r.callerLeft(s, writeErr)
				}
				timer.reset(streamIdleTimeout)
				pending = append(pending[:0], pending[complete:]...)
			}
			if len(pending) > maxEventBytes {
				return r.responseBroken(s, errTooLong, attempt.Broken)
			}
		}
		if ended {
			return r.streamEnded(s, pending)
		}
		if err != nil {
			return r.responseBroken(s, err, attempt.Broken)
		}
	}
}

// eventDelimiter ends each event of a stream.
var eventDelimiter = []byte("\n\n")

// forwardEvents passes on complete events, the first ones after the head.
func (r *request) forwardEvents(s *send, events []byte, first bool) error {
	if first {
		r.recordOrigin(s)
		r.reply.WriteHead(s.resp)
		r.observeFirstByte(s)
		r.firstByte = r.s.clock.Now().Sub(r.Received)
		r.s.metrics.firstByteSent(r.firstByte)
	}
	r.partsServed(s)
	r.noteWrite()
	r.noteEvents(s, events)
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
func (r *request) streamEnded(s *send, rest []byte) attempt.Action {
	if len(bytes.TrimSpace(rest)) > 0 {
		return r.responseBroken(s, errMidEvent, attempt.Broken)
	}
	if r.lacksEvents(s) {
		r.mu.Lock()
		r.emptyRest = true
		r.mu.Unlock()
		return r.responseBroken(s, errNoEvents, attempt.Broken)
	}
	if !r.headSent {
		r.dropHedge()
		r.reply.WriteHead(s.resp)
	}
	return r.responseComplete(s, nil)
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
