package app

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// TestSilentTargetOutlastsABrokenHedge lets the hedge break off after the head of its
// response: the silent target is sound and its response arrives.
func TestSilentTargetOutlastsABrokenHedge(t *testing.T) {
	for _, first := range []workerd.Fault{workerd.FaultSilentHead, workerd.FaultSilent} {
		t.Run(string(first), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.replaceTargets(64)
				holder, other := b.holder("status")
				b.workers[holder].Set(first)
				b.workers[other].Set(workerd.FaultCut)
				a := b.call("1", "status")
				must.NoError(t, a.err)
				must.Eq(t, 200, a.status)
			})
		})
	}
}

// TestDeniedHedgeDoesNotCutTheStream lets the retry budget deny a hedge and then break
// the stream off: it is resumed at the target that the hedge did not reach.
func TestDeniedHedgeDoesNotCutTheStream(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.replaceTargets(64)
		b.fault(workerd.FaultPause)
		for range 30 {
			must.Eq(t, 503, b.call("1", "chat").status)
		}
		b.fault(workerd.FaultSilentCut)
		done := make(chan answer, 1)
		go func() { done <- b.call("1", "chat") }()
		b.wait(1350 * time.Millisecond) // the hedge has been denied
		b.fault(workerd.FaultNone)
		for range 20 {
			go b.call("1", "chat")
		}
		a := <-done
		must.NoError(t, a.err)
		must.Eq(t, wholeStream(6), a.body)
	})
}
