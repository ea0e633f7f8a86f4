package peer

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/kernel"
)

// TestStoppedRouterCancelsNoCallOfOthers stops a router that serves calls of many others. That
// these are canceled there is no word of theirs: none is told that its call was canceled.
func TestStoppedRouterCancelsNoCallOfOthers(t *testing.T) {
	const others = 48
	canceled := make(chan error, others)
	owner := startRouter(t, "owner", kernel.SystemNetwork{}, "", func(s *Service) {
		s.HandleCall(KindRun, blockUntilCanceled(canceled, call.RunUnknown))
	})
	var begun sync.WaitGroup
	begun.Add(others)
	errs := make(chan error, others)
	for i := range others {
		caller := startRouter(t, fmt.Sprint("caller-", i), kernel.SystemNetwork{}, "", nil)
		introduceAll(t, owner, caller)
		go func() {
			var once sync.Once
			errs <- caller.Call(t.Context(), "owner", KindRun, &call.Request{ID: "r", Attempt: 1}, &recorded{onGet: func() { once.Do(begun.Done) }})
		}()
	}
	begun.Wait()
	must.NoError(t, owner.Stop(context.Background()))
	for range others {
		e := call.AsError(<-errs)
		must.Eq(t, call.CodeUnavailable, e.Code, must.Sprint(e))
		must.Eq(t, step, e.Step, must.Sprint(e))
	}
}
