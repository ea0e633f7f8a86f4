package route

import "github.com/rcrowley/go-metrics"

// meters count what happens to requests on their way.
type meters struct {
	// spilled counts requests that an owner sent to another target, recalled
	// those that it sent to where their chat had gone before.
	spilled  metrics.Counter
	recalled metrics.Counter
	// moved counts refusals after which the next target was tried, waited the
	// requests that were let wait, retried those that were tried again after
	// they may have run, resumed those of them whose answer went on.
	moved   metrics.Counter
	waited  metrics.Counter
	retried metrics.Counter
	resumed metrics.Counter
	refused metrics.Counter
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		spilled:  metrics.GetOrRegisterCounter("route.spilled", r),
		recalled: metrics.GetOrRegisterCounter("route.recalled", r),
		moved:    metrics.GetOrRegisterCounter("route.moved", r),
		waited:   metrics.GetOrRegisterCounter("route.waited", r),
		retried:  metrics.GetOrRegisterCounter("route.retried", r),
		resumed:  metrics.GetOrRegisterCounter("route.resumed", r),
		refused:  metrics.GetOrRegisterCounter("route.refused", r),
	}
}
