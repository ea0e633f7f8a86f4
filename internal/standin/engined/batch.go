package engined

import "time"

// batch counts the requests that an engine runs and what it bears.
type batch struct {
	slots     int
	coldSlots int
	running   int
	// limit is below slots while the engine is cold. Each completed request
	// raises it by one.
	limit int
}

func newBatch(slots, coldSlots int) batch {
	b := batch{slots: slots, coldSlots: coldSlots}
	b.turnCold()
	return b
}

func (b *batch) turnCold() {
	b.limit = b.slots
	if b.coldSlots > 0 {
		b.limit = min(b.coldSlots, b.slots)
	}
}

func (b *batch) cold() bool { return b.limit < b.slots }

func (b *batch) overloaded() bool { return b.running > b.limit }

func (b *batch) complete() {
	if b.limit < b.slots {
		b.limit++
	}
}

// A full batch lengthens each step by half, and load above the limit by much
// more.
const (
	fullBatchCost = 0.5
	overloadCost  = 4
)

// step returns the time of one step that takes base alone.
func (b *batch) step(base time.Duration) time.Duration {
	factor := 1 + fullBatchCost*float64(b.running)/float64(b.slots)
	if b.overloaded() {
		factor *= overloadCost
	}
	return time.Duration(float64(base) * factor)
}
