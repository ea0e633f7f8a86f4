// Package orders checks that orders run at most once, that none is lost, and
// that a refusal which says "not run" is true.
package orders

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/lab/check"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

// Rules of this checker.
const (
	RuleDuplicated  = "orders_duplicated"
	RuleLost        = "orders_lost"
	RuleFalseNotRun = "false_not_run"
)

// Result counts what went wrong with orders.
type Result struct {
	Duplicated  int
	Lost        int
	FalseNotRun int
	// Unknown counts orders whose callers were left without an answer.
	Unknown int
}

// Check judges all orders of a history.
//
// An order is duplicated when workers ran it more than once, under one key or
// under several that its caller used one after another. It is lost
// when a caller was told that it ran, by an answer or by a refusal, and no
// worker ran it. A refusal that says "not run" is false when a worker ran the
// key before the caller tried again: a caller that believes it and goes away
// must not find the order done.
func Check(h *history.History) (Result, []check.Violation) {
	runs := make(map[string][]history.WorkerRun)
	for _, r := range h.WorkerRuns {
		if r.Key != "" {
			runs[r.Key] = append(runs[r.Key], r)
		}
	}
	var (
		out Result
		log check.Log
	)
	for i := range h.Requests {
		r := &h.Requests[i]
		if r.Kind != history.KindOrder {
			continue
		}
		var of []history.WorkerRun
		for _, key := range r.Keys() {
			of = append(of, runs[key]...)
			delete(runs, key)
		}
		out.once(h, r.ID, of, &log)
		out.judge(h, r, of, &log)
	}
	for key, of := range runs {
		out.once(h, key, of, &log)
	}
	return out, log.Violations
}

// once judges the runs of one order.
func (out *Result) once(h *history.History, order string, runs []history.WorkerRun, log *check.Log) {
	if len(runs) < 2 {
		return
	}
	out.Duplicated++
	log.Add(RuleDuplicated, "order %s ran %d times: on %s at %s, on %s at %s", order, len(runs),
		runs[0].Target, clock(h, runs[0].At), runs[1].Target, clock(h, runs[1].At))
}

func (out *Result) judge(h *history.History, r *history.Request, runs []history.WorkerRun, log *check.Log) {
	claimed := r.Whole() || r.Last().Run == history.RunDone
	if claimed && len(runs) == 0 {
		out.Lost++
		log.Add(RuleLost, "order %s was confirmed by %s and no worker ran it", r.ID, r.Last().VM)
	}
	if !r.Whole() && r.Last().Run != history.RunNot {
		out.Unknown++
	}
	for i, a := range r.Attempts {
		if a.Run != history.RunNot {
			continue
		}
		if run, ok := ranBefore(runs, nextStart(r, i)); ok {
			out.FalseNotRun++
			log.Add(RuleFalseNotRun, "order %s: %s said not run at %s (%s, %s), %s ran it at %s", r.ID, a.VM,
				clock(h, a.End), a.Code, a.Step, run.Target, clock(h, run.At))
		}
	}
}

// nextStart returns the start of the attempt after i, zero when i is the last.
func nextStart(r *history.Request, i int) time.Time {
	if i+1 < len(r.Attempts) {
		return r.Attempts[i+1].Start
	}
	return time.Time{}
}

func ranBefore(runs []history.WorkerRun, limit time.Time) (history.WorkerRun, bool) {
	for _, run := range runs {
		if limit.IsZero() || run.At.Before(limit) {
			return run, true
		}
	}
	return history.WorkerRun{}, false
}

func clock(h *history.History, t time.Time) time.Duration {
	return t.Sub(h.Start).Round(time.Millisecond)
}
