package route

import "github.com/zinniafork/zinniafork/internal/call"

// startedSink notes whether any part of an answer was passed on.
type startedSink struct {
	call.Sink
	started bool
}

// Head passes the head on.
func (s *startedSink) Head(h call.Head) error {
	s.started = true
	return s.Sink.Head(h)
}

// Chunk passes a chunk on.
func (s *startedSink) Chunk(c call.Chunk) error {
	s.started = true
	return s.Sink.Chunk(c)
}
