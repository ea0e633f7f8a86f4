package forward

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/core/workload"
)

// TestSilenceByExpectedFirstByte guards against hedges of requests that only wait in a queue,
// against ones that come before the target can have responded, and against ones that come
// later than without the work.
func TestSilenceByExpectedFirstByte(t *testing.T) {
	r := &request{service: &routing.Service{Engine: true}, route: &routing.Route{Objective: time.Second}}
	sent := func(load, waitMS float64) *send {
		s := new(send)
		s.choice.Load, s.choice.Target.Slots = load, 64
		estimate := workload.Estimate{Tokens: 560, TokenMS: 1.0 / 56, Events: 40, EventMS: 30}
		s.work = &sendWork{job: workload.New().Start(time.Unix(1, 0), workload.Start{Estimate: estimate, Slots: 64, WaitMS: waitMS})}
		return s
	}
	must.Eq(t, 2*time.Second, r.silenceTimeout(new(send)), must.Sprint("without the work"))
	must.Eq(t, 500*time.Millisecond, r.silenceTimeout(sent(10, 0)))
	must.Eq(t, 1060*time.Millisecond, r.silenceTimeout(sent(10, 200)))
	must.Eq(t, 2*time.Second, r.silenceTimeout(sent(10, 5000)))
	must.Eq(t, 2*time.Second, r.silenceTimeout(sent(64, 0)), must.Sprint("no free slot"))
}
