package peer

import "github.com/rcrowley/go-metrics"

// meters count what goes wrong on connections.
type meters struct {
	late        metrics.Counter
	crossed     metrics.Counter
	repeated    metrics.Counter
	broken      metrics.Counter
	malformed   metrics.Counter
	silent      metrics.Counter
	refused     metrics.Counter
	replaced    metrics.Counter
	unknownKind metrics.Counter
	// failedHandlers counts control messages whose handler panicked.
	failedHandlers metrics.Counter
	// queueFull counts control messages that were dropped since too much waits.
	queueFull metrics.Counter
	// queuedBytes is the number of bytes in the queues of all connections.
	queuedBytes metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("peer."+name, r) }
	return meters{
		late:           counter("frames_late"),
		crossed:        counter("frames_crossed"),
		repeated:       counter("frames_repeated"),
		broken:         counter("answers_broken"),
		malformed:      counter("frames_malformed"),
		silent:         counter("connections_silent"),
		refused:        counter("connections_refused"),
		replaced:       counter("connections_replaced"),
		unknownKind:    counter("frames_unknown_kind"),
		failedHandlers: counter("handlers_failed"),
		queueFull:      counter("queue_full"),
		queuedBytes:    counter("queued_bytes"),
	}
}
