package app

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/keyedlog"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// deadlyBody is the body of a request that crashes each worker that runs it.
const deadlyBody = "deadly"

// callBody sends a request of a route with a given body, or one of its own.
func (b *siteBed) callBody(router, route, body string) answer {
	var parts []string
	if route == "chat" || route == "draft" {
		parts = []string{"aa", "bb"}
	}
	request := b.request(route, parts...)
	if body != "" {
		request.Body = body
	}
	return b.do(router, request)
}

// crashingSite replaces all workers by ones that deadlyBody crashes, streams after a number
// of events. Their service has three plain workers or six engines.
func (b *siteBed) crashingSite(after int) {
	opt := workerd.Options{Slots: 64, Events: 6, Work: 20 * time.Millisecond, CrashBodies: []string{deadlyBody}, CrashAfter: after}
	b.crashingWorkers("plain", []string{"p1", "p2", "p3"}, opt)
	b.crashingWorkers("llm", []string{"e1", "e2", "e3", "e4", "e5", "e6"}, opt)
}

// sendsOf returns the times at which requests with a body reached workers.
func (b *siteBed) sendsOf(body string) []time.Time {
	var at []time.Time
	for _, w := range b.workers {
		for _, r := range w.Runs() {
			if r.Body == body {
				at = append(at, r.At)
			}
		}
	}
	return at
}

// TestRequestThatCrashesTargetsIsNotSentOn plays a request that crashes each target that
// runs it and comes to all routers, twice a second, among sound ones with its path and
// caller.
func TestRequestThatCrashesTargetsIsNotSentOn(t *testing.T) {
	for _, c := range []struct {
		route string
		after int
	}{{"status", 0}, {"order", 0}, {"chat", 0}, {"chat", 2}, {"draft", 0}, {"draft", 2}} {
		t.Run(fmt.Sprintf("%s after %d events", c.route, c.after), func(t *testing.T) { crashByRequest(t, c.route, c.after) })
	}
}

func crashByRequest(t *testing.T, route string, after int) {
	t.Helper()
	onSite(t, func(t *testing.T, b *siteBed) {
		b.crashingSite(after)
		var third time.Time
		served, sound := 0, 0
		for i := range 60 {
			go b.callBody(fmt.Sprint(i%3+1), route, deadlyBody)
			for j := range 5 {
				b.wait(100 * time.Millisecond)
				if third.IsZero() && b.crashes() >= 3 {
					third = time.Now()
				}
				a := b.callBody(fmt.Sprint((i+j)%3+1), route, "")
				if third.IsZero() || time.Since(third) < 2*spreadWindow {
					continue
				}
				sound++
				if a.status == 200 && a.err == nil {
					served++
				}
			}
		}
		late := 0
		for _, at := range b.sendsOf(deadlyBody) {
			if !third.IsZero() && at.Sub(third) > spreadWindow {
				late++
			}
		}
		must.LessEq(t, 3, late, must.Sprintf("%d crashes", b.crashes()))
		must.Greater(t, 100, sound)
		must.Greater(t, sound*9/10, served, must.Sprintf("of %d sound requests", sound))
	})
}

// TestRequestThatCrashesTargetsIsKnownWithAnyQuery plays a request that crashes each target
// that runs it, and comes with another query each time, with a body or without one. Requests
// with its path and caller and another body are served, and without a body those that come
// while it does not.
func TestRequestThatCrashesTargetsIsKnownWithAnyQuery(t *testing.T) {
	for _, body := range []string{deadlyBody, ""} {
		t.Run(fmt.Sprintf("body %q", body), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.crashingWorkers("plain", []string{"p1", "p2", "p3"}, workerd.Options{
					Slots: 64, Work: 20 * time.Millisecond, CrashBodies: []string{body},
				})
				var third time.Time
				served := 0
				for i := range 60 {
					request := b.request("order")
					request.Body, request.Query = body, fmt.Sprint("try=", i)
					go b.do(fmt.Sprint(i%3+1), request)
					b.wait(500 * time.Millisecond)
					if third.IsZero() && b.crashes() >= 3 {
						third = time.Now()
					}
					if b.callBody(fmt.Sprint(i%3+1), "order", "").status == 200 {
						served++
					}
				}
				late := 0
				for _, at := range b.sendsOf(body) {
					if !third.IsZero() && at.Sub(third) > spreadWindow {
						late++
					}
				}
				must.LessEq(t, 3, late, must.Sprintf("%d crashes", b.crashes()))
				must.Greater(t, 40, served)
			})
		})
	}
}

// TestQueriesOfOnePathAreToldApart lets one query of a path crash targets, among sound requests
// with its path and caller that have no body either.
func TestQueriesOfOnePathAreToldApart(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.crashingWorkers("plain", []string{"p1", "p2", "p3"}, workerd.Options{
			Slots: 64, Work: 20 * time.Millisecond, CrashQueries: []string{"id=666"},
		})
		call := func(i int, query string) answer {
			request := b.request("status")
			request.Body, request.Query = "", query
			return b.do(fmt.Sprint(i%3+1), request)
		}
		served, sound := 0, 0
		for i := range 60 {
			go call(i, "id=666")
			for j := range 5 {
				b.wait(100 * time.Millisecond)
				if a := call(i+j, fmt.Sprint("id=", i)); i >= 20 {
					sound++
					if a.status == 200 {
						served++
					}
				}
			}
		}
		must.LessEq(t, 6, b.crashes())
		must.Greater(t, sound*9/10, served, must.Sprintf("of %d sound requests", sound))
	})
}

