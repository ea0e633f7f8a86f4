package app

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// workerAddresses are the addresses of the workers that a site starts with.
var workerAddresses = []string{"10.1.0.e1:80", "10.1.0.e2:80", "10.1.0.p1:80", "10.1.0.p2:80"}

// cuts are the ways in which a router loses its links to the workers.
var cuts = []kerneltest.Cut{kerneltest.CutHang, kerneltest.CutReset, kerneltest.CutRefuse}

// served sends requests of all kinds to routers for a while, ten a second to each, and
// returns how many of them were answered whole at each router.
func (b *siteBed) served(length time.Duration, routers ...string) (answered, sent map[string]int) {
	answered, sent = make(map[string]int), make(map[string]int)
	type outcome struct {
		router string
		ok     bool
	}
	ended := make(chan outcome, 1000)
	n := 0
	for i := range int(length / (100 * time.Millisecond)) {
		for _, router := range routers {
			route := []string{"order", "status", "chat"}[i%3]
			sent[router]++
			n++
			go func() {
				a := b.call(router, route)
				ok := a.err == nil && a.status == 200 && (route != "chat" || a.body == wholeStream(6))
				ended <- outcome{router, ok}
			}()
		}
		b.wait(100 * time.Millisecond)
	}
	for range n {
		if o := <-ended; o.ok {
			answered[o.router]++
		}
	}
	return answered, sent
}

// ranOnce checks that no order ran twice.
func (b *siteBed) ranOnce() {
	ran := make(map[string]int)
	for _, w := range b.workers {
		for _, run := range w.Runs() {
			if ran[run.Request]++; run.Path == "/order/" {
				must.Eq(b.t, 1, ran[run.Request], must.Sprint(run.Request))
			}
		}
	}
}

// TestRouterCutOffFromTargetsServesByOthers partitions a router from all workers while
// the others reach them. From three seconds later it must serve as the others do, whose
// workers must stay in use, and go straight to the workers again once it can.
func TestRouterCutOffFromTargetsServesByOthers(t *testing.T) {
	for _, cut := range cuts {
		onSite(t, func(t *testing.T, b *siteBed) {
			b.served(3*time.Second, "1", "2", "3")
			b.views["1"].Partition(cut, workerAddresses...)
			b.served(3*time.Second, "1", "2", "3")
			answered, sent := b.served(9*time.Second, "1", "2", "3")
			for router := range sent {
				must.GreaterEq(t, sent[router]*95/100, answered[router], must.Sprint(cut, ": router ", router, " of ", sent[router]))
			}
			b.views["1"].Partition(kerneltest.CutNone)
			b.wait(2 * time.Second)
			before := b.views["1"].Dials("10.1.0.p1:80") + b.views["1"].Dials("10.1.0.p2:80")
			answered, sent = b.served(6*time.Second, "1")
			must.Eq(t, sent["1"], answered["1"], must.Sprint(cut, ": after the partition"))
			must.Greater(t, before, b.views["1"].Dials("10.1.0.p1:80")+b.views["1"].Dials("10.1.0.p2:80"), must.Sprint(cut, ": straight again"))
			b.ranOnce()
		})
	}
}

// TestDataCentreCutOffFromTargets partitions most routers from all workers.
func TestDataCentreCutOffFromTargets(t *testing.T) {
	for _, cut := range cuts {
		onSite(t, func(t *testing.T, b *siteBed) {
			b.served(3*time.Second, "1", "2", "3")
			b.views["1"].Partition(cut, workerAddresses...)
			b.views["2"].Partition(cut, workerAddresses...)
			b.served(3*time.Second, "1", "2", "3")
			answered, sent := b.served(6*time.Second, "1", "2", "3")
			for router := range sent {
				must.GreaterEq(t, sent[router]*95/100, answered[router], must.Sprint(cut, ": router ", router, " of ", sent[router]))
			}
			b.ranOnce()
		})
	}
}

// TestReportsOfACutOffRouterEjectNoTarget checks that the other routers go on to use all
// targets while one is partitioned from all of them.
func TestReportsOfACutOffRouterEjectNoTarget(t *testing.T) {
	for _, cut := range cuts {
		onSite(t, func(t *testing.T, b *siteBed) {
			b.served(3*time.Second, "1", "2", "3")
			b.views["1"].Partition(cut, workerAddresses...)
			answered, sent := b.served(10*time.Second, "1", "2", "3")
			for _, router := range []string{"2", "3"} {
				must.Eq(t, sent[router], answered[router], must.Sprint(cut, ": router ", router))
				must.Eq(t, 0, b.lines.of(router, "Target ejected after failures."), must.Sprint(cut, ": router ", router))
			}
		})
	}
}

