package app

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/standin/keyedlog"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// engineAddresses are the addresses of the engines of wideEngines.
var engineAddresses = []string{"10.1.0.e1:80", "10.1.0.e2:80", "10.1.0.e3:80", "10.1.0.e4:80"}

// wideEngines gives the site four engines with room for many streams.
func (b *siteBed) wideEngines() {
	opt := workerd.Options{Slots: 64, Events: 6, Work: 300 * time.Millisecond, Gap: 200 * time.Millisecond}
	b.replaceWorkers(opt)
	for _, id := range []string{"e3", "e4"} {
		b.worker(id, "llm", opt)
	}
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		b.store.PutWorker(keyedlog.Worker{ID: id, Service: "llm", Address: "10.1.0." + id + ":80", DataCentre: "dc1", Slots: 64})
	}
	b.wait(2 * time.Second)
}

// resetPaths resets all connections of router 1 to engines, and refuses new ones, while
// streams that began some time ago run on them.
func (b *siteBed) resetPaths(route string, after time.Duration) {
	const streams = 64
	b.wideEngines()
	answers := b.callAll(route, streams)
	b.wait(after)
	b.views["1"].Partition(kerneltest.CutReset, engineAddresses...)
	b.wait(5 * time.Second)
	for range streams {
		<-answers
	}
}

// resetTimes are times of a stream: before its first event, and after it.
var resetTimes = []time.Duration{100 * time.Millisecond, 700 * time.Millisecond}

// TestReportsOfAResetRouterEjectNoTarget resets the connections of one router to all engines.
// The others, which reach them, must not eject any on its report.
func TestReportsOfAResetRouterEjectNoTarget(t *testing.T) {
	for _, route := range []string{"chat", "draft"} {
		for _, after := range resetTimes {
			t.Run(fmt.Sprint(route, " after ", after), func(t *testing.T) {
				onSite(t, func(t *testing.T, b *siteBed) {
					b.resetPaths(route, after)
					for _, router := range []string{"2", "3"} {
						must.Eq(t, 0, b.lines.of(router, "Target ejected after failures."), must.Sprint("router ", router))
					}
				})
			})
		}
	}
}

// TestResetsOfAPathQuarantineNoPart resets the connections of one router to all engines, while
// requests with prompt parts that are new run there. No router may take the parts for deadly.
func TestResetsOfAPathQuarantineNoPart(t *testing.T) {
	for _, route := range []string{"chat", "draft"} {
		for _, after := range resetTimes {
			t.Run(fmt.Sprint(route, " after ", after), func(t *testing.T) {
				onSite(t, func(t *testing.T, b *siteBed) {
					b.resetPaths(route, after)
					for _, router := range []string{"1", "2", "3"} {
						must.Eq(t, 0, b.lines.of(router, "Request content or prompt part quarantined: it crashes targets."), must.Sprint("router ", router))
					}
					must.Eq(t, 200, b.callOn("2", "chat", "aa", "bb").status)
				})
			})
		}
	}
}

// TestLateResetsOfAPathQuarantineNoPart resets the connections of a router to one engine after
// the other, when it knows that it can't reach them any more. None of them has crashed.
func TestLateResetsOfAPathQuarantineNoPart(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.wideEngines()
		for _, id := range []string{"e1", "e2", "e3", "e4"} {
			b.restartWorker(id, "llm", workerd.Options{Slots: 64, Events: 6, Work: 2500 * time.Millisecond})
		}
		b.wait(time.Second)
		answers := b.callAll("draft", 24)
		b.wait(100 * time.Millisecond)
		b.views["1"].Partition(kerneltest.CutRefuse, engineAddresses...)
		more := b.callAll("draft", 4)
		b.wait(500 * time.Millisecond)
		must.Positive(t, b.lines.of("1", "This router can't reach most targets of a service."))
		for _, address := range engineAddresses {
			b.views["1"].Reset(address)
			b.wait(200 * time.Millisecond)
		}
		for range 24 {
			<-answers
		}
		for range 4 {
			<-more
		}
		b.wait(time.Second)
		for _, router := range []string{"1", "2", "3"} {
			must.Eq(t, 0, b.lines.of(router, "Request content or prompt part suspected of crashing targets."), must.Sprint("router ", router))
			must.Eq(t, 0, b.lines.of(router, "Request content or prompt part quarantined: it crashes targets."), must.Sprint("router ", router))
		}
	})
}

// TestResetStreamsShowThatThePathHasFailed resets the connections of one router to all engines
// after the heads of streams. It must serve by way of the others soon, instead of taking all
// engines for failed.
func TestResetStreamsShowThatThePathHasFailed(t *testing.T) {
	for _, streams := range []int{10, 20, 64} {
		for _, after := range []time.Duration{500 * time.Millisecond, 700 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprint(streams, " streams after ", after), func(t *testing.T) {
				onSite(t, func(t *testing.T, b *siteBed) {
					b.wideEngines()
					answers := b.callAll("chat", streams)
					b.wait(after)
					b.views["1"].Partition(kerneltest.CutReset, engineAddresses...)
					b.wait(time.Second)
					must.Positive(t, b.lines.of("1", "This router can't reach most targets of a service."))
					later := b.callAll("chat", 10)
					for range streams {
						<-answers
					}
					for range 10 {
						must.Eq(t, wholeStream(6), (<-later).body)
					}
				})
			})
		}
	}
}
