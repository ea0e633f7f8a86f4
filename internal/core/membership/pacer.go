package membership

import "time"

// Limits of the heartbeat period as a multiple of the configured one, and of
// one adjustment.
const (
	maxStretch   = 2.0
	stretchStep  = 1.25
	shrinkBelow  = 0.7
	stretchAbove = 0.95
	// shedAbove is the share of the budget from which less important parts
	// of heartbeats are left out.
	shedAbove = 1.2
)

// Pacer fits the control traffic of a router to its budget: it first stretches
// the heartbeat period and then leaves out the less important parts.
type Pacer struct {
	stretch float64
	shed    int
}

// NewPacer returns a pacer at the configured period.
func NewPacer() *Pacer { return &Pacer{stretch: 1} }

// Observe takes the bytes of control traffic in the last interval.
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

// Period returns the time between heartbeats now.
func (p *Pacer) Period(configured time.Duration) time.Duration {
	return time.Duration(float64(configured) * p.stretch)
}

// Shed returns the number of the least important parts to leave out.
func (p *Pacer) Shed() int { return p.shed }
