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
// An order is duplicated when workers ran its key more than once. It is lost
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
	for key, of := range runs {
		if len(of) > 1 {
			out.Duplicated++
			log.Add(RuleDuplicated, "key %s ran %d times: on %s at %s, on %s at %s", key, len(of),
				of[0].Target, clock(h, of[0].At), of[1].Target, clock(h, of[1].At))
		}
	}
	for i := range h.Requests {
		r := &h.Requests[i]
		if r.Kind == history.KindOrder {
			out.judge(h, r, runs[r.Key], &log)
		}
	}
	return out, log.Violations
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
