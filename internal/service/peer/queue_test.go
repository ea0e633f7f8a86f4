package peer

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
)

// TestRouterThatDoesNotReadTakesLittleMemory sends to a router that reads nothing: what
// waits for it is bounded in bytes, and loads leave room for other messages.
func TestRouterThatDoesNotReadTakesLittleMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		a := startRouter(t, "a", kerneltest.NewNetwork(), "", nil)
		b := startRouter(t, "b", a.net, "", func(s *Service) {
			s.HandleControl(KindLease, func(fleet.VM, []byte) { <-release })
		})
		introduceAll(t, a, b)
		t.Cleanup(func() { close(release) })
		_ = a.Send("b", KindLease, nil) // opens the connection
		time.Sleep(100 * time.Millisecond)
		must.NoError(t, a.Send("b", KindLease, nil))
		time.Sleep(100 * time.Millisecond)

		fill := func(kind Kind) int64 {
			var err error
			for range 200 {
				if err = a.Send("b", kind, make([]byte, 32<<10)); err != nil {
					break
				}
			}
			must.True(t, errors.Is(err, ErrQueueFull), must.Sprint(kind, ": ", err))
			time.Sleep(2 * tickPeriod)
			return a.count("queued_bytes")
		}
		must.LessEq(t, maxQueuedLoadBytes, fill(KindLoad))
		must.NoError(t, a.Send("b", KindConfig, make([]byte, 100<<10)))
		must.LessEq(t, maxQueuedBytes, fill(KindConfig))
		must.Eq(t, 2, a.count("queue_full"))
	})
}
