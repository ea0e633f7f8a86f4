package callerapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/answers"
	"github.com/zinniafork/zinniafork/internal/kernel"
)

// callerSink writes a response to the caller. It adds IDs to the events of a
// streamed response, after which the caller can resume, and sends comments while
// the stream is silent.
type callerSink struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	clock        kernel.Clock
	heartbeat    time.Duration
	writeTimeout time.Duration
	stream       bool
	// draining is true when the caller is to close the connection.
	draining *atomic.Bool
	from     answers.Position

	// started is true once the head has been written.
	started   bool
	firstByte time.Time
	// events splits a streamed response; nil for other responses.
	events *answers.EventSplitter
	// rejection is the error for which the sink rejected the response.
	rejection *call.Error

	mu              sync.Mutex // guards writes to w and the fields below, which heartbeats share
	lastWrite       time.Time
	closed          bool
	cancelHeartbeat func() bool
}

// newSink returns the sink for the response of an exchange.
func (s *Service) newSink(w http.ResponseWriter, x *exchange) *callerSink {
	return &callerSink{
		w:            w,
		controller:   http.NewResponseController(w),
		clock:        s.clock,
		heartbeat:    s.settings.Heartbeat.Std(),
		writeTimeout: s.settings.WriteTimeout.Std(),
		stream:       x.stream,
		draining:     &s.draining,
		from:         x.from,
	}
}

// position returns the position after the last event that the caller has.
func (c *callerSink) position() answers.Position {
	if c.events == nil {
		return c.from
	}
	return c.events.Position()
}

// prepareResume prepares the sink for a response of another attempt. The caller
// already has the events up to the position.
func (c *callerSink) prepareResume(from answers.Position) {
	c.from, c.rejection = from, nil
	if c.events != nil {
		c.events = answers.ResumeEventSplitter(from)
	}
}

// reject rejects a response that is incomplete or does not match the events that
// the caller has.
func (c *callerSink) reject(code call.Code, message string, cause error) error {
	c.rejection = &call.Error{Code: code, Step: step, Run: call.RunDone, Message: message, Cause: cause}
	return c.rejection
}

// Head writes the status and header of the first attempt. Later heads are ignored,
// because the response has already started.
func (c *callerSink) Head(h call.Head) error {
	if c.started {
		return nil
	}
	c.started = true
	for name, values := range forwardedHeaders(h.Header) {
		c.w.Header()[name] = values
	}
	if length := h.Header.Get("Content-Length"); length != "" {
		c.w.Header().Set("Content-Length", length)
	}
	if c.stream && strings.HasPrefix(h.Header.Get("Content-Type"), "text/event-stream") {
		c.events = answers.ResumeEventSplitter(c.from)
		c.w.Header().Del("Content-Length")
		c.w.Header().Set("Cache-Control", "no-store")
	}
	if c.draining.Load() {
		c.w.Header().Set("Connection", "close")
	}
	c.w.WriteHeader(h.Status)
	if c.events == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduleHeartbeat()
	return c.flush(nil)
}

// Chunk writes a part of the response. Of a streamed response, it writes the events
// that the part completes and that the caller does not have.
func (c *callerSink) Chunk(part call.Chunk) error {
	if c.firstByte.IsZero() {
		c.firstByte = c.clock.Now()
	}
	if c.events == nil {
		return c.write(part.Data)
	}
	events, err := c.events.Add(part.Offset, part.Data)
	var out []byte
	for _, e := range events {
		out = append(out, "id: "...)
		out = append(out, e.End.String()...)
		out = append(out, '\n')
		out = append(out, e.Data...)
	}
	if len(out) > 0 {
		if err := c.write(out); err != nil {
			return err
		}
	}
	if err != nil {
		return c.reject(call.CodeResumeImpossible, "the response cannot be continued", err)
	}
	return nil
}

// End checks that a streamed response ended after a complete event.
func (c *callerSink) End(call.End) error {
	if c.events == nil {
		return nil
	}
	if err := c.events.End(); err != nil {
		return c.reject(call.CodeCut, "the response ended inside an event", err)
	}
	return nil
}

// write sends bytes to the caller. It fails if the caller accepts none within the
// setting write_timeout.
func (c *callerSink) write(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWrite = c.clock.Now()
	if err := c.flush(data); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// flush writes bytes to the caller, with those that wait, within the setting
// write_timeout. A deadline that stayed would end later writes of the response. The caller
// must hold c.mu.
func (c *callerSink) flush(data []byte) error {
	_ = c.controller.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	if len(data) > 0 {
		if _, err := c.w.Write(data); err != nil {
			return err
		}
	}
	if err := c.controller.Flush(); err != nil {
		return err
	}
	_ = c.controller.SetWriteDeadline(time.Time{})
	return nil
}

// scheduleHeartbeat schedules the next heartbeat. The caller must hold c.mu.
func (c *callerSink) scheduleHeartbeat() {
	c.cancelHeartbeat = c.clock.AfterFunc(c.heartbeat, c.sendHeartbeat)
}

// sendHeartbeat sends a comment if the stream has been silent for the heartbeat
// interval, and schedules the next heartbeat.
func (c *callerSink) sendHeartbeat() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	if c.clock.Now().Sub(c.lastWrite) >= c.heartbeat {
		if c.flush([]byte(": waiting\n\n")) != nil {
			return
		}
	}
	c.scheduleHeartbeat()
}

// close stops the heartbeats.
func (c *callerSink) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.cancelHeartbeat != nil {
		c.cancelHeartbeat()
	}
}

// writeErrorEvent sends an error event, which tells the caller that the streamed
// response is incomplete.
func (c *callerSink) writeErrorEvent(e *call.Error) {
	data, err := json.Marshal(newErrorBody(e))
	if err != nil {
		return
	}
	_ = c.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", data))
}

// Interface that callerSink must implement.
var _ call.Sink = (*callerSink)(nil)
