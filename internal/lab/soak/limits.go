package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

const (
	// limitWindow is the time over which requests to a worker with a limit are counted,
	// and limitTold the time since its router passed on an answer with the limit from
	// which a request counts.
	limitWindow = 4 * time.Second
	limitTold   = 500 * time.Millisecond
	// limitSettled is the time after the first such answer from which windows end.
	limitSettled = 3 * time.Second
	// minLimit and moreLimit are the bounds of what workers name: minLimit to
	// minLimit + moreLimit requests a second.
	minLimit  = 2
	moreLimit = 4
)

// toggleLimit lets a worker name a limit from now on, or none any more. It lasts longer
// than other faults, so that windows of it pass.
func toggleLimit(b *bed, random *rand.Rand) (string, func()) {
	w := pick(random, b.workers)
	limit := 0.0
	if w.Limit() == 0 {
		limit = minLimit + moreLimit*random.Float64()
	}
	w.SetLimit(limit)
	return fmt.Sprintf("%s: %.1f a second", w.id, limit), func() {}
}

// limitChecker counts the requests to one worker while it names the same limit.
type limitChecker struct {
	calls     map[string]*Call
	disturbed map[int]*spans
	// told holds when each router passed on an answer with the limit, and first the time
	// of the first one.
	told  map[int]time.Time
	first time.Time
	// counted are the requests of the window.
	counted []workerd.Run
}

// checkLimits returns where a worker got more requests than its limit allows from routers
// that had passed on an answer with it. What a router sent around a kill, a pause or a cut of
// its own doesn't count.
func checkLimits(calls []Call, disturbed map[int]*spans, w workerHistory) []string {
	c := &limitChecker{calls: make(map[string]*Call, len(calls)), disturbed: disturbed}
	for i := range calls {
		c.calls[calls[i].ID] = &calls[i]
	}
	limit := 0.0
	for _, r := range w.runs {
		if r.Limit != limit || !c.first.IsZero() && anyBetween(w.starts, c.first, r.At) {
			c.told, c.first, c.counted = make(map[int]time.Time), time.Time{}, nil
			limit = r.Limit
		}
		if n, allowed := c.add(r), 1.5*limit*limitWindow.Seconds()+5; limit > 0 && float64(n) > allowed {
			return []string{fmt.Sprintf("worker %s, which names %.1f requests a second, got %d in %s with %s, %.0f allowed",
				w.id, limit, n, limitWindow, r.Request, allowed)}
		}
	}
	return nil
}

// add takes the next request, and returns the number in the window, zero before the worker
// is bound to its limit.
func (c *limitChecker) add(r workerd.Run) int {
	call, ok := c.calls[r.Request]
	if r.Limit == 0 || !ok {
		return 0
	}
	at, told := c.told[call.Router]
	told = told && !c.disturbed[call.Router].meet(at, r.At)
	if told && r.At.After(at.Add(limitTold)) {
		c.counted = append(c.counted, r)
	}
	if call.Whole && call.Status == http.StatusOK {
		if !told {
			c.told[call.Router] = call.Ended
		}
		if c.first.IsZero() {
			c.first = call.Ended
		}
	}
	for len(c.counted) > 0 && r.At.Sub(c.counted[0].At) >= limitWindow {
		c.counted = c.counted[1:]
	}
	if c.first.IsZero() || !r.At.After(c.first.Add(limitSettled)) {
		return 0
	}
	return len(c.counted)
}
