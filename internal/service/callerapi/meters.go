package callerapi

import (
	"github.com/rcrowley/go-metrics"

	"github.com/zinniafork/zinniafork/internal/call"
)

// meters count the requests of callers.
type meters struct {
	registry  metrics.Registry
	running   metrics.Counter
	firstByte metrics.Timer
	total     metrics.Timer
}

func newMeters(r metrics.Registry) meters {
	return meters{
		registry:  r,
		running:   metrics.GetOrRegisterCounter("caller.running", r),
		firstByte: metrics.GetOrRegisterTimer("caller.first_byte", r),
		total:     metrics.GetOrRegisterTimer("caller.total", r),
	}
}

// ended counts a request by the code that it ended with.
func (m *meters) ended(code call.Code) {
	if code == "" {
		code = "ok"
	}
	metrics.GetOrRegisterCounter("caller.ended."+string(code), m.registry).Inc(1)
}
