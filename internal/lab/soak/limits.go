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

// checkLimits returns where a worker got more requests than its limit allows from routers
// that had passed on an answer with it. What a router sent around a kill or a pause of its
// own doesn't count.
func checkLimits(calls []Call, disturbed map[int]*spans, w workerHistory) []string {
	byID := make(map[string]*Call, len(calls))
	for i := range calls {
		byID[calls[i].ID] = &calls[i]
	}
	told := make(map[int]time.Time)
	var (
		first   time.Time
		counted []workerd.Run
	)
	for i, r := range w.runs {
		call, ok := byID[r.Request]
		restarted := !first.IsZero() && startedBetween(w.starts, first, r.At)
		if r.Limit == 0 || i > 0 && w.runs[i-1].Limit != r.Limit || restarted {
			clear(told)
			first, counted = time.Time{}, nil
		}
		if r.Limit == 0 || !ok {
			continue
		}
		if at, known := told[call.Router]; known && r.At.After(at.Add(limitTold)) && !disturbed[call.Router].meet(at, r.At) {
			counted = append(counted, r)
		}
		if call.Whole && call.Status == http.StatusOK {
			if _, known := told[call.Router]; !known || disturbed[call.Router].meet(told[call.Router], r.At) {
				told[call.Router] = call.Ended
			}
			if first.IsZero() {
				first = call.Ended
			}
		}
		for len(counted) > 0 && r.At.Sub(counted[0].At) >= limitWindow {
			counted = counted[1:]
		}
		if allowed := 1.5*r.Limit*limitWindow.Seconds() + 5; float64(len(counted)) > allowed && r.At.After(first.Add(limitSettled)) {
			return []string{fmt.Sprintf("worker %s, which names %.1f requests a second, got %d in %s with %s, %.0f allowed",
				w.id, r.Limit, len(counted), limitWindow, r.Request, allowed)}
		}
	}
	return nil
}