// TestRelayedRequestEndsWithItsCaller covers callers that leave a cut-off router: the
// workers that other routers reached for it must stop.
func TestRelayedRequestEndsWithItsCaller(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		for _, id := range []string{"e1", "e2"} {
			b.restartWorker(id, "llm", workerd.Options{Slots: 64, Events: 100, Work: 100 * time.Millisecond})
		}
		b.served(2*time.Second, "2")
		b.views["1"].Partition(kerneltest.CutReset, workerAddresses...)
		b.served(3*time.Second, "1")
		ctx, cancel := context.WithCancel(t.Context())
		request := b.request("chat", "aa", "bb")
		request.Deadline = 9 * time.Second
		r, err := request.HTTP(ctx, "10.0.0.1:80")
		must.NoError(t, err)
		resp, err := b.client.Do(r)
		must.NoError(t, err)
		must.Eq(t, 200, resp.StatusCode)
		b.wait(500 * time.Millisecond)
		cancel()
		_ = resp.Body.Close()
		left := time.Now()
		b.wait(2 * time.Second)
		found := false
		for _, w := range b.workers {
			for _, run := range w.Runs() {
				if run.Request == request.ID {
					found = true
					must.Less(t, 500*time.Millisecond, run.Ended.Sub(left))
				}
			}
		}
		must.True(t, found, must.Sprint(fmt.Sprintf("request %s reached a worker", request.ID)))
	})
}

// TestOutageOfAllTargetsIsNoPartition takes all targets of a service down: requests are
// refused at once by each router, none of which can help another, and are served again
// soon after the targets are back.
func TestOutageOfAllTargetsIsNoPartition(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.served(2*time.Second, "1", "2", "3")
		for _, id := range []string{"p1", "p2"} {
			must.NoError(t, b.servers[id].Close())
		}
		b.wait(5 * time.Second) // idle connections have expired
		for range 10 {
			for _, router := range []string{"1", "2", "3"} {
				before := time.Now()
				must.Eq(t, 503, b.call(router, "order").status)
				must.Less(t, 100*time.Millisecond, time.Since(before))
			}
			b.wait(100 * time.Millisecond)
		}
		for _, id := range []string{"p1", "p2"} {
			b.servers[id] = b.serveWorker(id)
		}
		b.wait(1500 * time.Millisecond)
		for range 10 {
			for _, router := range []string{"1", "2", "3"} {
				must.Eq(t, 200, b.call(router, "order").status)
			}
			b.wait(100 * time.Millisecond)
		}
		b.ranOnce()
	})
}

// TestStoppingRouterCutsNothingThatItRelays stops each of two routers that pass on requests of one
// that reaches no worker. All requests, those that may not be repeated among them, must be
// answered whole, or be refused as not run.
func TestStoppingRouterCutsNothingThatItRelays(t *testing.T) {
	// The longest requests last almost until the deadline. A safe one would be hedged.
	for route, opt := range map[string]workerd.Options{
		"order": {Work: 2700 * time.Millisecond}, "status": {Work: 250 * time.Millisecond},
		"draft": {Work: 100 * time.Millisecond, Gap: 550 * time.Millisecond}, "chat": {Work: 100 * time.Millisecond, Gap: 550 * time.Millisecond},
	} {
		for _, stopped := range []string{"2", "3"} {
			t.Run(route+" by "+stopped, func(t *testing.T) { stopRelay(t, route, stopped, opt) })
		}
	}
}

func stopRelay(t *testing.T, route, stopped string, opt workerd.Options) {
	t.Helper()
	onSite(t, func(t *testing.T, b *siteBed) {
		opt.Slots, opt.Events = 64, 6
		b.replaceWorkers(opt)
		b.views["1"].Partition(kerneltest.CutRefuse, workerAddresses...)
		b.warmRelays()
		const sent = 40
		answers := make(chan answer, sent)
		var drained <-chan error
		for i := range sent {
			go func() { answers <- b.call("1", route) }()
			b.wait(100 * time.Millisecond)
			if i == 20 {
				drained = b.drain(stopped)
			}
		}
		whole := 0
		for range sent {
			a := <-answers
			if a.status == 503 && a.header.Get("Retry-After") != "" {
				continue
			}
			must.NoError(t, a.err)
			must.Eq(t, 200, a.status, must.Sprintf("%s: %q", route, a.body))
			if route == "draft" || route == "chat" {
				must.Eq(t, wholeStream(6), a.body)
			}
			whole++
		}
		must.Greater(t, sent/2, whole)
		must.NoError(t, <-drained)
		b.ranOnce()
	})
}
