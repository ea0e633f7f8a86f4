package callerapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/answers"
	"github.com/zinniafork/zinniafork/internal/kernel"
)

// callerSink writes an answer to the caller. Events of a streamed answer get
// IDs behind which the caller can resume.
type callerSink struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	clock        kernel.Clock
	heartbeat    time.Duration
	writeTimeout time.Duration
	stream       bool
	from         answers.Position

	// started is true once the head has been written.
	started   bool
	firstByte time.Time
	// events cuts a streamed answer; nil for other answers.
	events *answers.EventSplitter
	// refusal is why the sink wants no more of an answer.
	refusal *call.Error

	mu     sync.Mutex // guards writes, which heartbeats share
	wrote  time.Time
	ended  bool
	cancel func() bool
}

func (s *Service) newSink(w http.ResponseWriter, x *exchange) *callerSink {
	return &callerSink{
		w:            w,
		control:      http.NewResponseController(w),
		clock:        s.clock,
		heartbeat:    s.settings.Heartbeat.Std(),
		writeTimeout: s.settings.WriteTimeout.Std(),
		stream:       x.stream,
		from:         x.from,
	}
}

// position returns the point behind which the caller lacks the answer.
func (c *callerSink) position() answers.Position {
	if c.events == nil {
		return c.from
	}
	return c.events.Position()
}

// again prepares for an answer of another run, which the caller has up to a
// position.
func (c *callerSink) again(from answers.Position) {
	c.from, c.refusal = from, nil
	if c.events != nil {
		c.events = answers.ResumeEventSplitter(from)
	}
}

// refuse ends an answer that does not fit to what the caller has.
func (c *callerSink) refuse(code call.Code, message string, cause error) error {
	c.refusal = &call.Error{Code: code, Step: step, Run: call.RunDone, Message: message, Cause: cause}
	return c.refusal
}

// Head writes status and header.
func (c *callerSink) Head(h call.Head) error {
	if c.started {
		return nil
	}
	c.started = true
	for name, values := range passOn(h.Header) {
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
	c.w.WriteHeader(h.Status)
	if c.events == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arm()
	return c.control.Flush()
}

// Chunk writes a part of the answer.
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
		return c.refuse(call.CodeResumeImpossible, "the answer can't be continued", err)
	}
	return nil
}

// End checks that a streamed answer ended behind an event.
func (c *callerSink) End(call.End) error {
	if c.events == nil {
		return nil
	}
	if err := c.events.End(); err != nil {
		return c.refuse(call.CodeCut, "the answer ended inside an event", err)
	}
	return nil
}

// write sends bytes to the caller. A caller that takes none for too long has
// lost its connection.
func (c *callerSink) write(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = c.clock.Now()
	_ = c.control.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	_, err := c.w.Write(data)
	if err == nil {
		err = c.control.Flush()
	}
	if err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// arm starts the wait for the next heartbeat; the caller holds the lock.
func (c *callerSink) arm() {
	c.cancel = c.clock.AfterFunc(c.heartbeat, c.beat)
}

// beat sends a comment when the stream has been silent.
func (c *callerSink) beat() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	if c.clock.Now().Sub(c.wrote) >= c.heartbeat {
		_ = c.control.SetWriteDeadline(time.Now().Add(c.writeTimeout))
		_, err := c.w.Write([]byte(": waiting\n\n"))
		if err != nil || c.control.Flush() != nil {
			return
		}
	}
	c.arm()
}

// close ends the heartbeats.
func (c *callerSink) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	if c.cancel != nil {
		c.cancel()
	}
}

// fail tells the caller inside a stream that the answer is not whole.
func (c *callerSink) fail(e *call.Error) {
	data, err := json.Marshal(bodyOf(e))
	if err != nil {
		return
	}
	_ = c.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", data))
}

// Interface guard.
var _ call.Sink = (*callerSink)(nil)
