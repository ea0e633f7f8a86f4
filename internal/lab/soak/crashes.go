package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/siteclient"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

const (
	// crashingPart is the prompt part, and crashingBody the body of requests, that crash
	// workers, which are back after crashRestart.
	crashingPart = "dead"
	crashingBody = "deadly"
	crashRestart = 2 * time.Second
	// crashPeriod is the time between two such requests, crashTime the time for which they
	// come.
	crashPeriod = 500 * time.Millisecond
	crashTime   = 12 * time.Second
	// crashWindow is the time after the last crash that is allowed from which at most
	// maxLateCrashes such requests may reach workers.
	crashWindow    = 3 * time.Second
	maxLateCrashes = 3
)

// crashes is a kind of requests that crash workers.
type crashes struct {
	name string
	// allowed is the number of crashes from which crashWindow counts.
	allowed int
	// request returns one, and isOne reports whether a run was of one.
	request func(r *run) *siteclient.Request
	isOne   func(one *workerd.Run) bool
}

// crashesByPart are requests for drafts with a prompt part that crashes engines.
func crashesByPart() crashes {
	return crashes{
		name: "a prompt part", allowed: 5,
		request: func(r *run) *siteclient.Request {
			out := r.clients.request("draft")
			out.Prompt = append([]string{crashingPart}, out.Prompt...)
			return out
		},
		isOne: func(one *workerd.Run) bool { return strings.Contains(one.Prompt, crashingPart+":") },
	}
}

// crashesByRequest are copies of one request, which crash the workers of its service.
func crashesByRequest(route string) crashes {
	return crashes{
		name: "a request to " + route, allowed: 3,
		request: func(r *run) *siteclient.Request {
			out := r.clients.request(route)
			out.Body = crashingBody
			return out
		},
		isOne: func(one *workerd.Run) bool { return one.Body == crashingBody },
	}
}

// crashOptions let a worker crash on crashingPart and crashingBody, at once or, as its
// number has it, after an event. Its address refuses connections until it is back as a new
// process.
func (b *bed) crashOptions(w *worker, opt *workerd.Options) {
	opt.CrashParts, opt.CrashBodies, opt.Restart = []string{crashingPart}, []string{crashingBody}, crashRestart
	opt.CrashAfter = len(b.workers) % 2
	opt.Crashed = func() { w.link.set(Refuse) }
	opt.Restarted = func() {
		w.restart()
		b.store.PutWorker(w.entry())
		w.link.set(Pass)
	}
}

// checkCrashes sends requests that crash workers to all routers, and restarts one of them
// meanwhile. Few of them may reach workers, and other requests must be served in the end.
func (r *run) checkCrashes(c crashes) {
	r.calm.Store(0)
	restarted := pick(r.random, r.bed.routers)
	before := r.countCrashes()
	began := time.Now()
	for i := 0; time.Since(began) < crashTime; i++ {
		go r.clients.do(c.request(r), pick(r.random, r.bed.routers).caller)
		if i == int(crashTime/crashPeriod/2) {
			restarted.kill()
			r.bed.restart(restarted)
		}
		time.Sleep(crashPeriod)
	}
	time.Sleep(crashRestart)
	if !r.awaitReady() {
		r.violation("routers did not get ready after workers had crashed")
	}
	r.checkLateCrashes(c, r.countCrashes()-before)
	for _, one := range r.bed.routers {
		for _, route := range []string{"order", "status", "chat", "draft"} {
			if got := r.clients.call(route, one.caller); got.Status != http.StatusOK || !got.Whole {
				r.violation("router %d does not serve %s after %s had crashed workers: status %d", one.index, route, c.name, got.Status)
			}
		}
	}
}

// countCrashes returns the number of crashes of all workers.
func (r *run) countCrashes() int {
	n := 0
	for _, w := range r.bed.workers {
		n += w.Crashes()
	}
	return n
}

// checkLateCrashes counts the requests that reached workers too late.
func (r *run) checkLateCrashes(c crashes, ended int) {
	var runs []time.Time
	for _, w := range r.bed.workers {
		for _, one := range w.Runs() {
			if c.isOne(&one) {
				runs = append(runs, one.At)
			}
		}
	}
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%s crashed %d workers", c.name, ended))
	if len(runs) <= c.allowed {
		return
	}
	slices.SortFunc(runs, time.Time.Compare)
	from := runs[c.allowed-1].Add(crashWindow)
	late := len(slices.DeleteFunc(runs, func(at time.Time) bool { return at.Before(from) }))
	if late > maxLateCrashes {
		r.violation("%d times %s that had crashed workers reached more of them, %d ended", late, c.name, ended)
	}
}