// TestQuarantinedRequestOutlastsAllRouters ends all routers at once after a request was
// quarantined.
func TestQuarantinedRequestOutlastsAllRouters(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.crashingSite(0)
		for i := range 20 {
			go b.callBody(fmt.Sprint(i%3+1), "order", deadlyBody)
			b.wait(500 * time.Millisecond)
		}
		before := b.crashes()
		must.Between(t, 3, before, 6)
		for _, name := range []string{"1", "2", "3"} {
			b.stop(name)
		}
		for _, name := range []string{"1", "2", "3"} {
			b.router(name)
		}
		b.wait(4 * time.Second)
		for _, name := range []string{"1", "2", "3"} {
			must.Eq(t, 503, b.callBody(name, "order", deadlyBody).status)
			must.Eq(t, 200, b.callBody(name, "order", "").status)
		}
		must.Eq(t, before, b.crashes())
	})
}

// TestRestartedRoutersLearnOfAQuarantine ends all routers but one at once after a request
// was quarantined, whichever that one is: each that starts again must refuse the request,
// with the store and without it.
func TestRestartedRoutersLearnOfAQuarantine(t *testing.T) {
	for _, storeAway := range []bool{false, true} {
		for _, survivor := range []string{"1", "2", "3", "4", "5"} {
			restartAllBut(t, survivor, storeAway)
		}
	}
}

func restartAllBut(t *testing.T, survivor string, storeAway bool) {
	t.Helper()
	onSite(t, func(t *testing.T, b *siteBed) {
		b.crashingSite(0)
		b.router("4")
		b.router("5")
		b.wait(3 * time.Second)
		for i := range 20 {
			go b.callBody(fmt.Sprint(i%5+1), "order", deadlyBody)
			b.wait(500 * time.Millisecond)
		}
		before := b.crashes()
		must.Between(t, 3, before, 6)
		if storeAway {
			b.store.Set(keyedlog.Faults{Status: 503})
		}
		restarted := slices.DeleteFunc([]string{"1", "2", "3", "4", "5"}, func(name string) bool { return name == survivor })
		for _, name := range restarted {
			b.stop(name)
		}
		b.wait(500 * time.Millisecond)
		for _, name := range restarted {
			b.router(name)
		}
		b.wait(6 * time.Second)
		for _, name := range restarted {
			must.Eq(t, 503, b.callBody(name, "order", deadlyBody).status, must.Sprintf("router %s, survivor %s, store away %t", name, survivor, storeAway))
			must.Eq(t, 200, b.callBody(name, "order", "").status, must.Sprintf("router %s, survivor %s", name, survivor))
		}
		must.Eq(t, before, b.crashes(), must.Sprintf("survivor %s, store away %t", survivor, storeAway))
		b.store.Set(keyedlog.Faults{})
	})
}

// TestQuarantineDuringAnOutageOutlastsAllRouters quarantines a request while the store fails
// for long, and ends all routers some time after it is back.
func TestQuarantineDuringAnOutageOutlastsAllRouters(t *testing.T) {
	for name, faults := range map[string]keyedlog.Faults{"no answer": {Silent: true}, "answers 503": {Status: 503}} {
		t.Run(name, func(t *testing.T) {
			onSite(t, func(_ *testing.T, b *siteBed) {
				b.crashingSite(0)
				b.store.Set(faults)
				for i := range 20 {
					go b.callBody(fmt.Sprint(i%3+1), "order", deadlyBody)
					b.wait(500 * time.Millisecond)
				}
				b.wait(20 * time.Second)
				b.store.Set(keyedlog.Faults{})
				b.wait(3 * time.Second)
				b.checkQuarantineAfterLoss()
			})
		})
	}
}

// TestQuarantineOutlastsTheRouterThatWritesIt ends each router in turn after a request was
// quarantined, before it can write that, and later the others.
func TestQuarantineOutlastsTheRouterThatWritesIt(t *testing.T) {
	for _, lost := range []string{"1", "2", "3"} {
		t.Run("router "+lost, func(t *testing.T) {
			onSite(t, func(_ *testing.T, b *siteBed) {
				b.crashingSite(0)
				b.store.Set(keyedlog.Faults{Status: 503})
				for i := range 8 {
					go b.callBody(fmt.Sprint(i%3+1), "order", deadlyBody)
					b.wait(500 * time.Millisecond)
				}
				b.stop(lost)
				b.store.Set(keyedlog.Faults{})
				b.wait(15 * time.Second)
				for _, name := range []string{"1", "2", "3"} {
					if name != lost {
						b.stop(name)
					}
				}
				b.checkQuarantineAtStart()
			})
		})
	}
}

// TestQuarantineOutlastsARestoredLog lets the store come back from a copy that lacks what was
// written of a quarantine, and then ends all routers.
func TestQuarantineOutlastsARestoredLog(t *testing.T) {
	onSite(t, func(_ *testing.T, b *siteBed) {
		b.crashingSite(0)
		b.store.Copy()
		for i := range 20 {
			go b.callBody(fmt.Sprint(i%3+1), "order", deadlyBody)
			b.wait(500 * time.Millisecond)
		}
		b.store.Restore()
		b.wait(10 * time.Second)
		b.checkQuarantineAfterLoss()
	})
}

// checkQuarantineAfterLoss ends all routers at once, and checks that those that start again
// know the quarantine.
func (b *siteBed) checkQuarantineAfterLoss() {
	b.t.Helper()
	must.Between(b.t, 3, b.crashes(), 6)
	b.stopAll()
	b.checkQuarantineAtStart()
}

// checkQuarantineAtStart starts all routers and checks that they refuse the request that
// crashes workers.
func (b *siteBed) checkQuarantineAtStart() {
	b.t.Helper()
	b.startAll()
	for _, name := range []string{"1", "2", "3"} {
		must.Eq(b.t, 503, b.callBody(name, "order", deadlyBody).status)
		must.Eq(b.t, 200, b.callBody(name, "order", "").status)
	}
}
