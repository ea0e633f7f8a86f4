package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
)

// TestBrokenCallToARelayIsNoFailureOfItsTarget checks which errors of a relayed request are held
// against its target: those that the relaying router reports of it, and no damage of the
// connection between the routers.
func TestBrokenCallToARelayIsNoFailureOfItsTarget(t *testing.T) {
	ended, end := context.WithCancel(t.Context())
	end()
	for _, c := range []struct {
		err        error
		pathFailed bool
	}{
		{relayFailure("vm-2", call.CodeCut, call.RunUnknown, io.EOF), false},
		{lostLink(call.CodeCut, errors.New("a part is missing")), true},
		{lostLink(call.CodeUnavailable, io.EOF), true},
		{relayFailure("vm-2", call.CodeTargetError, call.RunUnknown, errors.New("malformed response")), false},
		{sendFailure(t.Context(), "vm-2", &SendError{Sent: true, Err: errors.New("malformed response")}), false},
		{sendFailure(ended, "vm-2", &SendError{Sent: true, Err: net.ErrClosed}), true},
		{relayFailure("vm-2", call.CodeUnknownOutcome, call.RunUnknown, errors.New("request was canceled")), true},
		{errors.New("handler panicked"), true},
	} {
		must.Eq(t, c.pathFailed, pathFailed(relayedError("e1", c.err)), must.Sprint("send: ", c.err))
		must.Eq(t, c.pathFailed, pathFailed(relayedBodyError(c.err)), must.Sprint("body: ", c.err))
	}
}
