package peer

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire"
)

const step = "peer"

// Errors of Send and of connections.
var (
	ErrNotConnected = errors.New("router is not connected")
	ErrQueueFull    = errors.New("send queue is full")
	errSilent       = errors.New("connection went silent")
	errReplaced     = errors.New("connection was replaced")
	errStopping     = errors.New("router stops")
	errWindow       = errors.New("answer overruns its window")
)

// shown are the errors that the causes of calls unwrap to.
var shown = []error{ErrNotConnected, ErrQueueFull, errSilent, errReplaced, errStopping, errWindow, wire.ErrMalformed, wire.ErrTooLarge}

// linkError is the failure of a connection, as the cause of the calls on it. The errors of the
// socket don't show through: the end of a connection is not the end of what a call carried,
// which is often the connection of somebody else.
type linkError struct{ err error }

// Error describes the failure.
func (e linkError) Error() string { return e.err.Error() }

// Is reports whether the failure is one of the package's own errors.
func (e linkError) Is(target error) bool {
	return slices.Contains(shown, target) && errors.Is(e.err, target)
}

// unsent is the error of a call of which no byte was sent.
func unsent(to fleet.VM, cause error) *call.Error {
	return &call.Error{
		Code:    call.CodeUnavailable,
		Message: "cannot reach the router",
		Step:    step,
		Peer:    string(to),
		Run:     call.RunNot,
		Cause:   linkError{cause},
	}
}

// lost is the error of a call whose answer did not come whole.
func lost(to fleet.VM, cause error) *call.Error {
	return &call.Error{
		Code:    call.CodeUnavailable,
		Message: "connection to the router was lost",
		Step:    step,
		Peer:    string(to),
		Run:     call.RunUnknown,
		Cause:   linkError{cause},
	}
}

// cut is the error of an answer that is missing a part.
func cut(to fleet.VM, cause error) *call.Error {
	e := lost(to, cause)
	e.Code = call.CodeCut
	e.Message = "answer was cut off"
	return e
}

// given is the error of a call that this side gave up on.
func given(ctx context.Context, to fleet.VM, run call.Run) *call.Error {
	e := &call.Error{
		Code:    call.CodeCanceled,
		Message: "request was canceled",
		Step:    step,
		Peer:    string(to),
		Run:     run,
		Cause:   context.Cause(ctx),
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.Code = call.CodeDeadline
		e.Message = "deadline passed at the other router"
	}
	return e
}

// refused is what this router answers to a stream that it does not take.
func refused(self fleet.VM, code call.Code, message string) *call.Error {
	return &call.Error{Code: code, Message: message, Step: step, Peer: string(self), Run: call.RunNot}
}

func errorf(format string, args ...any) error { return fmt.Errorf("peer: "+format, args...) }
