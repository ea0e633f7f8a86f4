package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

const (
	// takeUps is the number of times that a client takes up a stream that broke off.
	takeUps = 3
	// lostStreams is the number of streams that run when all routers are killed,
	// lostAfter the time after their start, and leastTakenUp the number of those with events
	// that must go on.
	lostStreams  = 24
	lostAfter    = 200 * time.Millisecond
	leastTakenUp = 0.5
)

// versionOf returns the software version of a worker.
func versionOf(i int) string {
	if i%3 == 0 {
		return "v2"
	}
	return "v1"
}

// goOn takes up a stream that broke off after some events, as its client does. It returns
// whether the stream came to its end.
func (c *clients) goOn(broken *Call, address func() string) bool {
	first, last := broken, *broken
	for range takeUps {
		if last.Whole && last.Status == http.StatusOK {
			return true
		}
		after := max(last.After, last.lastEvent())
		if first.Route != "chat" || after == 0 || after >= events {
			return false
		}
		r := c.request("chat")
		r.LastEvent, r.Resumes = fmt.Sprint(after), first.ID
		last = c.do(r, address())
		last.After = max(last.After, after)
	}
	return last.Whole && last.Status == http.StatusOK
}

// lastEvent returns the number of the last whole event of a response, zero if there is
// none.
func (c *Call) lastEvent() int {
	if c.Status != http.StatusOK {
		return 0
	}
	n := 0
	for i := c.After + 1; i <= events; i++ {
		if strings.Contains(c.Body, fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)) {
			n = i
		}
	}
	return n
}

// checkLossOfAll kills all routers while streams run. Their clients take them up once the
// routers are back: most of them must go on.
func (r *run) checkLossOfAll() {
	r.calm.Store(0)
	var running sync.WaitGroup
	streams := make([]Call, lostStreams)
	for i := range streams {
		running.Add(1)
		go func() {
			defer running.Done()
			streams[i] = r.clients.call("chat", r.bed.routers[i%len(r.bed.routers)].caller)
		}()
	}
	time.Sleep(lostAfter)
	for _, one := range r.bed.routers {
		one.kill()
	}
	running.Wait()
	r.bed.restart(r.bed.routers...)
	if !r.awaitReady() {
		r.violation("routers did not get ready after all had been killed")
	}
	broken, whole := 0, 0
	for i := range streams {
		if streams[i].Whole || streams[i].lastEvent() == 0 || streams[i].lastEvent() == events {
			continue
		}
		broken++
		if r.clients.goOn(&streams[i], func() string { return r.bed.routers[i%len(r.bed.routers)].caller }) {
			whole++
		}
	}
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("all routers killed: %d of %d streams went on", whole, broken))
	if float64(whole) < leastTakenUp*float64(broken) {
		r.violation("%d of %d streams went on after all routers had been killed", whole, broken)
	}
}

// checkVersions returns the streams that hold events of two software versions. A stream
// began at the worker whose stamp its first response has.
func checkVersions(calls []Call, runs map[string][]workerd.Run, versions map[string]string) []string {
	began := make(map[string]string)
	for i := range calls {
		if c := &calls[i]; c.Stamp != "" && c.Resumes == "" {
			began[c.ID] = versions[strings.TrimPrefix(c.Stamp, "stamp-")]
		}
	}
	var out []string
	for worker, list := range runs {
		for _, one := range list {
			stream := one.Resumes
			if stream == "" {
				stream = one.Request
			}
			if version := began[stream]; one.LastEvent != "" && version != "" && version != one.Version {
				out = append(out, fmt.Sprintf("stream %s of %s went on at %s of %s", stream, version, worker, one.Version))
			}
		}
	}
	return out
}
