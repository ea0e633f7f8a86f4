package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

const (
	// leavingSlack is the time after an answer that says that its worker leaves from
	// which the router that passed it on may send it nothing more.
	leavingSlack = time.Second
	// pauseSlack is the time after a refusal that asks for a pause from which at most
	// pauseRequests may reach the worker from that router.
	pauseSlack    = 500 * time.Millisecond
	pauseRequests = 2
)

// workerHistory is what one worker saw.
type workerHistory struct {
	id      string
	runs    []workerd.Run
	refused []workerd.Refusal
	// starts are the times at which the worker started, the first one included.
	starts []time.Time
}

// history returns what the worker saw so far.
func (w *worker) history() workerHistory {
	w.mu.Lock()
	defer w.mu.Unlock()
	return workerHistory{id: w.id, runs: w.Runs(), refused: w.Refused(), starts: slices.Clone(w.starts)}
}

// arrival is one request at a worker with the router that sent it. Began is the time
// at which its caller sent it.
type arrival struct {
	request   string
	router    int
	at, began time.Time
}

// startedBetween reports whether one of the starts lies between two times.
func startedBetween(starts []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(starts, func(s time.Time) bool { return s.After(from) && s.Before(to) })
}

// checkReports returns where a router sent requests to a worker that had said to it
// that it leaves, or had asked it for a pause. A start of either one in between ends
// what was said.
func checkReports(calls []Call, routers []*router, w workerHistory) []string {
	byID := make(map[string]*Call)
	for i := range calls {
		byID[calls[i].ID] = &calls[i]
	}
	starts := make(map[int][]time.Time)
	for _, r := range routers {
		starts[r.index] = r.startTimes()
	}
	var arrivals []arrival
	add := func(request string, at time.Time) {
		if c, ok := byID[request]; ok {
			arrivals = append(arrivals, arrival{request: request, router: c.Router, at: at, began: c.Began})
		}
	}
	for _, r := range w.runs {
		add(r.Request, r.At)
	}
	for _, r := range w.refused {
		add(r.Request, r.At)
	}
	holds := func(router int, from, to time.Time) bool {
		return !startedBetween(w.starts, from, to) && !startedBetween(starts[router], from, to)
	}
	var out []string
	for _, r := range w.runs {
		c, ok := byID[r.Request]
		if !r.Leaving || !ok || !c.Whole || c.Status != 200 {
			continue
		}
		for _, a := range arrivals {
			if a.router == c.Router && a.began.After(c.Ended.Add(leavingSlack)) && holds(a.router, r.At, a.at) {
				out = append(out, fmt.Sprintf("request %s: reached worker %s, which had told router %d with %s that it leaves", a.request, w.id, a.router, r.Request))
			}
		}
	}
	for _, r := range w.refused {
		c, ok := byID[r.Request]
		if !r.Pause || !ok {
			continue
		}
		n := 0
		for _, a := range arrivals {
			if a.router == c.Router && a.at.After(r.At.Add(pauseSlack)) && a.at.Before(r.At.Add(pause)) && holds(a.router, r.At, a.at) {
				n++
			}
		}
		if n > pauseRequests {
			out = append(out, fmt.Sprintf("%d requests reached worker %s in the pause that it had asked router %d for with %s", n, w.id, c.Router, r.Request))
		}
	}
	return out
}
