package slots

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinniafork/zinniafork/internal/core/slotqueue"
)

// sampleSize and sampleAlpha weight the histogram towards the last few minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// slotMetrics counts decisions and records waits.
type slotMetrics struct {
	registry metrics.Registry
	// waiting and granted are the requests that wait at this router, and the slots that it
	// granted.
	waiting, granted metrics.Counter
	// wait is the time until a router that asked had an answer, in nanoseconds.
	wait metrics.Histogram
}

// newSlotMetrics registers the metrics of the package.
func newSlotMetrics(r metrics.Registry) slotMetrics {
	return slotMetrics{
		registry: r,
		waiting:  metrics.GetOrRegisterCounter("slots.waiting", r),
		granted:  metrics.GetOrRegisterCounter("slots.granted", r),
		wait:     metrics.GetOrRegisterHistogram("slots.wait", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}

// placed counts the outcome of a query at the router that asked.
func (m *slotMetrics) placed(outcome string) {
	metrics.GetOrRegisterCounter("slots.placed."+outcome, m.registry).Inc(1)
}

// failed counts a router that did not answer, by the code of the error.
func (m *slotMetrics) failed(code string) {
	metrics.GetOrRegisterCounter("slots.failed."+code, m.registry).Inc(1)
}

// decided counts a decision at the grantor.
func (m *slotMetrics) decided(d *slotqueue.Decision) {
	switch d.State {
	case slotqueue.Granted:
		metrics.GetOrRegisterCounter("slots.grants", m.registry).Inc(1)
	case slotqueue.Refused:
		metrics.GetOrRegisterCounter("slots.refusals."+string(d.Reason), m.registry).Inc(1)
	case slotqueue.Waiting:
	}
}

// waited records the time until an answer.
func (m *slotMetrics) waited(d time.Duration) { m.wait.Update(d.Nanoseconds()) }

// queueChanged records by how much the requests that wait and the grants have changed.
func (m *slotMetrics) queueChanged(waiting, granted int) {
	m.waiting.Inc(int64(waiting))
	m.granted.Inc(int64(granted))
}
