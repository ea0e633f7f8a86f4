// Package answers resumes responses. EventSplitter splits a streamed response
// into server-sent events and lets a caller resume after the last event that it
// has received. Joiner joins the responses of several runs of one request.
//
// A Position identifies the end of an event by its byte offset in the response
// and a digest of all events before it. The response of another run is
// continued only if its events up to the position are the same.
package answers

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/call"
)

// Errors of resumed responses.
var (
	// ErrInvalidPosition is returned for a text that is not a position.
	ErrInvalidPosition = errors.New("not a position in a response")
	// ErrMismatch is returned if another run produced a different response, so
	// that the rest of it does not continue what the caller has.
	ErrMismatch = errors.New("response differs from the one that was started")
	// ErrGap is returned if the parts of a response are not contiguous.
	ErrGap = errors.New("parts of the response are not contiguous")
)

// Position is a point between two events of a response.
type Position struct {
	Request call.ID
	// Offset is the number of bytes of the response before the point.
	Offset uint64
	// Digest is the xxHash64 chain over the events before the point.
	Digest uint64
}

// String returns the position in the form of an event ID, request:offset:digest
// with a decimal offset and a hexadecimal digest.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%016x", p.Request, p.Offset, p.Digest)
}

// ParsePosition parses an event ID. It returns ErrInvalidPosition for other
// texts.
func ParsePosition(text string) (Position, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 3 || parts[0] == "" {
		return Position{}, ErrInvalidPosition
	}
	offset, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return Position{}, ErrInvalidPosition
	}
	digest, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return Position{}, ErrInvalidPosition
	}
	return Position{Request: call.ID(parts[0]), Offset: offset, Digest: digest}, nil
}

// next returns the position after an event.
func (p Position) next(event []byte) Position {
	var before [8]byte
	binary.BigEndian.PutUint64(before[:], p.Digest)
	d := xxhash.New()
	_, _ = d.Write(before[:])
	_, _ = d.Write(event)
	return Position{Request: p.Request, Offset: p.Offset + uint64(len(event)), Digest: d.Sum64()}
}

// Event is one complete server-sent event with its blank line.
type Event struct {
	Data []byte
	// End is the position after the event.
	End Position
}

// EventSplitter splits one response into events. It is not safe for concurrent
// use.
type EventSplitter struct {
	from    Position // the point from which the caller resumes
	at      Position // the end of the last complete event
	pending []byte   // the start of an incomplete event
	started bool
}

// NewEventSplitter returns the splitter for the response to a request.
func NewEventSplitter(request call.ID) *EventSplitter {
	return ResumeEventSplitter(Position{Request: request})
}

// ResumeEventSplitter returns the splitter for a response after a position. The
// first part may begin at the position, if the target resumes the response, or
// at zero, if it runs the request again.
func ResumeEventSplitter(from Position) *EventSplitter {
	return &EventSplitter{from: from, at: Position{Request: from.Request}}
}

// Add takes the part at an offset and returns the events that it completes and
// that the caller does not have yet. Their data is valid until the next call.
// It returns ErrGap if the part does not continue the one before, and
// ErrMismatch if the response differs from that before the position.
func (e *EventSplitter) Add(offset uint64, part []byte) ([]Event, error) {
	if !e.started {
		e.started = true
		if offset == e.from.Offset {
			e.at = e.from
		}
	}
	if offset != e.at.Offset+uint64(len(e.pending)) {
		return nil, ErrGap
	}
	e.pending = append(e.pending, part...)
	var out []Event
	unread := e.pending
	for {
		n := eventLength(unread)
		if n == 0 {
			break
		}
		before := e.at.Offset
		e.at = e.at.next(unread[:n])
		if isNew, err := e.isNew(before); err != nil {
			return out, err
		} else if isNew {
			out = append(out, Event{Data: unread[:n], End: e.at})
		}
		unread = unread[n:]
	}
	// The returned events share the old buffer.
	e.pending = append([]byte(nil), unread...)
	return out, nil
}

// isNew reports whether the caller lacks the event that starts at offset before
// and ends at e.at.
func (e *EventSplitter) isNew(before uint64) (bool, error) {
	switch {
	case before >= e.from.Offset:
		return true, nil
	case e.at.Offset > e.from.Offset:
		return false, ErrMismatch
	case e.at.Offset == e.from.Offset && e.at.Digest != e.from.Digest:
		return false, ErrMismatch
	}
	return false, nil
}

// Position returns the position after the last event that the caller has.
func (e *EventSplitter) Position() Position {
	if e.at.Offset < e.from.Offset {
		return e.from
	}
	return e.at
}

// End checks that the response ended after an event and not before the
// position. It returns ErrGap or ErrMismatch otherwise.
func (e *EventSplitter) End() error {
	if len(e.pending) > 0 {
		return ErrGap
	}
	if e.started && e.at.Offset < e.from.Offset {
		return ErrMismatch
	}
	return nil
}

// eventLength returns the length of the event at the start of data with its
// blank line, zero if it is incomplete.
func eventLength(data []byte) int {
	lf := bytes.Index(data, []byte("\n\n"))
	crlf := bytes.Index(data, []byte("\r\n\r\n"))
	if crlf >= 0 && (lf < 0 || crlf < lf) {
		return crlf + len("\r\n\r\n")
	}
	if lf < 0 {
		return 0
	}
	return lf + len("\n\n")
}
