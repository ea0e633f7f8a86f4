// Package drain checks that targets under a drain mark receive no new work.
package drain

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/check"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

// Rule is the rule of this checker.
const Rule = "new_work_after_drain"

// Limit is the time after the acceptance of a mark in which new work may
// still begin: 3 s until the configuration is in force everywhere and 2 s
// until the last router has acted on it.
const Limit = 5 * time.Second

// reported is the number of violations that are written out.
const reported = 5

// Check returns how long after the acceptance of its mark a target last began
// new work, zero when none did, and the violations.
func Check(h *history.History) (time.Duration, []check.Violation) {
	var (
		last time.Duration
		late int
		log  check.Log
	)
	judge := func(target fleet.Target, dc fleet.DataCentre, began time.Time) {
		for _, m := range h.Marks {
			if !m.Covers(target, dc, began) {
				continue
			}
			after := began.Sub(m.Accepted)
			last = max(last, after)
			if after <= Limit {
				continue
			}
			if late++; late <= reported {
				log.Add(Rule, "%s began work %s after its mark was accepted", target, after.Round(time.Millisecond))
			}
		}
	}
	for _, r := range h.EngineRuns {
		judge(r.Target, r.DataCentre, r.Started)
	}
	for _, r := range h.WorkerRuns {
		judge(r.Target, r.DataCentre, r.At)
	}
	return last, log.Violations
}
