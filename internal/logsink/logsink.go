// Package logsink writes log lines without ever blocking the process. Lines
// that come faster than the output takes them are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferLimit bounds the bytes of lines that wait for the output.
	bufferLimit = 1 << 20
	// flushPeriod gathers lines, so that many go out in one write.
	flushPeriod = 200 * time.Millisecond
)

// Sink is a writer of log lines. It is safe for concurrent use.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
	wake    chan struct{}
	ended   chan struct{}
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), ended: make(chan struct{})}
	go s.run()
	return s
}

// Write takes one line.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.pending)+len(line) > bufferLimit {
		s.dropped++
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what waits and ends the sink.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.wake)
	}
	s.mu.Unlock()
	<-s.ended
}

func (s *Sink) run() {
	defer close(s.ended)
	var spare []byte
	for range s.wake {
		time.Sleep(flushPeriod)
		spare = s.flush(spare)
	}
	s.flush(spare)
}

// flush writes the lines that wait and returns their buffer for reuse.
func (s *Sink) flush(spare []byte) []byte {
	s.mu.Lock()
	lines, dropped := s.pending, s.dropped
	s.pending, s.dropped = spare[:0], 0
	s.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "log: %d lines dropped.\n", dropped)
	}
	// There is nowhere left to report that the log can't be written.
	_, _ = s.out.Write(lines)
	return lines
}
