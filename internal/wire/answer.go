package wire

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/call"
)

// Verdict is what to do with a frame of an answer.
type Verdict uint8

// Verdicts.
const (
	// Accept passes the frame on.
	Accept Verdict = iota
	// DropCrossed drops a frame of another request or attempt.
	DropCrossed
	// DropRepeated drops a frame that has already come.
	DropRepeated
	// Broken means that a part of the answer is missing or wrong.
	Broken
)

// Answer checks the frames of one answer: that they belong to the request, that
// none is missing, and that the whole has the length and digest of its end.
type Answer struct {
	request    call.ID
	resumeFrom uint64

	started bool
	ended   bool
	attempt call.Attempt
	first   uint64
	next    uint64
	begun   bool
	digest  *xxhash.Digest
}

// NewAnswer returns a check of the answer to a request. An answer that is
// resumed may begin at resumeFrom.
func NewAnswer(request call.ID, resumeFrom uint64) *Answer {
	return &Answer{request: request, resumeFrom: resumeFrom, digest: xxhash.New()}
}

// Head takes the start of the answer.
func (a *Answer) Head(f *Frame) Verdict {
	switch {
	case f.Request != a.request:
		return DropCrossed
	case a.started:
		return DropRepeated
	}
	a.started = true
	a.attempt = f.Attempt
	return Accept
}

// Chunk takes one part of the body.
func (a *Answer) Chunk(f *Frame) Verdict {
	if f.Request != a.request || a.started && f.Attempt != a.attempt {
		return DropCrossed
	}
	if !a.started || a.ended {
		return Broken
	}
	if !a.begun {
		if f.Offset != 0 && f.Offset != a.resumeFrom {
			return Broken
		}
		a.begun = true
		a.first, a.next = f.Offset, f.Offset
	}
	if f.Offset < a.next {
		return DropRepeated
	}
	if f.Offset > a.next {
		return Broken
	}
	_, _ = a.digest.Write(f.Body)
	a.next += uint64(len(f.Body))
	return Accept
}

// End takes the end of the answer. The digest is checked when the answer
// began at offset zero, the length always.
func (a *Answer) End(f *Frame, end call.End) (Verdict, error) {
	if f.Request != a.request || a.started && f.Attempt != a.attempt {
		return DropCrossed, nil
	}
	if a.ended {
		return DropRepeated, nil
	}
	if !a.started {
		return Broken, fmt.Errorf("%w: end of an answer without a head", ErrMalformed)
	}
	a.ended = true
	if !a.begun && end.Length == a.resumeFrom {
		return Accept, nil
	}
	if end.Length != a.next {
		return Broken, fmt.Errorf("%w: %d bytes of %d came", ErrMalformed, a.next, end.Length)
	}
	if a.first == 0 && end.Digest != a.digest.Sum64() {
		return Broken, fmt.Errorf("%w: digest differs", ErrMalformed)
	}
	return Accept, nil
}
