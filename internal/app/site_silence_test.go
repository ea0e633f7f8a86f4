package app

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// silence is how long a sound target may send nothing in these tests.
const silence = 1500 * time.Millisecond

// replaceTargets gives all targets the same silence, without a fault yet.
func (b *siteBed) replaceTargets(slots int) {
	for _, id := range []string{"e1", "e2"} {
		b.restartWorker(id, "llm", workerd.Options{Slots: slots, Events: 6, Work: 20 * time.Millisecond, Silence: silence})
	}
	for _, id := range []string{"p1", "p2"} {
		b.restartWorker(id, "plain", workerd.Options{Slots: slots, Work: 30 * time.Millisecond, Silence: silence})
	}
}

// holder sends a request and returns the target that ran it and the other one.
func (b *siteBed) holder(route string) (string, string) {
	must.Eq(b.t, 200, b.call("1", route).status)
	for _, pair := range [][2]string{{"e1", "e2"}, {"p1", "p2"}} {
		for i, id := range pair {
			if len(b.workers[id].Runs()) > 0 {
				return id, pair[1-i]
			}
		}
	}
	b.t.Fatal("no target ran the request")
	return "", ""
}

// TestSilentTargetIsNotCutOff lets a sound engine fall silent in the middle of a stream
// while the other engine can't take it over: the caller gets the whole stream.
func TestSilentTargetIsNotCutOff(t *testing.T) {
	for _, other := range []workerd.Fault{
		workerd.FaultRefuse, workerd.FaultMute, workerd.FaultSilentHead, workerd.FaultEndlessRefusal, workerd.FaultEndlessHead,
		workerd.FaultUnframedEmpty,
	} {
		t.Run(string(other), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.replaceTargets(64)
				first, second := b.holder("chat")
				b.workers[first].Set(workerd.FaultSilent)
				b.workers[second].Set(other)
				a := b.call("1", "chat")
				must.NoError(t, a.err)
				must.Eq(t, wholeStream(6), a.body)
			})
		})
	}
}

// TestSilentTargetOutlastsTheRetryBudget lets a sound engine fall silent in the middle
// of a stream when the router may not repeat any request.
func TestSilentTargetOutlastsTheRetryBudget(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.replaceTargets(64)
		b.fault(workerd.FaultRefuse)
		for range 30 {
			must.Eq(t, 503, b.call("1", "chat").status)
		}
		b.fault(workerd.FaultSilent)
		a := b.call("1", "chat")
		must.NoError(t, a.err)
		must.Eq(t, wholeStream(6), a.body)
	})
}

// TestResumedStreamSurvivesSilence breaks a stream off at one engine; the last one that
// it may be sent to is silent before it goes on with it.
func TestResumedStreamSurvivesSilence(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.replaceTargets(64)
		first, second := b.holder("chat")
		b.workers[first].Set(workerd.FaultCut)
		b.workers[second].Set(workerd.FaultSilentHead)
		a := b.call("1", "chat")
		must.NoError(t, a.err)
		must.Eq(t, wholeStream(6), a.body)
	})
}

// TestSilentTargetIsReplaced lets an engine fall silent for good in the middle of a
// stream: the other one takes it over, and the first one is stopped.
func TestSilentTargetIsReplaced(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.replaceTargets(64)
		first, _ := b.holder("chat")
		b.workers[first].Set(workerd.FaultMute)
		a := b.call("1", "chat")
		must.NoError(t, a.err)
		must.Eq(t, wholeStream(6), a.body)
		b.wait(100 * time.Millisecond)
		runs := b.workers[first].Runs()
		must.False(t, runs[len(runs)-1].Ended.IsZero())
	})
}

// TestSilentResponseSurvivesReplacement covers responses other than streams: silent
// before or after their first byte, on routes that may and may not be repeated, while
// the other target refuses.
func TestSilentResponseSurvivesReplacement(t *testing.T) {
	for _, c := range []struct {
		route string
		fault workerd.Fault
	}{
		{"status", workerd.FaultSilent},
		{"status", workerd.FaultSilentHead},
		{"status", workerd.FaultSilentLong},
		{"order", workerd.FaultSilent},
		{"order", workerd.FaultSilentHead},
		{"draft", workerd.FaultSilent},
		{"draft", workerd.FaultSilentHead},
	} {
		t.Run(fmt.Sprint(c.route, " ", c.fault), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.replaceTargets(64)
				first, second := b.holder(c.route)
				b.workers[second].Set(workerd.FaultRefuse)
				b.workers[first].Set(c.fault)
				b.publish(2, "plain")
				a := b.call("1", c.route)
				must.NoError(t, a.err)
				must.Eq(t, 200, a.status)
				if c.route == "draft" {
					must.Eq(t, wholeStream(6), a.body)
					return
				}
				must.True(t, strings.HasPrefix(a.body, "answer of ") || len(a.body) == 1<<20)
			})
		})
	}
}
