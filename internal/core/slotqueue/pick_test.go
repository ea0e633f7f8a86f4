package slotqueue

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// TestPickerForgetsFailures guards against a map that grows with each target that ever failed,
// where targets report no figures.
func TestPickerForgetsFailures(t *testing.T) {
	p, now := NewPicker(rand.New(rand.NewPCG(1, 1))), time.Unix(0, 0)
	for ref := range fleet.Ref(100) {
		p.Failed(now, ref)
		now = now.Add(figuresTTL)
	}
	must.MapLen(t, 1, p.failures)
}
