package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

const (
	// crashingPart is the prompt part that crashes engines, which are back after
	// crashRestart.
	crashingPart = "dead"
	crashRestart = 2 * time.Second
	// crashPeriod is the time between two requests with that part, crashTime the time
	// for which they come.
	crashPeriod = 500 * time.Millisecond
	crashTime   = 12 * time.Second
	// crashWindow is the time after the fifth crash from which at most maxLateCrashes
	// requests with the part may reach engines.
	crashWindow    = 3 * time.Second
	crashesAllowed = 5
	maxLateCrashes = 3
)

// crashOptions let an engine crash on crashingPart. Its address refuses connections until
// it is back as a new process.
func (b *bed) crashOptions(w *worker, opt *workerd.Options) {
	opt.CrashParts, opt.Restart = []string{crashingPart}, crashRestart
	opt.Crashed = func() { w.link.set(Refuse) }
	opt.Restarted = func() {
		w.restart()
		b.store.PutWorker(w.entry())
		w.link.set(Pass)
	}
}

// checkCrashingPart sends requests with a part that crashes engines to all routers, and
// restarts one of them meanwhile. Few of them may reach engines, and requests without the
// part must be served in the end.
func (r *run) checkCrashingPart() {
	r.calm.Store(0)
	restarted := pick(r.random, r.bed.routers)
	began := time.Now()
	for i := 0; time.Since(began) < crashTime; i++ {
		go r.clients.callOn("draft", pick(r.random, r.bed.routers).caller, crashingPart)
		if i == int(crashTime/crashPeriod/2) {
			restarted.kill()
			r.bed.restart(restarted)
		}
		time.Sleep(crashPeriod)
	}
	time.Sleep(crashRestart)
	if !r.awaitReady() {
		r.violation("routers did not get ready after engines had crashed")
	}
	r.checkCrashes()
	for _, one := range r.bed.routers {
		if c := r.clients.call("draft", one.caller); c.Status != http.StatusOK || !c.Whole {
			r.violation("router %d does not serve drafts after engines had crashed: status %d", one.index, c.Status)
		}
	}
}

// checkCrashes counts the requests with crashingPart that reached engines too late.
func (r *run) checkCrashes() {
	var runs []time.Time
	crashes := 0
	for _, w := range r.bed.workers {
		crashes += w.Crashes()
		for _, one := range w.Runs() {
			if strings.Contains(one.Prompt, crashingPart+":") {
				runs = append(runs, one.At)
			}
		}
	}
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("a prompt part crashed %d engines", crashes))
	if len(runs) <= crashesAllowed {
		return
	}
	slices.SortFunc(runs, time.Time.Compare)
	from := runs[crashesAllowed-1].Add(crashWindow)
	late := len(slices.DeleteFunc(runs, func(at time.Time) bool { return at.Before(from) }))
	if late > maxLateCrashes {
		r.violation("%d requests with a part that had crashed engines reached more of them, %d ended", late, crashes)
	}
}
