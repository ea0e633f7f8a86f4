package route

import (
	"errors"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/answers"
)

// joinedSink passes the answers of a journey's runs on as one.
type joinedSink struct {
	sink    call.Sink
	joined  *answers.Joiner
	started bool
	head    call.Head
	// broken is why the answer can't go on, nil while it can.
	broken *call.Error
}

func newJoinedSink(sink call.Sink) *joinedSink {
	return &joinedSink{sink: sink, joined: answers.NewJoiner()}
}

// errHead means that a later run began with another status.
var errHead = errors.New("status differs from that of the answer that began")

// Head passes the first head on. Later runs must begin alike.
func (s *joinedSink) Head(h call.Head) error {
	if !s.started {
		s.started = true
		s.head = h
		return s.sink.Head(h)
	}
	if h.Status != s.head.Status {
		return s.fail(errHead)
	}
	return nil
}

// Chunk passes on what has not been passed on yet.
func (s *joinedSink) Chunk(c call.Chunk) error {
	s.started = true
	fresh, offset, err := s.joined.Add(c.Offset, c.Data)
	if err != nil {
		return s.fail(err)
	}
	if len(fresh) == 0 {
		return nil
	}
	return s.sink.Chunk(call.Chunk{Attempt: s.head.Attempt, Offset: offset, Data: fresh})
}

// End checks the length and digest of the whole.
func (s *joinedSink) End(e call.End) error {
	digest, err := s.joined.End(e.Length, e.Digest)
	if err != nil {
		return s.fail(err)
	}
	return s.sink.End(call.End{Attempt: s.head.Attempt, Length: e.Length, Digest: digest})
}

// fail notes why the answer can't go on.
func (s *joinedSink) fail(cause error) error {
	s.broken = &call.Error{
		Code:    call.CodeCut,
		Message: "the answer can't be continued",
		Step:    "route",
		Run:     call.RunUnknown,
		Cause:   cause,
	}
	if errors.Is(cause, answers.ErrMismatch) || errors.Is(cause, errHead) {
		s.broken.Code = call.CodeResumeImpossible
		s.broken.Message = "another run gave another answer than the one that began"
		s.broken.Run = call.RunDone
	}
	return s.broken
}
