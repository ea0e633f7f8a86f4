// Package service measures service: the share of requests that were completed
// once and in time, overall and by client account.
package service

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/check"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

// Rules of this checker.
const (
	Rule        = "service"
	RuleAccount = "service_min_account"
)

// Limits are the least service that an experiment must show. A zero limit is
// not judged.
type Limits struct {
	// Overall is the least share over all requests that count.
	Overall float64
	// AccountGap is the most by which the worst account may be below the
	// share over all.
	AccountGap float64
	// Without names accounts that don't count, such as one that surges.
	Without map[fleet.Account]bool
}

// Result holds the shares.
type Result struct {
	Service    float64
	MinAccount float64
	// Worst is the account with the least service.
	Worst fleet.Account
	// Served and All count requests.
	Served, All int
	// Reasons counts the requests that were not served by what ended them.
	Reasons map[string]int
}

type tally struct{ served, all int }

func (t tally) share() float64 {
	if t.all == 0 {
		return 1
	}
	return float64(t.served) / float64(t.all)
}

// Check measures a history and compares it with limits.
func Check(h *history.History, limits Limits) (Result, []check.Violation) {
	runs := make(map[string]int)
	for _, r := range h.WorkerRuns {
		runs[r.Key]++
	}
	var total tally
	accounts := make(map[fleet.Account]tally)
	reasons := make(map[string]int)
	for i := range h.Requests {
		r := &h.Requests[i]
		if limits.Without[r.Account] {
			continue
		}
		t := accounts[r.Account]
		t.all++
		total.all++
		if served(r, runs) {
			t.served++
			total.served++
		} else {
			reasons[reason(r, runs)]++
		}
		accounts[r.Account] = t
	}
	out := Result{Service: total.share(), MinAccount: 1, Served: total.served, All: total.all, Reasons: reasons}
	for name, t := range accounts {
		if share := t.share(); share < out.MinAccount || share == out.MinAccount && name < out.Worst {
			out.MinAccount, out.Worst = share, name
		}
	}
	return out, out.judge(limits)
}

// served reports whether a request was completed once and in time.
func served(r *history.Request, runs map[string]int) bool {
	if !r.Whole() || r.Answer != r.Want || r.Latency() > r.Limit {
		return false
	}
	return r.Kind != history.KindOrder || runsOf(r, runs) == 1
}

// runsOf counts the runs of an order under all of its keys.
func runsOf(r *history.Request, runs map[string]int) int {
	n := 0
	for _, key := range r.Keys() {
		n += runs[key]
	}
	return n
}

// reason names what ended a request that was not served.
func reason(r *history.Request, runs map[string]int) string {
	last := r.Last()
	switch {
	case r.Whole() && r.Answer != r.Want:
		return "wrong answer"
	case r.Whole() && r.Latency() > r.Limit:
		return "late"
	case r.Whole():
		return fmt.Sprintf("ran %d times", runsOf(r, runs))
	case last.Code != "":
		return last.Code + " at " + last.Step
	case last.FirstByte.IsZero():
		return "no answer began"
	default:
		return "answer not finished"
	}
}

// topReasons lists the most frequent reasons.
func (out Result) topReasons() string {
	names := slices.Collect(maps.Keys(out.Reasons))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(out.Reasons[b], out.Reasons[a]), cmp.Compare(a, b))
	})
	var parts []string
	for _, name := range names[:min(len(names), shownReasons)] {
		parts = append(parts, fmt.Sprintf("%s %d", name, out.Reasons[name]))
	}
	return strings.Join(parts, ", ")
}

// shownReasons is the number of reasons that a violation lists.
const shownReasons = 4

func (out Result) judge(limits Limits) []check.Violation {
	var log check.Log
	if out.All == 0 {
		log.Add(Rule, "no request was sent")
	}
	if out.Service < limits.Overall {
		log.Add(Rule, "%d of %d requests completed once and in time, %.4f, want %.4f: %s",
			out.Served, out.All, out.Service, limits.Overall, out.topReasons())
	}
	if limits.AccountGap > 0 && out.MinAccount < out.Service-limits.AccountGap {
		log.Add(RuleAccount, "%s got %.4f, all together %.4f, allowed gap %.4f",
			out.Worst, out.MinAccount, out.Service, limits.AccountGap)
	}
	return log.Violations
}
