package wire

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/call"
)

// Decision says what to do with a frame of a response.
type Decision uint8

// Decisions on a frame.
const (
	// Accept passes the frame to the caller.
	Accept Decision = iota
	// DropForeign drops a frame of another request or attempt.
	DropForeign
	// DropDuplicate drops a frame that was received before.
	DropDuplicate
	// Invalid fails the response: a part of it is missing or wrong.
	Invalid
)

// ResponseChecker checks the frames of one response as they arrive: each belongs
// to the request and to one attempt, none is missing, and the body has the
// length and digest that the end frame states. It is not safe for concurrent
// use.
type ResponseChecker struct {
	request    call.ID
	resumeFrom uint64

	headReceived bool
	endReceived  bool
	// attempt is the attempt of the accepted head.
	attempt call.Attempt
	// firstOffset is the offset of the first chunk, and nextOffset the offset
	// after the last one, in bytes of the body.
	firstOffset   uint64
	nextOffset    uint64
	chunkReceived bool
	// digest is the xxhash64 of the accepted chunks.
	digest *xxhash.Digest
}

// NewResponseChecker returns a checker for the response to a request. The body
// starts at offset 0 or, if the response is resumed, at resumeFrom.
func NewResponseChecker(request call.ID, resumeFrom uint64) *ResponseChecker {
	return &ResponseChecker{request: request, resumeFrom: resumeFrom, digest: xxhash.New()}
}

// CheckHead checks the head frame. The response belongs to the attempt of the
// first head for the request; a second head is a duplicate.
func (c *ResponseChecker) CheckHead(f *Frame) Decision {
	switch {
	case f.Request != c.request:
		return DropForeign
	case c.headReceived:
		return DropDuplicate
	}
	c.headReceived = true
	c.attempt = f.Attempt
	return Accept
}

// CheckChunk checks a part of the body. A chunk that starts below the next
// offset is a duplicate. A chunk above it, before the head or after the end makes
// the response invalid.
func (c *ResponseChecker) CheckChunk(f *Frame) Decision {
	if f.Request != c.request || c.headReceived && f.Attempt != c.attempt {
		return DropForeign
	}
	if !c.headReceived || c.endReceived {
		return Invalid
	}
	if !c.chunkReceived {
		if f.Offset != 0 && f.Offset != c.resumeFrom {
			return Invalid
		}
		c.chunkReceived = true
		c.firstOffset, c.nextOffset = f.Offset, f.Offset
	}
	if f.Offset < c.nextOffset {
		return DropDuplicate
	}
	if f.Offset > c.nextOffset {
		return Invalid
	}
	_, _ = c.digest.Write(f.Body)
	c.nextOffset += uint64(len(f.Body))
	return Accept
}

// CheckEnd checks the end frame, whose decoded body is end. The length is always
// checked; the digest covers the whole body and is checked only if the response
// started at offset 0. The error, set with Invalid, wraps ErrMalformed.
func (c *ResponseChecker) CheckEnd(f *Frame, end call.End) (Decision, error) {
	if f.Request != c.request || c.headReceived && f.Attempt != c.attempt {
		return DropForeign, nil
	}
	if c.endReceived {
		return DropDuplicate, nil
	}
	if !c.headReceived {
		return Invalid, fmt.Errorf("%w: end of a response without a head", ErrMalformed)
	}
	c.endReceived = true
	if !c.chunkReceived && end.Length == c.resumeFrom {
		return Accept, nil
	}
	if end.Length != c.nextOffset {
		return Invalid, fmt.Errorf("%w: received %d of %d bytes", ErrMalformed, c.nextOffset, end.Length)
	}
	if c.firstOffset == 0 && end.Digest != c.digest.Sum64() {
		return Invalid, fmt.Errorf("%w: digest mismatch", ErrMalformed)
	}
	return Accept, nil
}
