package refresh_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/refresh"
)

// TestPauseDetector checks that a gap counts as a pause whichever clock shows it, and
// that the time of day going back does not.
func TestPauseDetector(t *testing.T) {
	var d refresh.PauseDetector
	now := time.Now()
	must.False(t, d.Running(now))
	for range 20 {
		now = now.Add(1900 * time.Millisecond)
		must.False(t, d.Running(now))
	}
	now = now.Add(2100 * time.Millisecond)
	must.True(t, d.Running(now))
	must.False(t, d.Running(now), must.Sprint("it is reported once"))

	wall := time.Unix(1_700_000_000, 0) // without a steady clock, as a step of the time of day
	must.False(t, d.Running(now))
	d = refresh.PauseDetector{}
	must.False(t, d.Running(wall))
	must.True(t, d.Running(wall.Add(5*time.Second)))
	must.False(t, d.Running(wall), must.Sprint("back again"))
}
