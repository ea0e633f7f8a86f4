package wire

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/call"
)

// Decision is what to do with a frame of an answer.
type Decision uint8

// Verdicts.
const (
	// Accept passes the frame on.
	Accept Decision = iota
	// DropForeign drops a frame of another request or attempt.
	DropForeign
	// DropDuplicate drops a frame that has already come.
	DropDuplicate
	// Invalid means that a part of the answer is missing or wrong.
	Invalid
)

// ResponseChecker checks the frames of one answer: that they belong to the request, that
// none is missing, and that the whole has the length and digest of its end.
type ResponseChecker struct {
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

// NewResponseChecker returns a check of the answer to a request. An answer that is
// resumed may begin at resumeFrom.
func NewResponseChecker(request call.ID, resumeFrom uint64) *ResponseChecker {
	return &ResponseChecker{request: request, resumeFrom: resumeFrom, digest: xxhash.New()}
}

// CheckHead takes the start of the answer.
func (a *ResponseChecker) CheckHead(f *Frame) Decision {
	switch {
	case f.Request != a.request:
		return DropForeign
	case a.started:
		return DropDuplicate
	}
	a.started = true
	a.attempt = f.Attempt
	return Accept
}

// CheckChunk takes one part of the body.
func (a *ResponseChecker) CheckChunk(f *Frame) Decision {
	if f.Request != a.request || a.started && f.Attempt != a.attempt {
		return DropForeign
	}
	if !a.started || a.ended {
		return Invalid
	}
	if !a.begun {
		if f.Offset != 0 && f.Offset != a.resumeFrom {
			return Invalid
		}
		a.begun = true
		a.first, a.next = f.Offset, f.Offset
	}
	if f.Offset < a.next {
		return DropDuplicate
	}
	if f.Offset > a.next {
		return Invalid
	}
	_, _ = a.digest.Write(f.Body)
	a.next += uint64(len(f.Body))
	return Accept
}

// CheckEnd takes the end of the answer. The digest is checked when the answer
// began at offset zero, the length always.
func (a *ResponseChecker) CheckEnd(f *Frame, end call.End) (Decision, error) {
	if f.Request != a.request || a.started && f.Attempt != a.attempt {
		return DropForeign, nil
	}
	if a.ended {
		return DropDuplicate, nil
	}
	if !a.started {
		return Invalid, fmt.Errorf("%w: end of an answer without a head", ErrMalformed)
	}
	a.ended = true
	if !a.begun && end.Length == a.resumeFrom {
		return Accept, nil
	}
	if end.Length != a.next {
		return Invalid, fmt.Errorf("%w: %d bytes of %d came", ErrMalformed, a.next, end.Length)
	}
	if a.first == 0 && end.Digest != a.digest.Sum64() {
		return Invalid, fmt.Errorf("%w: digest differs", ErrMalformed)
	}
	return Accept, nil
}
