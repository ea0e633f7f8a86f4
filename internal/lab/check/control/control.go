// Package control checks the control traffic of routers against their budget.
package control

import (
	"maps"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/check"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

// Rule is the rule of this checker.
const Rule = "control_bytes_per_s"

// Window is the time over which the traffic of a router is averaged.
const Window = 10 * time.Second

// Check returns the largest average over a window, in bytes a second, both
// directions together.
func Check(h *history.History, budget float64) (float64, []check.Violation) {
	byVM := make(map[fleet.VM][]history.ControlSample)
	for _, s := range h.Control {
		byVM[s.VM] = append(byVM[s.VM], s)
	}
	var (
		highest float64
		log     check.Log
	)
	for _, vm := range slices.Sorted(maps.Keys(byVM)) {
		rate := largest(byVM[vm])
		highest = max(highest, rate)
		if rate > budget {
			log.Add(Rule, "%s had %.0f bytes/s, budget %.0f", vm, rate, budget)
		}
	}
	return highest, log.Violations
}

// largest returns the largest average over a window of one router's samples.
// Samples shorter than a window are averaged over all of them.
func largest(samples []history.ControlSample) float64 {
	var best float64
	for i := range samples {
		total, n := 0.0, 0
		for _, s := range samples[:i+1] {
			if samples[i].At.Sub(s.At) < Window {
				total += s.Bytes
				n++
			}
		}
		full := samples[i].At.Sub(samples[0].At) >= Window || i == len(samples)-1
		if full {
			best = max(best, total/float64(n))
		}
	}
	return best
}
