package route

import (
	"errors"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/answers"
)

// joinedSink joins the responses of several runs of one request and passes them to
// the caller's sink as one response.
type joinedSink struct {
	sink    call.Sink
	joiner  *answers.Joiner
	started bool
	head    call.Head
	// failure is the reason why the response cannot be continued, nil if there is
	// none.
	failure *call.Error
}

func newJoinedSink(sink call.Sink) *joinedSink {
	return &joinedSink{sink: sink, joiner: answers.NewJoiner()}
}

// errStatusDiffers is the cause if a later run responds with another status.
var errStatusDiffers = errors.New("status differs from that of the response that was started")

// Head passes on the head of the first run. Heads of later runs must have the same
// status and are dropped.
func (s *joinedSink) Head(h call.Head) error {
	if !s.started {
		s.started = true
		s.head = h
		return s.sink.Head(h)
	}
	if h.Status != s.head.Status {
		return s.fail(errStatusDiffers)
	}
	return nil
}

// Chunk passes on the data that the caller does not have yet.
func (s *joinedSink) Chunk(c call.Chunk) error {
	s.started = true
	newData, offset, err := s.joiner.Add(c.Offset, c.Data)
	if err != nil {
		return s.fail(err)
	}
	if len(newData) == 0 {
		return nil
	}
	return s.sink.Chunk(call.Chunk{Attempt: s.head.Attempt, Offset: offset, Data: newData})
}

// End checks the length and digest of the joined response and ends it.
func (s *joinedSink) End(e call.End) error {
	digest, err := s.joiner.End(e.Length, e.Digest)
	if err != nil {
		return s.fail(err)
	}
	return s.sink.End(call.End{Attempt: s.head.Attempt, Length: e.Length, Digest: digest})
}

// fail records and returns the reason why the response cannot be continued.
func (s *joinedSink) fail(cause error) error {
	s.failure = &call.Error{
		Code:    call.CodeCut,
		Message: "the response cannot be continued",
		Step:    "route",
		Run:     call.RunUnknown,
		Cause:   cause,
	}
	if errors.Is(cause, answers.ErrMismatch) || errors.Is(cause, errStatusDiffers) {
		s.failure.Code = call.CodeResumeImpossible
		s.failure.Message = "another run gave a different response from the one that was started"
		s.failure.Run = call.RunDone
	}
	return s.failure
}
