package app

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// TestRelayRefusedForOneTargetServesByOthers partitions a router from all workers of a service, one
// of which wants a pause from the routers that relay. They refuse to send requests there, and must
// go on to relay those for the others.
func TestRelayRefusedForOneTargetServesByOthers(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		opt := workerd.Options{Slots: 64, Events: 6, Work: 20 * time.Millisecond, Pause: "3"}
		b.replaceWorkers(opt)
		for _, id := range []string{"p3", "p4"} {
			b.worker(id, "plain", opt)
		}
		b.wait(2 * time.Second)
		b.views["1"].Partition(kerneltest.CutRefuse, append([]string{"10.1.0.p3:80", "10.1.0.p4:80"}, workerAddresses...)...)
		b.warmRelays()
		b.wait(3 * time.Second)
		b.workers["p1"].Set(workerd.FaultPause)
		for range 12 {
			b.call("2", "order")
			b.call("3", "order")
		}
		const sent = 40
		answered := make(map[string]int)
		for range sent {
			for _, router := range []string{"1", "2", "3"} {
				if b.call(router, "order").status == 200 {
					answered[router]++
				}
			}
			b.wait(50 * time.Millisecond)
		}
		for _, router := range []string{"1", "2", "3"} {
			must.GreaterEq(t, sent*95/100, answered[router], must.Sprint("router ", router))
		}
	})
}
