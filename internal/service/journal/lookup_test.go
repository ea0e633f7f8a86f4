package journal

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/orders"
	"github.com/zinniafork/zinniafork/internal/target/plain"
)

// statusWorker is a worker that returns a fixed result to status lookups.
type statusWorker struct {
	plain.Worker
	out plain.Outcome
	err error
}

func (w statusWorker) Status(context.Context, string, string) (plain.Outcome, error) {
	return w.out, w.err
}

// Only the status of a call that is done may become the outcome of an order.
// Running, unknown and failed lookups leave the outcome open.
func TestStatusLookup(t *testing.T) {
	cases := map[string]struct {
		worker  statusWorker
		found   bool
		omitted bool
	}{
		"done":             {statusWorker{out: plain.Outcome{State: plain.StateDone, Status: 200, Body: []byte("ok")}}, true, false},
		"done, long":       {statusWorker{out: plain.Outcome{State: plain.StateDone, Status: 200, Body: make([]byte, 64<<10)}}, true, true},
		"running":          {statusWorker{out: plain.Outcome{State: plain.StateRunning}}, false, false},
		"unknown":          {statusWorker{out: plain.Outcome{State: plain.StateUnknown}}, false, false},
		"no response":      {statusWorker{err: errors.New("reset")}, false, false},
		"error and a body": {statusWorker{out: plain.Outcome{State: plain.StateDone}, err: errors.New("cut")}, false, false},
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &Service{settings: DefaultSettings(), logger: logrus.NewEntry(logger)}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			found, o := s.targetOutcome(t.Context(), c.worker, "/v1/status/{key}", "k", time.Second)
			must.Eq(t, c.found, found)
			must.Eq(t, c.omitted, o.BodyOmitted)
			if found {
				must.Eq(t, orders.RunDone, o.Run)
			}
		})
	}
}
