package orders

import (
	"slices"
	"time"
)

// queuedRecord is a record that is not known to be in the log.
type queuedRecord struct {
	record   Record
	queuedAt time.Time
	// urgent records are not delayed to share an append with others.
	urgent bool
	// readCovers is true for an unanswered record when a read that began after
	// its append failed will show whether it arrived. On a queued record it
	// means that the record was sent before.
	readCovers bool
}

// inFlightAppend is an append without a response so far. records holds all its
// records, items those that no read has shown in the log yet.
type inFlightAppend struct {
	records []Record
	items   []queuedRecord
}

// outbox holds the records that are not known to be in the log.
type outbox struct {
	queue []queuedRecord
	// inFlight holds the appends in flight by batch number.
	inFlight map[uint64]inFlightAppend
	// unanswered holds the records of appends that got no response.
	unanswered []queuedRecord
	batch      uint64
}

func (o *outbox) size() int {
	n := len(o.queue) + len(o.unanswered)
	for _, f := range o.inFlight {
		n += len(f.items)
	}
	return n
}

func (o *outbox) empty() bool { return o.size() == 0 }

// records returns all records: those in flight first, then the unanswered and
// the queued ones.
func (o *outbox) records() []Record {
	var out []Record
	for _, batch := range sortedKeys(o.inFlight) {
		out = appendRecords(out, o.inFlight[batch].items)
	}
	out = appendRecords(out, o.unanswered)
	return appendRecords(out, o.queue)
}

func appendRecords(out []Record, items []queuedRecord) []Record {
	for i := range items {
		out = append(out, items[i].record)
	}
	return out
}

// push queues a record.
func (o *outbox) push(now time.Time, r Record, urgent bool) {
	o.queue = append(o.queue, queuedRecord{record: r, queuedAt: now, urgent: urgent})
}

// withdraw removes a record from the queue. It returns true when the record
// was queued and had never been sent.
func (o *outbox) withdraw(n Nonce, k Kind) bool {
	for i := range o.queue {
		if matches(&o.queue[i].record, n, k) {
			resent := o.queue[i].readCovers
			o.queue = slices.Delete(o.queue, i, i+1)
			return !resent
		}
	}
	return false
}

// markLogged removes a record that was read from the log from the in-flight
// appends and the unanswered records.
func (o *outbox) markLogged(n Nonce, k Kind) {
	match := func(it queuedRecord) bool { return matches(&it.record, n, k) }
	o.unanswered = slices.DeleteFunc(o.unanswered, match)
	for batch, f := range o.inFlight {
		f.items = slices.DeleteFunc(f.items, match)
		o.inFlight[batch] = f
	}
}

func matches(r *Record, n Nonce, k Kind) bool { return r.Nonce == n && r.Kind == k }

// flushDue reports whether the queue should be sent now.
func (o *outbox) flushDue(now time.Time) bool {
	if len(o.queue) >= maxAppendRecords {
		return true
	}
	for i := range o.queue {
		if o.queue[i].urgent || now.Sub(o.queue[i].queuedAt) >= maxFlushDelay {
			return true
		}
	}
	return false
}

// takeBatch moves the records at the head of the queue into an append.
func (o *outbox) takeBatch() Append {
	n := min(len(o.queue), maxAppendRecords)
	items := slices.Clone(o.queue[:n])
	o.queue = slices.Delete(o.queue, 0, n)
	o.batch++
	records := appendRecords(nil, items)
	o.inFlight[o.batch] = inFlightAppend{records: records, items: items}
	return Append{Batch: o.batch, Records: records}
}

// requeue puts unanswered records back at the head of the queue: all of them,
// or only those that a read has shown not to be in the log.
func (o *outbox) requeue(all bool) {
	var resend, kept []queuedRecord
	for _, it := range o.unanswered {
		if all || it.readCovers {
			it.readCovers, it.urgent = true, true
			resend = append(resend, it)
		} else {
			kept = append(kept, it)
		}
	}
	o.unanswered = kept
	o.queue = append(resend, o.queue...)
}

// markReadCovers marks the unanswered records before a read, which will show
// those that arrived.
func (o *outbox) markReadCovers() {
	for i := range o.unanswered {
		o.unanswered[i].readCovers = true
	}
}

func (o *outbox) clone() outbox {
	c := outbox{
		queue:      slices.Clone(o.queue),
		inFlight:   make(map[uint64]inFlightAppend, len(o.inFlight)),
		unanswered: slices.Clone(o.unanswered),
		batch:      o.batch,
	}
	for batch, f := range o.inFlight {
		c.inFlight[batch] = inFlightAppend{records: f.records, items: slices.Clone(f.items)}
	}
	return c
}
