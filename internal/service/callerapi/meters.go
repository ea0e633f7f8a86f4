package callerapi

import (
	"github.com/rcrowley/go-metrics"

	"github.com/zinniafork/zinniafork/internal/call"
)

// meters count the requests of callers.
type meters struct {
	registry  metrics.Registry
	running   metrics.Counter
	resumed   metrics.Counter
	firstByte metrics.Histogram
	total     metrics.Histogram
}

func newMeters(r metrics.Registry) meters {
	return meters{
		registry:  r,
		running:   metrics.GetOrRegisterCounter("caller.running", r),
		resumed:   metrics.GetOrRegisterCounter("caller.resumed", r),
		firstByte: metrics.GetOrRegisterHistogram("caller.first_byte", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		total:     metrics.GetOrRegisterHistogram("caller.total", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}

// The samples of times stand for the last minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// ended counts a request by the code that it ended with.
func (m *meters) ended(code call.Code) {
	if code == "" {
		code = "ok"
	}
	metrics.GetOrRegisterCounter("caller.ended."+string(code), m.registry).Inc(1)
}
