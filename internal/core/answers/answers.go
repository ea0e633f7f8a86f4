// Package answers cuts streamed answers into server-sent events and lets a
// caller go on behind the last event that it has received.
//
// A position names the end of an event by its offset in the answer and by a
// digest of all events before. The answer of another run is continued only
// when its events up to the position are the same.
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

// Errors of resumed answers.
var (
	// ErrInvalidPosition means that a text is not a position.
	ErrInvalidPosition = errors.New("not a position in an answer")
	// ErrMismatch means that another run gave another answer, so that its rest
	// does not fit to what the caller has.
	ErrMismatch = errors.New("answer differs from the one that began")
	// ErrGap means that parts of the answer do not follow each other.
	ErrGap = errors.New("parts of the answer do not follow each other")
)

// Position is a point between two events of an answer.
type Position struct {
	Request call.ID
	// Offset counts the bytes of the answer before the point.
	Offset uint64
	// Digest is that of the events before the point.
	Digest uint64
}

// String returns the position as an event ID.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%016x", p.Request, p.Offset, p.Digest)
}

// ParsePosition reads an event ID.
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

// next returns the position behind an event.
func (p Position) next(event []byte) Position {
	var before [8]byte
	binary.BigEndian.PutUint64(before[:], p.Digest)
	d := xxhash.New()
	_, _ = d.Write(before[:])
	_, _ = d.Write(event)
	return Position{Request: p.Request, Offset: p.Offset + uint64(len(event)), Digest: d.Sum64()}
}

// Event is one whole server-sent event, its blank line included.
type Event struct {
	Data []byte
	// End is the position behind the event.
	End Position
}

// EventSplitter cuts one answer into events.
type EventSplitter struct {
	from    Position // where the caller resumes
	at      Position // the end of the last whole event
	pending []byte   // the event that has begun
	began   bool
}

// NewEventSplitter returns the events of the answer to a request.
func NewEventSplitter(request call.ID) *EventSplitter {
	return ResumeEventSplitter(Position{Request: request})
}

// ResumeEventSplitter returns the events of an answer behind a position. The parts that
// follow may begin at the position, when the target resumes the answer, or at
// zero, when it runs the request again.
func ResumeEventSplitter(from Position) *EventSplitter {
	return &EventSplitter{from: from, at: Position{Request: from.Request}}
}

// Add takes the part at offset and returns the events that it completes and
// that the caller does not have yet. Their data is valid until the next call.
func (e *EventSplitter) Add(offset uint64, part []byte) ([]Event, error) {
	if !e.began {
		e.began = true
		if offset == e.from.Offset {
			e.at = e.from
		}
	}
	if offset != e.at.Offset+uint64(len(e.pending)) {
		return nil, ErrGap
	}
	e.pending = append(e.pending, part...)
	var out []Event
	rest := e.pending
	for {
		n := eventLength(rest)
		if n == 0 {
			break
		}
		before := e.at.Offset
		e.at = e.at.next(rest[:n])
		if fresh, err := e.fresh(before); err != nil {
			return out, err
		} else if fresh {
			out = append(out, Event{Data: rest[:n], End: e.at})
		}
		rest = rest[n:]
	}
	// The returned events share the old buffer.
	e.pending = append([]byte(nil), rest...)
	return out, nil
}

// fresh reports whether the event that began at offset before is one that the
// caller does not have.
func (e *EventSplitter) fresh(before uint64) (bool, error) {
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

// Position returns the position behind the last event that the caller has.
func (e *EventSplitter) Position() Position {
	if e.at.Offset < e.from.Offset {
		return e.from
	}
	return e.at
}

// End checks that the answer ended behind an event and not before the
// position.
func (e *EventSplitter) End() error {
	if len(e.pending) > 0 {
		return ErrGap
	}
	if e.began && e.at.Offset < e.from.Offset {
		return ErrMismatch
	}
	return nil
}

// eventLength returns the length of the event at the start of data with its
// blank line, zero when it is not whole.
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
