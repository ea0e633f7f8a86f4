package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/admission"
	"github.com/zinniafork/zinniafork/internal/core/health"
	"github.com/zinniafork/zinniafork/internal/kernel"
)

// TestOnlyItsOwnFailuresCountAgainstATarget checks which errors of a run count as a failure of its
// target. A run that was given up since the router that asked is lost does not.
func TestOnlyItsOwnFailuresCountAgainstATarget(t *testing.T) {
	for code, counts := range map[call.Code]bool{
		call.CodeUnavailable: true, call.CodeCut: true, call.CodeOverloaded: true,
		call.CodeCanceled: false, call.CodeDeadline: false, call.CodeNoTarget: false, call.CodeResumeImpossible: false,
	} {
		s := &Service{clock: kernel.SystemClock{}}
		limits := health.Limits{Capacity: 4, ColdSlots: 4}
		target := &ownedTarget{admission: admission.NewTarget(admission.Config{Limits: limits}, time.Now()), probeNow: make(chan struct{}, 1)}
		s.recordFailure(target, &call.Error{Code: code, Step: "target", Run: call.RunUnknown})
		must.Eq(t, counts, len(target.probeNow) == 1, must.Sprint(code))
	}
}
