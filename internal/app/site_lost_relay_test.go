package app

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"syscall"
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

// TestStreamsOfALostRelayGoOn kills one of two routers that relay, and later the other. Streams
// that it relayed go on by way of the one that is left. Targets and retry budget have room.
func TestStreamsOfALostRelayGoOn(t *testing.T) {
	for _, cut := range cuts {
		t.Run(string(cut), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.replaceWorkers(workerd.Options{Slots: 64, Events: 6, Work: 30 * time.Millisecond, Gap: 200 * time.Millisecond})
				b.cutOffRouter(cut)
				whole := 0
				stream := func(lost string) {
					answers := b.callAll("chat", 10)
					b.wait(700 * time.Millisecond)
					b.stop(lost)
					for range 10 {
						if a := <-answers; a.err == nil && a.status == 200 && a.body == wholeStream(6) {
							whole++
						}
					}
				}
				for range 6 {
					stream("")
				}
				must.Eq(t, 60, whole)
				whole = 0
				stream("2")
				b.router("2")
				b.wait(3 * time.Second)
				stream("3")
				must.GreaterEq(t, 16, whole, must.Sprint("streams of 20 that are whole"))
			})
		})
	}
}

// loseRelays kills the routers that relay for router 1, one after the other, each while streams
// with the same prompt part, one of them repeated by its caller, and orders are at sound workers,
// some time after they were sent. It returns how many targets the routers had ejected before: the
// partition begins with failures that are not known to be the path's.
func (b *siteBed) loseRelays(after time.Duration) (ejected int) {
	opt := workerd.Options{Slots: 64, Events: 6, Work: 300 * time.Millisecond, Gap: 200 * time.Millisecond}
	b.replaceWorkers(opt)
	for _, id := range []string{"e3", "e4"} {
		b.worker(id, "llm", opt)
	}
	b.wait(2 * time.Second)
	b.views["1"].Partition(kerneltest.CutReset, append([]string{"10.1.0.e3:80", "10.1.0.e4:80"}, workerAddresses...)...)
	b.warmRelays()
	ejected = b.ejected()
	repeated := b.request("chat", "aa", "bb")
	for i := range 6 {
		lost := []string{"2", "3"}[i%2]
		streams, orders := b.callAll("chat", 12), b.callAll("order", 4)
		for n := range 4 {
			again := *repeated
			again.ID = fmt.Sprintf("again-%d-%d", i, n)
			go b.do("1", &again)
		}
		b.wait(after)
		b.stop(lost)
		for range 12 {
			<-streams
		}
		for range 4 {
			<-orders
		}
		b.router(lost)
		b.wait(3 * time.Second)
	}
	return ejected
}

// ejected counts the ejections of targets at all routers.
func (b *siteBed) ejected() int {
	n := 0
	for _, router := range []string{"1", "2", "3"} {
		n += b.lines.of(router, "Target ejected after failures.")
	}
	return n
}

// relayLosses are the times between requests and the loss of their relaying router: before the
// first event of a stream, and after it.
var relayLosses = []time.Duration{100 * time.Millisecond, 700 * time.Millisecond}

// TestLostRelayIsNoCrashOfATarget checks that requests whose relaying routers were lost are not
// suspected of crashing targets, nor parts of their prompts, and no send counts as broken off by
// its target.
func TestLostRelayIsNoCrashOfATarget(t *testing.T) {
	for _, after := range relayLosses {
		t.Run(fmt.Sprint("after ", after), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.loseRelays(after)
				for _, router := range []string{"1", "2", "3"} {
					must.Eq(t, 0, b.lines.of(router, "Request content or prompt part suspected of crashing targets."), must.Sprint("router ", router))
				}
				must.StrContains(t, b.get("10.0.0.1:83", "/metrics").body, "forward_engine_crashes_total 0\n")
			})
		})
	}
}

// TestLostRelayEjectsNoTarget checks that no router ejects a target for responses whose relaying
// routers were lost.
func TestLostRelayEjectsNoTarget(t *testing.T) {
	for _, after := range relayLosses {
		t.Run(fmt.Sprint("after ", after), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				must.Eq(t, b.loseRelays(after), b.ejected())
			})
		})
	}
}

// TestCutStreamIsResetForOldCallers kills all routers that relay a stream to a caller of HTTP/1.0,
// who knows its end by that of the connection alone.
func TestCutStreamIsResetForOldCallers(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.replaceWorkers(workerd.Options{Slots: 64, Events: 6, Work: 30 * time.Millisecond, Gap: 200 * time.Millisecond})
		b.cutOffRouter(kerneltest.CutReset)
		get := func() <-chan answer {
			c, err := b.network.DialContext(t.Context(), "tcp", "10.0.0.1:80")
			must.NoError(t, err)
			request := b.request("draft", "aa", "bb")
			r, err := request.HTTP(t.Context(), "10.0.0.1:80")
			must.NoError(t, err)
			var text bytes.Buffer
			must.NoError(t, r.Write(&text))
			_, err = c.Write(bytes.Replace(text.Bytes(), []byte("HTTP/1.1"), []byte("HTTP/1.0"), 1))
			must.NoError(t, err)
			done := make(chan answer, 1)
			go func() {
				defer c.Close()
				body, err := io.ReadAll(c)
				done <- answer{body: string(body), err: err}
			}()
			return done
		}
		whole := <-get()
		must.NoError(t, whole.err)
		must.StrHasSuffix(t, wholeStream(6), whole.body)
		cut := get()
		b.wait(700 * time.Millisecond)
		b.stop("2")
		b.stop("3")
		must.ErrorIs(t, (<-cut).err, syscall.ECONNRESET)
	})
}
