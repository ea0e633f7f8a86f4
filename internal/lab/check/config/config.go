// Package config checks that accepted configurations come into force
// everywhere in time and never revert.
package config

import (
	"maps"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/check"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

// Rules of this checker.
const (
	RuleBack     = "config_back"
	RuleDiffers  = "config_differs"
	RuleConverge = "config_converge"
)

// Limit is the time in which an accepted version must be in force on every
// router, counted from its acceptance or from the router's return.
const Limit = 3 * time.Second

// Check returns the longest time that an accepted version took until it was
// in force on a router that was up, and the violations.
func Check(h *history.History) (time.Duration, []check.Violation) {
	var log check.Log
	byVM := make(map[fleet.VM][]history.ConfigView)
	for _, v := range h.Views {
		byVM[v.VM] = append(byVM[v.VM], v)
	}
	for _, vm := range slices.Sorted(maps.Keys(byVM)) {
		neverBack(byVM[vm], &log)
	}
	sameContent(h.Views, &log)
	return converge(h, byVM, &log), log.Violations
}

// neverBack judges the versions of one router. A new process begins anew.
func neverBack(views []history.ConfigView, log *check.Log) {
	for i := 1; i < len(views); i++ {
		before, now := views[i-1], views[i]
		if before.Boot == now.Boot && now.Offset < before.Offset {
			log.Add(RuleBack, "%s went from version %d back to %d", now.VM, before.Offset, now.Offset)
		}
	}
}

// sameContent judges that a version has one content everywhere.
func sameContent(views []history.ConfigView, log *check.Log) {
	first := make(map[uint64]history.ConfigView)
	for _, v := range views {
		other, ok := first[v.Offset]
		if !ok {
			first[v.Offset] = v
			continue
		}
		if other.Hash != v.Hash {
			log.Add(RuleDiffers, "version %d is %s on %s and %s on %s", v.Offset, other.Hash, other.VM, v.Hash, v.VM)
		}
	}
}

func converge(h *history.History, byVM map[fleet.VM][]history.ConfigView, log *check.Log) time.Duration {
	var longest time.Duration
	for _, vm := range slices.Sorted(maps.Keys(h.UpVMs)) {
		for _, up := range h.UpVMs[vm] {
			for _, p := range h.Published {
				longest = max(longest, inForce(h, vm, up, p, byVM[vm], log))
			}
		}
	}
	return longest
}

// inForce returns how long a version took on a router within a span in which
// it was up. A span that ends first says nothing.
func inForce(h *history.History, vm fleet.VM, up history.Span, p history.Publish, views []history.ConfigView, log *check.Log) time.Duration {
	from := p.At
	if up.From.After(from) {
		from = up.From
	}
	until := h.End
	if !up.To.IsZero() {
		until = up.To
	}
	if !until.After(from) {
		return 0
	}
	i := slices.IndexFunc(views, func(v history.ConfigView) bool {
		return v.Offset >= p.Offset && v.At.Before(until)
	})
	took := until.Sub(from)
	if i >= 0 {
		took = max(0, views[i].At.Sub(from))
	}
	if took > Limit {
		log.Add(RuleConverge, "version %d took %s on %s", p.Offset, took.Round(time.Millisecond), vm)
		return took
	}
	if i < 0 {
		return 0
	}
	return took
}
