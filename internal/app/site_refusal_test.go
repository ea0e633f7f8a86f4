package app

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// TestRepeatedRefusalIsNotBelieved covers workers that write an earlier refusal once more on
// a kept connection, before the answer to the next request. Who is told "not run" must be
// told the truth, and no order may run twice.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		for range 40 {
			for _, router := range []string{"1", "2", "3"} {
				for _, fault := range []workerd.Fault{workerd.FaultRefusedTwice, workerd.FaultNone} {
					for _, id := range []string{"p1", "p2"} {
						b.workers[id].Set(fault)
					}
					request := b.request("order")
					a := b.do(router, request)
					runs := 0
					for _, w := range b.workers {
						for _, run := range w.Runs() {
							if run.Request == request.ID {
								runs++
							}
						}
					}
					if a.status == 503 || a.status == 429 {
						must.Eq(t, 0, runs, must.Sprint("refused as not run"))
					}
					must.LessEq(t, 1, runs)
					if fault == workerd.FaultNone {
						must.Eq(t, 200, a.status, must.Sprint(a.body))
					}
				}
			}
			b.wait(50 * time.Millisecond)
		}
		b.wait(5 * time.Second) // idle connections are closed
		repeated := 0
		for _, id := range []string{"p1", "p2"} {
			repeated += b.workers[id].Repeated()
		}
		must.Positive(t, repeated, must.Sprint("refusals that were written once more"))
	})
}
