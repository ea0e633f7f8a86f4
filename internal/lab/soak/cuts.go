package soak

import (
	"fmt"
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
	workerd.FaultLeaving: true, workerd.FaultUnframed: true,
}

// deadlineSlack is the time before a caller's deadline from which its answer may be cut.
const deadlineSlack = 200 * time.Millisecond

// checkCuts returns the calls that got no answer, or a part of one, although a sound
// worker had run them. Planned stops, changes of the configuration, drains and faults of
// the store or of links between routers excuse none. Excused is what the platform's
// rules leave out:
//
//   - the deadline had passed, and nobody waited any more;
//   - the router was killed or paused meanwhile, so that it wasn't in touch;
//   - the link to the worker was disturbed meanwhile, so that the worker couldn't be
//     reached.
func checkCuts(calls []Call, routers map[int]*spans, workers []workerHistory) []string {
	type place struct {
		worker *workerHistory
		run    *workerd.Run
	}
	sound := make(map[string][]place)
	for i := range workers {
		for j := range workers[i].runs {
			if run := &workers[i].runs[j]; soundFaults[run.Fault] {
				sound[run.Request] = append(sound[run.Request], place{&workers[i], run})
			}
		}
	}
	var out []string
	for i := range calls {
		c := &calls[i]
		answered := c.Status != 0 && c.Whole
		if answered || c.Ended.Sub(c.Began) > clientDeadline-deadlineSlack || routers[c.Router].meet(c.Began, c.Ended) {
			continue
		}
		for _, p := range sound[c.ID] {
			if p.worker.link.meet(p.run.At, c.Ended) {
				continue
			}
			out = append(out, fmt.Sprintf("request %s (%s, router %d, status %d): cut off after %d ms, though sound worker %s (%q) had run it",
				c.ID, c.Route, c.Router, c.Status, c.Ended.Sub(c.Began).Milliseconds(), p.worker.id, p.run.Fault))
			break
		}
	}
	return out
}
