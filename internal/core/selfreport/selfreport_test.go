package selfreport_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/selfreport"
)

var start = time.Unix(1_700_000_000, 0)

func TestLeavingLastsUntilRestart(t *testing.T) {
	tr := selfreport.New()
	must.True(t, tr.ReportLeaving(start, 1, 10))
	must.False(t, tr.ReportLeaving(start, 1, 10))
	must.Eq(t, selfreport.Leaving, tr.State(start.Add(time.Minute), 1, 10))
	must.Eq(t, selfreport.Accepting, tr.State(start, 1, 11), must.Sprint("another process"))
	must.Eq(t, selfreport.Accepting, tr.State(start, 2, 10), must.Sprint("another target"))
	must.True(t, tr.ReportLeaving(start, 1, 11))
}

// TestPauses checks each form of a pause: it holds to its end, and no value takes a
// target out for good.
func TestPauses(t *testing.T) {
	for _, c := range []struct {
		name  string
		pause time.Duration
		lasts time.Duration
	}{
		{"whole seconds", 3 * time.Second, 3 * time.Second},
		{"fraction", 40 * time.Millisecond, 40 * time.Millisecond},
		{"zero", 0, 0},
		{"negative", -time.Second, 0},
		{"huge", math.MaxInt64, 2 * time.Minute},
	} {
		tr := selfreport.New()
		tr.ReportPause(start, 1, 10, c.pause)
		if c.lasts > 0 {
			must.Eq(t, selfreport.Paused, tr.State(start.Add(c.lasts-1), 1, 10), must.Sprint(c.name))
			must.Eq(t, start.Add(c.lasts), tr.PausedUntil(start, 1, 10))
		}
		must.Eq(t, selfreport.Accepting, tr.State(start.Add(c.lasts), 1, 10), must.Sprint(c.name))
		must.True(t, tr.PausedUntil(start.Add(c.lasts), 1, 10).IsZero())
	}
}

func TestPauseIsExtendedNotShortened(t *testing.T) {
	tr := selfreport.New()
	tr.ReportPause(start, 1, 10, 3*time.Second)
	tr.ReportPause(start, 1, 10, time.Second)
	must.Eq(t, start.Add(3*time.Second), tr.PausedUntil(start, 1, 10))
	tr.ReportPause(start.Add(2*time.Second), 1, 10, 3*time.Second)
	must.Eq(t, start.Add(5*time.Second), tr.PausedUntil(start, 1, 10))
	tr.ReportLeaving(start, 1, 10)
	must.True(t, tr.PausedUntil(start, 1, 10).IsZero(), must.Sprint("it does not come back"))
}

func TestExpire(t *testing.T) {
	tr := selfreport.New()
	tr.ReportPause(start, 1, 10, time.Second)
	tr.ReportLeaving(start, 2, 10)
	tr.Expire(start.Add(time.Minute))
	must.Eq(t, selfreport.Leaving, tr.State(start, 2, 10))
	must.Eq(t, selfreport.Accepting, tr.State(start, 1, 10))
	tr.Expire(start.Add(time.Hour))
	must.Eq(t, selfreport.Accepting, tr.State(start, 2, 10))
}
