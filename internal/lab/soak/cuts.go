package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// span is a time, which still lasts if its end is zero.
type span struct{ from, to time.Time }

// spans are the times in which a router or a link was disturbed.
type spans struct {
	mu   sync.Mutex
	list []span
}

// begin notes that a disturbance begins, unless one lasts.
func (s *spans) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.list); n == 0 || !s.list[n-1].to.IsZero() {
		s.list = append(s.list, span{from: time.Now()})
	}
}

// end notes that the disturbance is over.
func (s *spans) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.list); n > 0 && s.list[n-1].to.IsZero() {
		s.list[n-1].to = time.Now()
	}
}

// meet reports whether a disturbance falls into a time.
func (s *spans) meet(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.list, func(one span) bool {
		return !one.from.After(to) && (one.to.IsZero() || !one.to.Before(from))
	})
}

// soundFaults are what workers do that ends no answer: a sound worker may fall silent,
// say that it leaves, or end an answer with its connection.
var soundFaults = map[workerd.Fault]bool{
	workerd.FaultNone: true, workerd.FaultSilent: true, workerd.FaultSilentHead: true,
	workerd.FaultLeaving: true, workerd.FaultUnframed: true, workerd.FaultSilentChunked: true,
}

// breaksMidway are the faults that break a stream off after events of it. FaultMute isn't
// one, since nothing but the deadline ends its answer.
var breaksMidway = map[workerd.Fault]bool{
	workerd.FaultCut: true, workerd.FaultLose: true, workerd.FaultUnframedCut: true, workerd.FaultUnframedReset: true,
}

// place is a run, the worker that ran it, the router that was called and the one that sent the
// request to the worker, which relays if it is another one.
type place struct {
	worker        *workerHistory
	run           *workerd.Run
	entry, sender *routerHistory
}

// reachable reports whether the worker ran and could be reached from the start of its run,
// and the caller's router got what the router that relays passed on.
func (p place) reachable(until time.Time) bool {
	if p.worker.link.meet(p.run.At, until) || anyBetween(p.worker.crashes, p.run.At, until) {
		return false
	}
	if p.sender == nil {
		return true
	}
	if cut := p.sender.cut[p.worker.service]; cut != nil && cut.meet(p.run.At, until) {
		return false
	}
	if p.entry == nil || p.sender.index == p.entry.index {
		return true
	}
	return !p.sender.stopped.meet(p.run.At, until) && !p.sender.link.meet(p.run.At, until) && !p.entry.link.meet(p.run.At, until)
}

// tookOver reports whether a later run of a stream may have taken over from p and broke
// off by itself. No more than one worker may go on with a request, so the earlier one
// had been stopped by then.
func (p place) tookOver(later place, until time.Time) bool {
	return later.run.At.After(p.run.At) && (breaksMidway[later.run.Fault] || !later.reachable(until))
}

// mayEndWith reports whether the answer could still end as that of a run. Once an answer has begun,
// only a stream may go on with another worker's.
func (c *Call) mayEndWith(p place) bool {
	return c.Route == "chat" || c.Status != http.StatusOK || c.Stamp == "" || c.Stamp == "stamp-"+p.worker.id
}

// deadlineSlack is the time before a caller's deadline from which its answer may be cut.
const deadlineSlack = 200 * time.Millisecond

// checkCuts returns the calls that got no answer, or a part of one, although a sound
// worker had run them. Planned stops, changes of the configuration, drains and faults of
// the store excuse none, nor do those of links between routers unless the request was relayed.
// Excused is what the platform's rules leave out:
//
//   - the deadline had passed, and nobody waited any more;
//   - the router was killed or paused meanwhile, so that it wasn't in touch;
//   - the worker crashed meanwhile, or the link to it was disturbed, so that it couldn't
//     be reached;
//   - the router that sent the request to the worker was cut off from its service meanwhile;
//   - another router relayed the request, and was killed or paused meanwhile, or the link to
//     one of the two was disturbed;
//   - another worker took a stream over and broke off itself.
func checkCuts(calls []Call, routers []routerHistory, workers []workerHistory) []string {
	ran := make(map[string][]place)
	byIndex, byAddress := make(map[int]*routerHistory), make(map[string]*routerHistory)
	for i := range routers {
		byIndex[routers[i].index], byAddress[routers[i].address] = &routers[i], &routers[i]
	}
	for i := range workers {
		for j := range workers[i].runs {
			run := &workers[i].runs[j]
			ran[run.Request] = append(ran[run.Request], place{worker: &workers[i], run: run, sender: byAddress[run.From]})
		}
	}
	var out []string
	for i := range calls {
		c := &calls[i]
		answered := c.Status != 0 && c.Whole
		if answered || c.Ended.Sub(c.Began) > clientDeadline-deadlineSlack || byIndex[c.Router].stopped.meet(c.Began, c.Ended) {
			continue
		}
		places := ran[c.ID]
		for j := range places {
			places[j].entry = byIndex[c.Router]
		}
		for _, p := range places {
			broke := func(later place) bool { return p.tookOver(later, c.Ended) }
			if !c.mayEndWith(p) || !soundFaults[p.run.Fault] || !p.reachable(c.Ended) || slices.ContainsFunc(places, broke) {
				continue
			}
			out = append(out, fmt.Sprintf("request %s (%s, %s, status %d): cut off after %d ms, though sound worker %s (%q) had run it from %d ms on, sent by %s",
				c.ID, c.Route, routerName(c.Router, c.Program), c.Status, c.Ended.Sub(c.Began).Milliseconds(), p.worker.id, p.run.Fault,
				p.run.At.Sub(c.Began).Milliseconds(), p.run.From))
			break
		}
	}
	return out
}
