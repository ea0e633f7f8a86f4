package soak

import (
	"fmt"
	"net/http"
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
	service string
	runs    []workerd.Run
	refused []workerd.Refusal
	// starts are the times at which the worker started, the first one included.
	starts []time.Time
	// crashes are the times at which requests crashed the worker.
	crashes []time.Time
	// link holds the times in which the worker could not be reached.
	link *spans
}

// history returns what the worker saw so far.
func (w *worker) history() workerHistory {
	w.mu.Lock()
	defer w.mu.Unlock()
	return workerHistory{id: w.id, service: w.service, runs: w.Runs(), refused: w.Refused(), starts: slices.Clone(w.starts), crashes: w.CrashTimes(), link: &w.link.disturbed}
}

// arrival is one request at a worker with the router that sent it. Began is the time
// at which its caller sent it.
type arrival struct {
	request   string
	router    int
	at, began time.Time
}

// anyBetween reports whether one of some times lies between two others.
func anyBetween(times []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(times, func(s time.Time) bool { return s.After(from) && s.Before(to) })
}

// reportChecker checks what routers sent to one worker after it had told them
// something of itself.
type reportChecker struct {
	worker   workerHistory
	calls    map[string]*Call
	arrivals []arrival
	// routerStarts holds the times at which each router was started.
	routerStarts map[int][]time.Time
}

// checkReports returns where a router sent requests to a worker that had said to it
// that it leaves, or had asked it for a pause.
func checkReports(calls []Call, routers []*router, w workerHistory) []string {
	c := &reportChecker{worker: w, calls: make(map[string]*Call), routerStarts: make(map[int][]time.Time)}
	for i := range calls {
		c.calls[calls[i].ID] = &calls[i]
	}
	for _, r := range routers {
		c.routerStarts[r.index] = r.startTimes()
	}
	for _, r := range w.runs {
		c.addArrival(r.Request, r.At)
	}
	for _, r := range w.refused {
		c.addArrival(r.Request, r.At)
	}
	var out []string
	for _, r := range w.runs {
		out = append(out, c.checkLeaving(&r)...)
	}
	for _, r := range w.refused {
		out = append(out, c.checkPause(&r)...)
	}
	return out
}

// addArrival records a request at the worker, if a client sent it.
func (c *reportChecker) addArrival(request string, at time.Time) {
	if call, ok := c.calls[request]; ok {
		c.arrivals = append(c.arrivals, arrival{request: request, router: call.Router, at: at, began: call.Began})
	}
}

// holds reports whether what the worker told a router at one time still holds at
// another: a start of either in between ends it.
func (c *reportChecker) holds(router int, from, to time.Time) bool {
	return !anyBetween(c.worker.starts, from, to) && !anyBetween(c.routerStarts[router], from, to)
}

// checkLeaving returns the requests that reached the worker after an answer that said
// that it leaves.
func (c *reportChecker) checkLeaving(said *workerd.Run) []string {
	call, ok := c.calls[said.Request]
	if !said.Leaving || !ok || !call.Whole || call.Status != http.StatusOK {
		return nil
	}
	var out []string
	for _, a := range c.arrivals {
		if a.router == call.Router && a.began.After(call.Ended.Add(leavingSlack)) && c.holds(a.router, said.At, a.at) {
			out = append(out, fmt.Sprintf("request %s: reached worker %s, which had told router %d with %s that it leaves",
				a.request, c.worker.id, a.router, said.Request))
		}
	}
	return out
}

// checkPause returns the pause that the worker asked for if too many requests reached
// it from the same router before its end.
func (c *reportChecker) checkPause(asked *workerd.Refusal) []string {
	call, ok := c.calls[asked.Request]
	if !asked.Pause || !ok {
		return nil
	}
	from, to := asked.At.Add(pauseSlack), asked.At.Add(pause)
	n := 0
	for _, a := range c.arrivals {
		if a.router == call.Router && a.at.After(from) && a.at.Before(to) && c.holds(a.router, asked.At, a.at) {
			n++
		}
	}
	if n <= pauseRequests {
		return nil
	}
	return []string{fmt.Sprintf("%d requests reached worker %s in the pause that it had asked router %d for with %s",
		n, c.worker.id, call.Router, asked.Request)}
}
