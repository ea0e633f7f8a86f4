package membership

import "time"

// Rules of the pacer. Use is the measured traffic as a share of the budget.
const (
	// maxStretch limits the heartbeat period as a multiple of the configured
	// one.
	maxStretch = 2.0
	// stretchStep is the factor of one adjustment of the period.
	stretchStep = 1.25
	// shrinkBelow is the use below which the pacer first sends all parts again
	// and then shortens the period.
	shrinkBelow = 0.7
	// stretchAbove is the use above which it lengthens the period.
	stretchAbove = 0.95
	// shedAbove is the use above which it leaves out less important parts of
	// heartbeats, once the period is at its longest.
	shedAbove = 1.2
)

// Pacer keeps the control traffic of a router within its budget. It first
// lengthens the heartbeat period and then leaves out the less important parts
// of heartbeats.
type Pacer struct {
	// stretch is the present period as a multiple of the configured one.
	stretch float64
	// shed is the number of parts to leave out.
	shed int
}

// NewPacer returns a pacer that uses the configured period and sends all parts.
func NewPacer() *Pacer { return &Pacer{stretch: 1} }

// Observe adjusts the pacer to the bytes of control traffic in the last
// interval, given the budget in bytes per second.
func (p *Pacer) Observe(bytes uint64, interval time.Duration, bytesPerSecond int) {
	if interval <= 0 || bytesPerSecond <= 0 {
		return
	}
	use := float64(bytes) / interval.Seconds() / float64(bytesPerSecond)
	switch {
	case use > stretchAbove:
		if use > shedAbove && p.stretch >= maxStretch {
			p.shed++
		}
		p.stretch = min(p.stretch*stretchStep, maxStretch)
	case use < shrinkBelow:
		if p.shed > 0 {
			p.shed--
			return
		}
		p.stretch = max(p.stretch/stretchStep, 1)
	}
}

// Period returns the present time between heartbeats.
func (p *Pacer) Period(configured time.Duration) time.Duration {
	return time.Duration(float64(configured) * p.stretch)
}

// Shed returns how many of the least important parts of heartbeats to leave
// out.
func (p *Pacer) Shed() int { return p.shed }
