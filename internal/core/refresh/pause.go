package refresh

import "time"

// maxGap is the time between two calls of Running from which the process counts as
// paused. It is longer than a read of the log that times out.
const maxGap = 2 * time.Second

// PauseDetector notices that the process did not run for a while: its VM was
// suspended, or the process was stopped. Whatever the router knew then may have been
// withdrawn meanwhile. The zero value is ready for use.
type PauseDetector struct {
	last time.Time
}

// Running records that the process runs and reports whether it was paused since the
// last call. A suspended VM's steady clock stands still, so the time of day counts too;
// a jump of it is taken for a pause, which costs one read.
func (d *PauseDetector) Running(now time.Time) (paused bool) {
	last := d.last
	d.last = now
	if last.IsZero() {
		return false
	}
	return now.Sub(last) > maxGap || now.Round(0).Sub(last.Round(0)) > maxGap
}
