// Package answers checks that callers receive the whole answer to their own
// request.
package answers

import (
	"strings"

	"github.com/zinniafork/zinniafork/internal/lab/check"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

// Rule is the rule of this checker.
const Rule = "answers_wrong"

// Check returns the number of requests whose caller received something that
// is no part of the right answer, or a part that was presented as the whole.
func Check(h *history.History) (wrong int, violations []check.Violation) {
	var log check.Log
	for i := range h.Requests {
		r := &h.Requests[i]
		switch {
		case r.Whole() && r.Answer == r.Want:
		case r.Whole() && strings.HasPrefix(r.Want, r.Answer):
			wrong++
			log.Add(Rule, "%s %s: %d of %d bytes were presented as whole by %s",
				r.Kind, r.ID, len(r.Answer), len(r.Want), r.Last().VM)
		case strings.HasPrefix(r.Want, r.Answer):
		default:
			wrong++
			log.Add(Rule, "%s %s: %s gave %q, want %q", r.Kind, r.ID, r.Last().VM, excerpt(r.Answer), excerpt(r.Want))
		}
	}
	return wrong, log.Violations
}

// excerptBytes is how much of an answer a violation shows.
const excerptBytes = 60

func excerpt(s string) string { return s[:min(len(s), excerptBytes)] }
