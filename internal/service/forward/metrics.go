package forward

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// requestMetrics counts requests by outcome and records their durations in
// nanoseconds.
type requestMetrics struct {
	registry  metrics.Registry
	running   metrics.Counter
	firstByte metrics.Histogram
	total     metrics.Histogram
	// digestBytes is the size of the digests sent.
	digestBytes metrics.Histogram
	// updatesDropped counts the updates that a digest had no room for.
	updatesDropped metrics.Counter
	// quarantinedParts is the number of requests and prompt parts in quarantine,
	// quarantineRefused counts the requests refused for one, and engineCrashes the sends
	// that a target broke off.
	quarantinedParts  metrics.Counter
	quarantineRefused metrics.Counter
	engineCrashes     metrics.Counter
	// cutPaths is the number of services most of whose targets this router can't reach, and
	// pathProbes counts the connections opened to see whether a target can be reached.
	cutPaths   metrics.Counter
	pathProbes metrics.Counter
	// limitedTargets is the number of targets that name a limit. limitedFirst and
	// limitedRepeats count the requests sent to them for the first time and again.
	limitedTargets metrics.Counter
	limitedFirst   metrics.Counter
	limitedRepeats metrics.Counter
}

// grantQueried counts a question for a request to a target that names a limit.
func (m *requestMetrics) grantQueried(outcome string) {
	metrics.GetOrRegisterCounter("forward.grant_queries."+outcome, m.registry).Inc(1)
}

// relayed counts a request that another router was asked to relay, by outcome.
func (m *requestMetrics) relayed(outcome string) {
	metrics.GetOrRegisterCounter("forward.relayed."+outcome, m.registry).Inc(1)
}

// relayServed counts a request of another router that this one was asked to relay.
func (m *requestMetrics) relayServed(outcome string) {
	metrics.GetOrRegisterCounter("forward.relay_served."+outcome, m.registry).Inc(1)
}

// slotQueried counts a question for a slot of a brittle target.
func (m *requestMetrics) slotQueried(outcome string) {
	metrics.GetOrRegisterCounter("forward.slot_queries."+outcome, m.registry).Inc(1)
}

// sampleSize and sampleAlpha weight the histograms towards the last few minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// newRequestMetrics registers the metrics of the package.
func newRequestMetrics(r metrics.Registry) requestMetrics {
	return requestMetrics{
		registry:  r,
		running:   metrics.GetOrRegisterCounter("forward.running", r),
		firstByte: metrics.GetOrRegisterHistogram("forward.first_byte", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		total:     metrics.GetOrRegisterHistogram("forward.total", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),

		digestBytes: metrics.GetOrRegisterHistogram("forward.digest_bytes", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),

		updatesDropped: metrics.GetOrRegisterCounter("forward.updates_dropped", r),

		quarantinedParts:  metrics.GetOrRegisterCounter("forward.quarantined_parts", r),
		quarantineRefused: metrics.GetOrRegisterCounter("forward.quarantine_refused", r),
		engineCrashes:     metrics.GetOrRegisterCounter("forward.engine_crashes", r),

		cutPaths:   metrics.GetOrRegisterCounter("forward.cut_paths", r),
		pathProbes: metrics.GetOrRegisterCounter("forward.path_probes", r),

		limitedTargets: metrics.GetOrRegisterCounter("forward.limited_targets", r),
		limitedFirst:   metrics.GetOrRegisterCounter("forward.limited_sends.first", r),
		limitedRepeats: metrics.GetOrRegisterCounter("forward.limited_sends.repeat", r),
	}
}

// requestEnded counts a request by its outcome and records its duration.
func (m *requestMetrics) requestEnded(outcome string, d time.Duration) {
	metrics.GetOrRegisterCounter("forward.ended."+outcome, m.registry).Inc(1)
	m.total.Update(d.Nanoseconds())
}

// firstByteSent records the time from the arrival of a request to the first byte of
// its response.
func (m *requestMetrics) firstByteSent(d time.Duration) { m.firstByte.Update(d.Nanoseconds()) }
