package forward

import (
	"errors"
	"io"
)

// readBody reads a part of a response's body and reports whether the body ended there. An error
// that wraps io.EOF is that of a connection on the way, and no end.
func readBody(body io.Reader, buf []byte) (n int, ended bool, err error) {
	n, err = body.Read(buf)
	if err == io.EOF {
		return n, true, nil
	}
	return n, false, err
}

// Errors of streams that end, but not after their last event.
var (
	errNoEvents = &BodyError{Closed: true, Err: errors.New("connection closed before the first event of the stream")}
	errMidEvent = &BodyError{Closed: true, Err: errors.New("stream ended within an event")}
)

// closedByTarget reports whether a send failed since the target closed or reset an open
// connection.
func closedByTarget(err error) bool {
	var (
		failure *SendError
		broken  *BodyError
	)
	switch {
	case errors.As(err, &failure):
		return failure.Closed
	case errors.As(err, &broken):
		return broken.Closed
	default:
		return false
	}
}

// pathFailed reports whether a send failed on the way to its target, and not by the target.
func pathFailed(err error) bool {
	var (
		failure *SendError
		broken  *BodyError
	)
	switch {
	case errors.As(err, &failure):
		return failure.PathFailed
	case errors.As(err, &broken):
		return broken.PathFailed
	default:
		return false
	}
}
