package app

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// TestPartitionQuarantinesNoRequest partitions a router from all targets while sound requests run
// there, with the same content or only a part of their prompts that is new. The others, which
// reach all targets, must go on to serve requests like them.
func TestPartitionQuarantinesNoRequest(t *testing.T) {
	for _, repeated := range []bool{false, true} {
		for _, cut := range cuts {
			t.Run(fmt.Sprint("repeated ", repeated, " ", cut), func(t *testing.T) {
				onSite(t, func(t *testing.T, b *siteBed) {
					all := b.engines(workerd.Options{Slots: 64, Events: 6, Work: 300 * time.Millisecond, Gap: 100 * time.Millisecond})
					b.streams("1", 3*time.Second)
					first := b.request("chat", "xx", "yy")
					for n := range 4 {
						request := b.request("chat", "xx", "yy")
						if repeated {
							same := *first
							same.ID = fmt.Sprint("again-", n)
							request = &same
						}
						go b.do("1", request)
					}
					b.wait(150 * time.Millisecond)
					b.views["1"].Partition(cut, all...)
					b.wait(3 * time.Second)
					for _, router := range []string{"1", "2", "3"} {
						must.Eq(t, 0, b.lines.of(router, "Request content or prompt part quarantined: it crashes targets."), must.Sprint("router ", router))
					}
					must.Eq(t, 200, b.callOn("3", "chat", "xx", "yy").status)
				})
			})
		}
	}
}
