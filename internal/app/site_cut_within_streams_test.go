package app

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// TestRouterCutOffWithinStreamsServesByOthers partitions a router while streams run, and no other
// requests come for their service. From three seconds later it must serve by way of the others.
func TestRouterCutOffWithinStreamsServesByOthers(t *testing.T) {
	for _, cut := range cuts {
		t.Run(string(cut), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				all := b.engines(workerd.Options{Slots: 64, Events: 6, Work: 100 * time.Millisecond, Gap: 100 * time.Millisecond})
				time.AfterFunc(time.Second, func() { b.views["1"].Partition(cut, all...) })
				b.streams("1", 4*time.Second)
				whole, sent := b.streams("1", 6*time.Second)
				must.GreaterEq(t, sent*95/100, whole, must.Sprint("of ", sent))
			})
		})
	}
}
