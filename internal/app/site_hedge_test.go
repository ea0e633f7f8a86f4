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

// TestSilentHedgeGivesWayToAThirdTarget lets an engine fall silent for good in the middle
// of a stream, and the next one before its first byte: a third one, which the attempts of
// the route allow, takes the stream over.
func TestSilentHedgeGivesWayToAThirdTarget(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		engines := []string{"e1", "e2", "e3"}
		b.worker("e3", "llm", workerd.Options{})
		for _, id := range engines {
			b.restartWorker(id, "llm", workerd.Options{Slots: 64, Events: 6, Work: 20 * time.Millisecond, Silence: time.Minute})
		}
		b.publishAttempts(2, "plain", 3)
		b.wait(4 * time.Second)
		b.fault(workerd.FaultMute)
		done := make(chan answer, 1)
		go func() { done <- b.call("1", "chat") }()
		b.wait(500 * time.Millisecond)
		b.fault(workerd.FaultSilentHead)
		b.wait(time.Second) // the hedge has been sent
		b.fault(workerd.FaultNone)
		a := <-done
		must.NoError(t, a.err)
		must.Eq(t, wholeStream(6), a.body)
	})
}

// TestBegunResponseIsNotGivenUp lets a plain response pause after its first bytes while
// the hedge is silent: the caller gets the response.
func TestBegunResponseIsNotGivenUp(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.replaceTargets(64)
		holder, other := b.holder("status")
		b.workers[holder].Set(workerd.FaultSilent)
		b.workers[other].Set(workerd.FaultMute)
		a := b.call("1", "status")
		must.NoError(t, a.err)
		must.Eq(t, 200, a.status)
	})
}

// TestTwoTargetsDoNotWorkOnAStream lets the hedge of a stream begin its run and fall
// silent before its first event: the first target is stopped all the same.
func TestTwoTargetsDoNotWorkOnAStream(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.replaceTargets(64)
		first, second := b.holder("chat")
		b.workers[first].Set(workerd.FaultMute)
		b.workers[second].Set(workerd.FaultSilentEvent)
		a := b.call("1", "chat")
		must.NoError(t, a.err)
		must.Eq(t, wholeStream(6), a.body)
		b.wait(100 * time.Millisecond)
		former, hedge := b.workers[first].Runs(), b.workers[second].Runs()
		must.False(t, former[len(former)-1].Ended.IsZero())
		must.Less(t, 400*time.Millisecond, former[len(former)-1].Ended.Sub(hedge[len(hedge)-1].At))
	})
}
