package app

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// TestSilentTargetOutlastsABrokenHedge lets the hedge break off after the head of its
// response: the silent target is sound and its response arrives.
func TestSilentTargetOutlastsABrokenHedge(t *testing.T) {
	for _, first := range []workerd.Fault{workerd.FaultSilentHead, workerd.FaultSilent} {
		t.Run(string(first), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.replaceTargets(64)
				holder, other := b.holder("status")
				b.workers[holder].Set(first)
				b.workers[other].Set(workerd.FaultCut)
				a := b.call("1", "status")
				must.NoError(t, a.err)
				must.Eq(t, 200, a.status)
			})
		})
	}
}
