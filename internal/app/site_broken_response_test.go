package app

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// replaceWorkers starts all workers of the site again with other options.
func (b *siteBed) replaceWorkers(opt workerd.Options) {
	for id, service := range map[string]string{"e1": "llm", "e2": "llm", "p1": "plain", "p2": "plain"} {
		b.restartWorker(id, service, opt)
	}
	b.wait(2 * time.Second)
}

// paths are the ways on which requests reach workers: straight, and by way of a peer.
var paths = map[string]func(b *siteBed){
	"straight":    func(*siteBed) {},
	"by a router": func(b *siteBed) { b.views["1"].Partition(kerneltest.CutRefuse, workerAddresses...); b.warmRelays() },
}

// warmRelays sends requests until the router knows that it reaches no worker.
func (b *siteBed) warmRelays() {
	for range 20 {
		b.call("1", "status")
		b.call("1", "chat")
		b.wait(50 * time.Millisecond)
	}
}

// TestErrorIsNoPartOfAStream breaks streams off. The next worker answers the request for the
// rest with an error, whose text may look like events, or is empty. Callers must find their
// stream broken off: neither with the error in it, nor as if it were complete.
func TestErrorIsNoPartOfAStream(t *testing.T) {
	for name, path := range paths {
		for _, status := range []int{http.StatusNoContent, http.StatusFound, http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusInternalServerError, http.StatusBadGateway} {
			for kind, body := range map[string]string{"empty": "", "text": "no such stream\n", "events": "id: 3\ndata: no such stream\n\nHTTP/1.1 500 Error\r\n\r\n\n\n"} {
				if status == http.StatusNoContent && body != "" {
					continue
				}
				t.Run(fmt.Sprint(name, " ", status, " ", kind), func(t *testing.T) {
					onSite(t, func(t *testing.T, b *siteBed) {
						b.replaceWorkers(workerd.Options{Slots: 64, Events: 6, Work: 20 * time.Millisecond, Gap: 200 * time.Millisecond, Status: status, ErrorBody: body})
						path(b)
						for range 3 {
							b.checkBrokenStream(t)
						}
					})
				})
			}
		}
	}
}

// checkBrokenStream begins a stream, breaks it off after some events and checks what its caller
// gets.
func (b *siteBed) checkBrokenStream(t *testing.T) {
	t.Helper()
	b.fault(workerd.FaultResumeError)
	done := make(chan answer)
	go func() { done <- b.callOn("1", "chat", "aa", "bb") }()
	b.wait(500 * time.Millisecond)
	for _, w := range b.workers {
		w.BreakOff()
	}
	a := <-done
	b.fault(workerd.FaultNone)
	b.wait(time.Second)
	must.Eq(t, 200, a.status)
	must.Error(t, a.err, must.Sprintf("the stream looks complete: %q", a.body))
	must.True(t, strings.HasPrefix(wholeStream(6), a.body), must.Sprintf("got %q", a.body))
}

// TestErrorForTheRestOfAStreamIsPassedOn lets callers take up streams for which the worker has
// an error. They get its status, its body and its stamp.
func TestErrorForTheRestOfAStreamIsPassedOn(t *testing.T) {
	for name, path := range paths {
		for _, body := range []string{"", "no such stream\n", "first\n\nsecond"} {
			t.Run(fmt.Sprintf("%s %q", name, body), func(t *testing.T) {
				onSite(t, func(t *testing.T, b *siteBed) {
					b.replaceWorkers(workerd.Options{Slots: 64, Events: 6, Work: 20 * time.Millisecond, Status: http.StatusConflict, ErrorBody: body})
					path(b)
					b.fault(workerd.FaultResumeError)
					a := b.callAfter("1", "chat", "3")
					must.NoError(t, a.err)
					must.Eq(t, http.StatusConflict, a.status)
					must.Eq(t, body, a.body)
					must.NotEq(t, "", a.header.Get("X-Response-Stamp"))
				})
			})
		}
	}
}

// TestSilentStreamIsNotEndedByAnError lets a stream fall silent. The worker that is asked to
// take over answers with an error.
func TestSilentStreamIsNotEndedByAnError(t *testing.T) {
	for _, body := range []string{"", "id: 3\ndata: no such stream\n\n"} {
		t.Run(fmt.Sprintf("%q", body), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				opt := workerd.Options{Slots: 64, Events: 6, Work: 20 * time.Millisecond, Gap: 200 * time.Millisecond, Silence: 1900 * time.Millisecond}
				opt.Status, opt.ErrorBody = http.StatusNotFound, body
				b.replaceWorkers(opt)
				b.fault(workerd.FaultSilent)
				done := make(chan answer)
				go func() { done <- b.callOn("1", "chat", "aa", "bb") }()
				b.wait(400 * time.Millisecond)
				b.fault(workerd.FaultResumeError)
				a := <-done
				must.Eq(t, 200, a.status)
				if a.err == nil {
					must.Eq(t, wholeStream(6), a.body)
				}
				must.True(t, strings.HasPrefix(wholeStream(6), a.body), must.Sprintf("got %q", a.body))
			})
		})
	}
}

// TestCutHeadIsNoResponse cuts the head of a response after each of its bytes, on all kinds of
// routes and on all paths. No caller may get a success.
func TestCutHeadIsNoResponse(t *testing.T) {
	for name, path := range paths {
		t.Run(name, func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				length := len(b.workers["e1"].FullHead("r1000"))
				step := 1
				if name != "straight" {
					step = 7
				}
				for n := 1; n < length; n += step {
					b.replaceWorkers(workerd.Options{Slots: 64, Events: 6, Work: time.Millisecond, HeadBytes: n})
					path(b)
					b.fault(workerd.FaultHeadCut)
					for _, route := range []string{"order", "status", "chat", "draft"} {
						a := b.call("1", route)
						must.GreaterEq(t, 500, a.status, must.Sprintf("%s after %d bytes of the head: %q", route, n, a.body))
						must.Eq(t, "", a.header.Get("X-Response-Stamp"))
					}
				}
				b.ranOnce()
			})
		})
	}
}
