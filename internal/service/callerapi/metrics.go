package callerapi

import (
	"github.com/rcrowley/go-metrics"

	"github.com/zinniafork/zinniafork/internal/call"
)

// requestMetrics holds the metrics of requests from callers. Durations are in
// nanoseconds.
type requestMetrics struct {
	registry  metrics.Registry
	running   metrics.Counter
	resumed   metrics.Counter
	firstByte metrics.Histogram
	total     metrics.Histogram
}

// newRequestMetrics registers the metrics in r.
func newRequestMetrics(r metrics.Registry) requestMetrics {
	return requestMetrics{
		registry:  r,
		running:   metrics.GetOrRegisterCounter("caller.running", r),
		resumed:   metrics.GetOrRegisterCounter("caller.resumed", r),
		firstByte: metrics.GetOrRegisterHistogram("caller.first_byte", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		total:     metrics.GetOrRegisterHistogram("caller.total", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}

// sampleSize and sampleAlpha weight the histograms towards the last few minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// countEnd counts a finished request by its error code, "ok" if it has none.
func (m *requestMetrics) countEnd(code call.Code) {
	if code == "" {
		code = "ok"
	}
	metrics.GetOrRegisterCounter("caller.ended."+string(code), m.registry).Inc(1)
}
