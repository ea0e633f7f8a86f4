package app

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// TestTargetThatSaysItLeavesGetsNothingMore lets a worker say in its answers that it
// is leaving while its entry at the store never does.
func TestTargetThatSaysItLeavesGetsNothingMore(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		p1 := b.workers["p1"]
		p1.Set(workerd.FaultLeaving)
		for range 20 {
			must.Eq(t, 200, b.call("1", "order").status)
		}
		must.Eq(t, 1, len(p1.Runs()), must.Sprint("the router that got the answer"))
		b.wait(time.Second)
		for _, router := range []string{"1", "2", "3"} {
			for range 10 {
				must.Eq(t, 200, b.call(router, "order").status)
			}
		}
		must.Eq(t, 1, len(p1.Runs()), must.Sprint("the others learn of it with the next digest"))
		b.store.PutJSON("keyed.servers", "p1", map[string]any{
			"Service": "plain", "Addr": "10.1.0.p1:80", "Zone": "dc1", "Slots": 6, "State": "ready", "Seq": 2,
			"born": 1_800_000_000_000,
		})
		p1.Set(workerd.FaultNone)
		b.wait(2 * time.Second)
		for range 10 {
			must.Eq(t, 200, b.call("1", "order").status)
		}
		must.Greater(t, 1, len(p1.Runs()), must.Sprint("it has started again under its name"))
	})
}

// TestForgedAnswerSaysNothingOfLeaving lets a worker answer without the
// mark of a run: that it says to be leaving counts for nothing.
func TestForgedAnswerSaysNothingOfLeaving(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		p1 := b.workers["p1"]
		p1.Set(workerd.FaultForged)
		must.Eq(t, 502, b.call("1", "order").status)
		must.Eq(t, 1, len(p1.Runs()))
		p1.Set(workerd.FaultNone)
		for range 10 {
			must.Eq(t, 200, b.call("1", "order").status)
		}
		must.Greater(t, 1, len(p1.Runs()))
	})
}

// TestTargetThatAsksForAPauseGetsNone checks that a worker which refuses with
// Retry-After gets nothing from that router until the pause has ended, and that
// callers are told when the first worker is back.
func TestTargetThatAsksForAPauseGetsNone(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		for _, id := range []string{"p1", "p2"} {
			b.restartWorker(id, "plain", workerd.Options{Slots: 6, Work: 30 * time.Millisecond, Pause: "2.5"})
			b.workers[id].Set(workerd.FaultPause)
		}
		refused := func() int { return len(b.workers["p1"].Refused()) + len(b.workers["p2"].Refused()) }
		for refused() < 2 {
			must.Eq(t, 503, b.call("1", "order").status)
		}
		for range 8 {
			b.wait(200 * time.Millisecond)
			a := b.call("1", "order")
			must.Eq(t, 503, a.status)
			after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			must.NoError(t, err)
			must.Between(t, 0.5, after, 2.8)
		}
		must.Eq(t, 2, refused(), must.Sprint("none reached a paused worker"))
		b.fault(workerd.FaultNone)
		must.Eq(t, 200, b.call("2", "order").status, must.Sprint("the pause is that of one router"))
		b.wait(1200 * time.Millisecond)
		must.Eq(t, 200, b.call("1", "order").status)
	})
}

// TestBytesWithoutEndAsCallersSeeThem checks for each fault without end that the
// caller gets a true answer in bounded time, and never a part that looks whole.
func TestBytesWithoutEndAsCallersSeeThem(t *testing.T) {
	for _, c := range []struct {
		route  string
		fault  workerd.Fault
		status int
		within time.Duration
	}{
		{"order", workerd.FaultEndlessHead, 502, time.Second},
		{"status", workerd.FaultEndlessHead, 502, time.Second},
		{"chat", workerd.FaultEndlessHead, 502, time.Second},
		{"order", workerd.FaultEndlessRefusal, 503, 200 * time.Millisecond},
		{"chat", workerd.FaultEndlessBody, 502, time.Second},
		{"order", workerd.FaultEndlessBody, 0, 4 * time.Second},
	} {
		t.Run(fmt.Sprint(c.route, " ", c.fault), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.fault(c.fault)
				began := time.Now()
				a := b.call("1", c.route)
				must.LessEq(t, c.within, time.Since(began))
				if c.status == 0 {
					must.Error(t, a.err, must.Sprint("an answer without end does not look whole"))
					return
				}
				must.NoError(t, a.err)
				must.Eq(t, c.status, a.status)
			})
		})
	}
}

// TestLongResponseIsNotContinuedByAnother covers a response that is too long to be
// buffered and breaks off after a part was passed on. The request may be repeated, but
// the response of another run must not be appended to what the caller has.
func TestLongResponseIsNotContinuedByAnother(t *testing.T) {
	for _, fault := range []workerd.Fault{workerd.FaultEndlessBody, workerd.FaultCutLong} {
		t.Run(string(fault), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.workers["p1"].Set(fault)
				a := b.call("1", "status")
				must.Eq(t, 1, len(b.workers["p1"].Runs()))
				must.Error(t, a.err, must.Sprint("a response that broke off must not look complete"))
				must.SliceEmpty(t, b.workers["p2"].Runs())
			})
		})
	}
}

// TestSlowStreamIsNotCut plays engines that pause for longer than the idle timeout of
// streams. A stream is resumed once; on the last engine that it may go to, it must be
// let run to its end.
func TestSlowStreamIsNotCut(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		for _, id := range []string{"e1", "e2"} {
			b.restartWorker(id, "llm", workerd.Options{Slots: 64, Events: 3, Work: 20 * time.Millisecond, Gap: 1300 * time.Millisecond})
		}
		a := b.call("1", "chat")
		must.NoError(t, a.err)
		must.Eq(t, wholeStream(3), a.body)
		must.Eq(t, 2, b.runs())
	})
}
