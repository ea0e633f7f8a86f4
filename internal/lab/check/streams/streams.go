// Package streams checks that planned stops cut off no answer.
package streams

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/lab/check"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

// Rules of this checker.
const (
	RuleCut  = "streams_cut"
	RuleStop = "planned_stop"
)

const (
	// settle is how long an unplanned fault may go on to cut answers after
	// its end.
	settle = 5 * time.Second
	// reported is the number of violations that are written out.
	reported = 5
)

// Check returns the number of answers that began and were cut off, and the
// violations: those cut while no unplanned fault was at work, and planned
// stops that did not end by themselves.
func Check(h *history.History) (cut int, violations []check.Violation) {
	var log check.Log
	unexplained := 0
	for i := range h.Requests {
		for _, a := range h.Requests[i].Attempts {
			if !a.Cut {
				continue
			}
			cut++
			if explained(h.Faults, a) {
				continue
			}
			if unexplained++; unexplained <= reported {
				log.Add(RuleCut, "%s at %s was cut after %s: %s", h.Requests[i].ID, a.VM,
					a.End.Sub(a.Start).Round(time.Millisecond), a.Err)
			}
		}
	}
	for _, s := range h.Stops {
		if s.Err != "" {
			log.Add(RuleStop, "%s did not stop in %s: %s", s.VM, s.To.Sub(s.From).Round(time.Millisecond), s.Err)
		}
	}
	return cut, log.Violations
}

// explained reports whether an unplanned fault was at work during an attempt.
func explained(faults []history.Span, a history.Attempt) bool {
	for _, f := range faults {
		over := !f.To.IsZero() && f.To.Add(settle).Before(a.Start)
		if !over && !f.From.After(a.End) {
			return true
		}
	}
	return false
}
