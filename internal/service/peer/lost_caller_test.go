package peer

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/kernel"
)

// TestLostCallerIsNoErrorOfASocket loses the router that asked in the middle of an answer. What
// ends the handler must not pass for the end of a connection that it has to somebody else.
func TestLostCallerIsNoErrorOfASocket(t *testing.T) {
	canceled := make(chan error, 1)
	a := startRouter(t, "a", kernel.SystemNetwork{}, "", nil)
	b := startRouter(t, "b", kernel.SystemNetwork{}, "", func(s *Service) {
		s.HandleCall(KindRun, blockUntilCanceled(canceled, call.RunUnknown))
	})
	introduceAll(t, a, b)
	out := &recorded{onGet: func() {
		for _, c := range b.links.all() {
			c.close(fmt.Errorf("read frame: %w", io.EOF))
		}
	}}
	must.Error(t, a.Call(t.Context(), "b", KindRun, &call.Request{ID: "r", Attempt: 1}, out))
	cause := <-canceled
	must.StrContains(t, cause.Error(), "connection to the caller's router ended")
	must.False(t, errors.Is(cause, io.EOF), must.Sprint(cause))
}
