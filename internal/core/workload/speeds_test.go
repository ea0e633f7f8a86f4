package workload_test

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/workload"
)

// TestSlowTargetIsKnownElsewhere guards against routers that go on sending to a slow target
// until they have seen it themselves, against reports of usual targets, which would fill the
// digests, and against reports that no response bears out any more.
func TestSlowTargetIsKnownElsewhere(t *testing.T) {
	saw, other, now := workload.New(), workload.New(), start
	call := func(m *workload.Model, speed float64) {
		_, now = run(m, now, engineCall{key: engineKey, size: workload.Size{PromptTokens: 800}, target: 1, events: 40, speed: speed, batch: 10})
	}
	usual := func(m *workload.Model) {
		for range 20 {
			_, now = run(m, now, engineCall{key: engineKey, size: workload.Size{PromptTokens: 800}, target: 2, events: 40, speed: 1, batch: 10})
		}
	}
	usual(saw)
	usual(other)
	must.Len(t, 0, saw.TakeSpeeds())
	call(saw, 0.2)
	speeds := saw.TakeSpeeds()
	must.Len(t, 1, speeds)
	must.Len(t, 0, saw.TakeSpeeds(), must.Sprint("told once"))
	other.LearnSpeeds(now, speeds)
	pace, _ := other.Speed(now, 1)
	must.Less(t, 0.6, pace)
	for range 3 {
		call(other, 1)
	}
	pace, _ = other.Speed(now, 1)
	must.Greater(t, 0.75, pace)

	other.LearnSpeeds(now, []workload.Speed{{Target: 3, LogPace: math.NaN(), Weight: 1}, {Target: 3, LogPace: -1, Weight: math.NaN()}, {Target: 3, LogPace: -99, Weight: 1}})
	pace, _ = other.Speed(now, 3)
	must.Eq(t, 1, pace)
}
