package app

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// engines replaces the workers of the site and adds two engines. It returns all addresses.
func (b *siteBed) engines(opt workerd.Options) []string {
	b.replaceWorkers(opt)
	for _, id := range []string{"e3", "e4"} {
		b.worker(id, "llm", opt)
	}
	b.wait(2 * time.Second)
	return append([]string{"10.1.0.e3:80", "10.1.0.e4:80"}, workerAddresses...)
}

// streams sends ten streams a second to a router for a while, and returns how many were whole.
func (b *siteBed) streams(router string, length time.Duration) (whole, sent int) {
	sent = int(length / (100 * time.Millisecond))
	answers := make(chan answer, sent)
	for range sent {
		go func() { answers <- b.call(router, "chat") }()
		b.wait(100 * time.Millisecond)
	}
	for range sent {
		if a := <-answers; a.err == nil && a.status == 200 && a.body == wholeStream(6) {
			whole++
		}
	}
	return whole, sent
}

// TestRelayedCrashesQuarantine plays a prompt part that crashes engines, at a router that reaches
// them by others only. The crashes must count as those that a router sees itself.
func TestRelayedCrashesQuarantine(t *testing.T) {
	for _, head := range []bool{false, true} {
		onSite(t, func(t *testing.T, b *siteBed) {
			b.crashingEngines("dead", head)
			addresses := []string{"10.1.0.p1:80", "10.1.0.p2:80"}
			for i := range 6 {
				addresses = append(addresses, fmt.Sprintf("10.1.0.e%d:80", i+1))
			}
			b.views["1"].Partition(kerneltest.CutReset, addresses...)
			b.warmRelays()
			for range 20 {
				b.callOn("1", "chat", "aa", "dead", "bb")
				b.wait(500 * time.Millisecond)
			}
			must.Eq(t, 1, b.lines.of("1", "Request content or prompt part quarantined: it crashes targets."))
			must.LessEq(t, 5, b.crashes())
		})
	}
}

// TestLostRelayOfAHedgeEjectsNoTarget kills the routers that relay hedges whose responses have
// begun, without an event yet.
func TestLostRelayOfAHedgeEjectsNoTarget(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		all := b.engines(workerd.Options{Slots: 64, Events: 6, Work: 30 * time.Millisecond, Silence: time.Minute})
		b.views["1"].Partition(kerneltest.CutReset, all...)
		b.warmRelays()
		b.streams("1", 3*time.Second)
		ejected := b.lines.of("1", "Target ejected after failures.")
		b.fault(workerd.FaultMute)
		answers := b.callAll("chat", 12)
		b.wait(200 * time.Millisecond)
		b.fault(workerd.FaultSilentEvent)
		b.wait(1200 * time.Millisecond)
		b.stop("2")
		b.stop("3")
		for range 12 {
			<-answers
		}
		must.Positive(t, b.lines.of("1", "Hedge ended without a usable response."))
		must.Eq(t, ejected, b.lines.of("1", "Target ejected after failures."))
	})
}

// TestStoppedRouterEndsNoResponse kills the router that callers are connected to.
func TestStoppedRouterEndsNoResponse(t *testing.T) {
	for name, path := range paths {
		t.Run(name, func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.replaceWorkers(workerd.Options{Slots: 64, Events: 6, Work: 30 * time.Millisecond, Gap: 200 * time.Millisecond})
				path(b)
				answers := b.callAll("chat", 10)
				b.wait(700 * time.Millisecond)
				b.stop("1")
				for range 10 {
					a := <-answers
					must.True(t, a.err != nil || a.status != 200 || isWhole("chat", a.body))
				}
			})
		})
	}
}
