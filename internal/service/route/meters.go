package route

import "github.com/rcrowley/go-metrics"

// meters holds the counters of routing.
type meters struct {
	// spilled counts the chats that an owner redirected to a less loaded target.
	// recalled counts the requests that it redirected to the target to which
	// their chat had been redirected earlier.
	spilled  metrics.Counter
	recalled metrics.Counter
	// moved counts the refusals that an owner gave, waited the requests that were
	// queued at a target, and retried the requests that were sent again although
	// they may have run. resumed counts those of them whose response was resumed
	// at its target. refused counts the requests that failed without a run.
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
