package app

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// cutOffRouter partitions router 1 from all workers and lets it learn that.
func (b *siteBed) cutOffRouter(cut kerneltest.Cut) {
	b.views["1"].Partition(cut, workerAddresses...)
	b.warmRelays()
}

// callAll sends requests to router 1 at the same time. The answers come in no order.
func (b *siteBed) callAll(route string, n int) <-chan answer {
	answers := make(chan answer, n)
	for range n {
		go func() { answers <- b.call("1", route) }()
	}
	return answers
}

// isWhole reports whether an answer to a request of a route is complete.
func isWhole(route, body string) bool {
	if route == "chat" || route == "draft" {
		return body == wholeStream(6)
	}
	return len(body) == workerd.LongBytes || strings.HasPrefix(body, "answer of ") && strings.Contains(body, " to r")
}

// TestLostRelayEndsNoResponse kills all routers that relay for one that reaches no worker, in
// the middle of responses of all kinds. None may look complete.
func TestLostRelayEndsNoResponse(t *testing.T) {
	for _, c := range []struct {
		route string
		fault workerd.Fault
		after time.Duration
	}{
		{"chat", workerd.FaultNone, 700 * time.Millisecond},
		{"draft", workerd.FaultNone, 700 * time.Millisecond},
		{"chat", workerd.FaultUnframed, 100 * time.Millisecond},
		{"draft", workerd.FaultUnframed, 100 * time.Millisecond},
		{"chat", workerd.FaultSilentEvent, 300 * time.Millisecond},
		{"draft", workerd.FaultSilentEvent, 300 * time.Millisecond},
		{"order", workerd.FaultSilentChunked, 300 * time.Millisecond},
		{"status", workerd.FaultSilentChunked, 300 * time.Millisecond},
		{"order", workerd.FaultSilent, 300 * time.Millisecond},
		{"order", workerd.FaultUnframed, 25 * time.Millisecond},
	} {
		for _, cut := range cuts {
			t.Run(fmt.Sprint(c.route, " ", c.fault, " ", cut), func(t *testing.T) {
				onSite(t, func(t *testing.T, b *siteBed) {
					b.replaceWorkers(workerd.Options{Slots: 64, Events: 6, Work: 30 * time.Millisecond, Gap: 200 * time.Millisecond, Silence: time.Minute})
					b.cutOffRouter(cut)
					b.fault(c.fault)
					answers := b.callAll(c.route, 10)
					b.wait(c.after)
					b.stop("2")
					b.stop("3")
					for range 10 {
						a := <-answers
						must.True(t, a.err != nil || a.status != 200 || isWhole(c.route, a.body), must.Sprintf("looks complete with %q", a.body[:min(len(a.body), 100)]))
					}
				})
			})
		}
	}
}

// TestLostRelayEndsNoHedgedResponse kills all routers that relay once a hedge has the head of
// its response and the first send is silent.
func TestLostRelayEndsNoHedgedResponse(t *testing.T) {
	for _, c := range []struct {
		route         string
		first, second workerd.Fault
	}{
		{"chat", workerd.FaultMute, workerd.FaultSilentEvent},
		{"chat", workerd.FaultMute, workerd.FaultMute},
		{"status", workerd.FaultSilentHead, workerd.FaultSilentChunked},
		{"chat", workerd.FaultSilentHead, workerd.FaultSilentEvent},
	} {
		t.Run(fmt.Sprint(c.route, " ", c.first, " ", c.second), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.replaceWorkers(workerd.Options{Slots: 64, Events: 6, Work: 30 * time.Millisecond, Silence: time.Minute})
				b.cutOffRouter(kerneltest.CutReset)
				b.fault(c.first)
				answers := b.callAll(c.route, 4)
				b.wait(200 * time.Millisecond)
				b.fault(c.second)
				b.wait(1200 * time.Millisecond)
				b.stop("2")
				b.stop("3")
				for range 4 {
					a := <-answers
					must.True(t, a.err != nil || a.status != 200 || isWhole(c.route, a.body), must.Sprintf("looks complete with %q", a.body[:min(len(a.body), 100)]))
				}
			})
		})
	}
}

// TestStreamsOfALostRelayGoOn kills one of two routers that relay. Streams that it relayed go on
// by way of the other one.
func TestStreamsOfALostRelayGoOn(t *testing.T) {
	for _, cut := range cuts {
		t.Run(string(cut), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.replaceWorkers(workerd.Options{Slots: 64, Events: 6, Work: 30 * time.Millisecond, Gap: 200 * time.Millisecond})
				b.cutOffRouter(cut)
				answers := b.callAll("chat", 20)
				b.wait(700 * time.Millisecond)
				b.stop("2")
				whole := 0
				for range 20 {
					if a := <-answers; a.err == nil && a.status == 200 && a.body == wholeStream(6) {
						whole++
					}
				}
				must.GreaterEq(t, 16, whole, must.Sprint("streams that are whole"))
			})
		})
	}
}
