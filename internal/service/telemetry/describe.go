package telemetry

import "strings"

// family describes a metric family: the recorded metrics that are exposed under
// one name.
type family struct {
	// name is the name under which the metric is recorded.
	name string
	help string
	// label, if set, is the label that VALUE is exposed under for a metric
	// recorded as name.VALUE.
	label string
	// unit is the unit of a recorded histogram. Nanoseconds are exposed as
	// seconds; any other unit becomes a suffix of the exposed name.
	unit string
	// gauge marks a recorded counter that also decreases.
	gauge bool
}

// families lists the metrics that the services record.
var families = []family{
	{name: "caller.running", help: "Requests of callers in progress.", gauge: true},
	{name: "caller.resumed", help: "Resumptions of cut responses by the router that serves the caller."},
	{name: "caller.ended", help: "Completed requests of callers by result code.", label: "code"},
	{name: "caller.first_byte", help: "Time from the arrival of a request to the first byte of its response.", unit: nanoseconds},
	{name: "caller.total", help: "Time from the arrival of a request to its end.", unit: nanoseconds},
	{name: "memory.budget_bytes", help: "Memory that may be held for requests and responses.", gauge: true},
	{name: "memory.held_bytes", help: "Memory that is held for requests and responses, by kind.", label: "kind", gauge: true},
	{name: "memory.gave_way", help: "Requests and connections that gave way to bound memory or connections, by way.", label: "way"},
	{name: "forward.running", help: "Forwarded requests in progress.", gauge: true},
	{name: "forward.ended", help: "Completed forwarded requests by outcome.", label: "outcome"},
	{name: "forward.first_byte", help: "Time from the arrival of a streaming request to the first event of its response.", unit: nanoseconds},
	{name: "forward.total", help: "Time from the arrival of a forwarded request to its end.", unit: nanoseconds},
	{name: "forward.digest_bytes", help: "Size of the load digests sent to other routers.", unit: "bytes"},
	{name: "forward.updates_dropped", help: "Placements and reports that a load digest had no room for."},
	{name: "forward.quarantined_parts", help: "Requests and prompt parts in quarantine, since they crash targets.", gauge: true},
	{name: "forward.quarantine_refused", help: "Requests not sent on since a part of their prompt is in quarantine."},
	{name: "forward.engine_crashes", help: "Sends that a target broke off."},
	{name: "forward.cut_paths", help: "Services most of whose targets this router can't reach.", gauge: true},
	{name: "forward.path_probes", help: "Connections opened to see whether a target can be reached."},
	{name: "forward.relayed", help: "Requests to targets out of reach that other routers were asked to relay, by outcome.", label: "outcome"},
	{name: "forward.relay_served", help: "Requests of other routers that this one was asked to relay, by outcome.", label: "outcome"},
	{name: "forward.limited_targets", help: "Targets that name a limit for requests a second from all routers.", gauge: true},
	{name: "origins.batches", help: "Batches of origins of streams written to the log."},
	{name: "origins.lookups", help: "Streams that callers took up, by what is known of their origin.", label: "verdict"},
	{name: "forward.limited_sends", help: "Requests sent to targets that name a limit, by kind.", label: "kind"},
	{name: "forward.grant_queries", help: "Questions for a request to a target that names a limit, by outcome.", label: "outcome"},
	{name: "forward.slot_queries", help: "Questions for a slot of a target that is brittle, by outcome.", label: "outcome"},
	{name: "forward.work_expected", help: "Expected cost of complete responses, in time of a whole usual target.", unit: nanoseconds},
	{name: "forward.work_actual", help: "Cost of complete responses by their events or duration, in time of a whole usual target.", unit: nanoseconds},
	{name: "forward.work_pace", help: "Pace of all known targets in relation to the usual one of their service.", unit: "percent"},
	{name: "rollout.reports", help: "Reports on a roll-out to the router that drives it, by outcome.", label: "outcome"},
	{name: "rollout.served", help: "Reports on roll-outs that this router has answered as the one that drives them."},
	{name: "rollout.takeovers", help: "Roll-outs that this router has begun to drive."},
	{name: "rollout.stepped_down", help: "Roll-outs that another router drives in place of this one."},
	{name: "rollout.decisions", help: "Decisions on roll-outs that this router drives, by phase.", label: "phase"},
	{name: "rollout.conflicts", help: "Records and status of roll-outs not written since another router had written."},
	{name: "rollout.log_failures", help: "Failed steps with the records and status of roll-outs."},
	{name: "slots.waiting", help: "Requests for plain services that wait for a slot at this router.", gauge: true},
	{name: "slots.granted", help: "Slots of plain services that this router has granted and that are not returned.", gauge: true},
	{name: "slots.grants", help: "Slots of plain services that this router has granted."},
	{name: "slots.refusals", help: "Requests for plain services that this router refused as the one that grants their slots, by reason.", label: "reason"},
	{name: "slots.placed", help: "Requests for plain services at this router, by who chose their target or why this router did.", label: "outcome"},
	{name: "slots.failed", help: "Questions for a slot without an answer, by the code of the error.", label: "code"},
	{name: "slots.wait", help: "Time until the answer to a question for a slot.", unit: nanoseconds},
	{name: "site.reads", help: "Reads of the site's state from the platform's log, with the VM list when due."},
	{name: "site.log_restores", help: "Returns of the platform's log from a copy, with the loss of what was written since."},
	{name: "site.read_failures", help: "Failed reads of the site's state from the platform."},
	{name: "site.message_delay", help: "Delay of messages about the site's state from other routers, beyond the least of their sender.", unit: nanoseconds},
	{name: "platform.store_calls", help: "Calls to the platform's store."},
	{name: "platform.store_bytes", help: "Bytes read from the platform's store."},
	{name: "platform.worker_connections", help: "Connections opened to targets."},
	{name: "platform.answers_crossed", help: "Responses of targets that belong to another request."},
	{name: "platform.limits_unreadable", help: "Responses of targets with a request limit that can't be read."},
	{name: "peer.queue_full", help: "Control messages dropped since too many bytes wait for their router."},
	{name: "peer.queued_bytes", help: "Bytes that wait to be sent to other routers.", gauge: true},
	{name: "peer.frames_late", help: "Frames dropped because their stream had already ended."},
	{name: "peer.frames_crossed", help: "Frames dropped because they belong to another request or attempt."},
	{name: "peer.frames_repeated", help: "Frames dropped because they had already been received."},
	{name: "peer.answers_broken", help: "Responses abandoned because a part was missing or invalid."},
	{name: "peer.frames_malformed", help: "Malformed frames received; each one closed its connection."},
	{name: "peer.connections_silent", help: "Connections closed because the peer did not answer a probe in time."},
	{name: "peer.connections_refused", help: "Connections refused during the handshake."},
	{name: "peer.connections_replaced", help: "Connections replaced by another connection of the same pair of routers."},
	{name: "peer.handlers_failed", help: "Control messages whose handler panicked; each one was dropped."},
	{name: "peer.frames_unknown_kind", help: "Control messages of a kind that this version does not support."},
	{name: "route.spilled", help: "Requests that an owner redirected to a less loaded target."},
	{name: "route.recalled", help: "Requests redirected to the target that their chat was moved to earlier."},
	{name: "route.moved", help: "Refusals by target owners."},
	{name: "route.waited", help: "Requests sent to the queue of a target."},
	{name: "route.retried", help: "Requests retried although they may have run."},
	{name: "route.resumed", help: "Resumptions of cut responses at the same target."},
	{name: "route.refused", help: "Requests that failed without having run."},
	{name: "orders", help: "Counts and durations of order processing by event; durations are in microseconds.", label: "event"},
	{name: "config.records", help: "Publish records of the configuration by outcome.", label: "outcome"},
	{name: "config.versions", help: "Events of configuration versions by kind.", label: "event"},
	{name: "config.fetches", help: "Fetches of configuration versions from other routers."},
	{name: "config.in_force.offset", help: "Log offset of the configuration in force."},
	{name: "admin.requests", help: "Requests to the administration API by result code.", label: "code"},
	{name: "audit.dropped", help: "Audit entries dropped because the queue for the log was full."},
}

// nanoseconds is the unit of recorded durations.
const nanoseconds = "nanoseconds"

// describe returns the family of a recorded metric and its label value, which is
// empty for a metric without a label. A metric that is not listed forms a family
// of its own.
func describe(metric string) (family, string) {
	for _, f := range families {
		if metric == f.name {
			return f, ""
		}
		if value, ok := strings.CutPrefix(metric, f.name+"."); ok && f.label != "" {
			return f, value
		}
	}
	return family{name: metric, help: "No description yet."}, ""
}
