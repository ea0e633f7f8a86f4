package orders

import (
	"slices"
	"time"
)

// item is a record that is not known to be in the log.
type item struct {
	record Record
	since  time.Time
	// urgent items do not wait for others to share an append with.
	urgent bool
	// checked marks a lost item that the read under way would show.
	checked bool
}

// flight is an append that waits for its answer.
type flight struct {
	records []Record
	items   []item
}

// outbox holds the records on their way to the log.
type outbox struct {
	queue []item
	// flight holds the appends under way by batch number.
	flight map[uint64]flight
	// lost holds the items of appends that got no answer.
	lost  []item
	batch uint64
}

func (o *outbox) size() int {
	n := len(o.queue) + len(o.lost)
	for _, f := range o.flight {
		n += len(f.items)
	}
	return n
}

func (o *outbox) empty() bool { return o.size() == 0 }

// records returns all records, those sent first in front.
func (o *outbox) records() []Record {
	var out []Record
	for _, batch := range sortedKeys(o.flight) {
		out = appendRecords(out, o.flight[batch].items)
	}
	out = appendRecords(out, o.lost)
	return appendRecords(out, o.queue)
}

func appendRecords(out []Record, items []item) []Record {
	for i := range items {
		out = append(out, items[i].record)
	}
	return out
}

// push queues a record.
func (o *outbox) push(now time.Time, r Record, urgent bool) {
	o.queue = append(o.queue, item{record: r, since: now, urgent: urgent})
}

// unsent takes a queued record back and reports whether it was still queued
// and had never been sent.
func (o *outbox) unsent(n Nonce, k Kind) bool {
	for i := range o.queue {
		if same(&o.queue[i].record, n, k) {
			resent := o.queue[i].checked
			o.queue = slices.Delete(o.queue, i, i+1)
			return !resent
		}
	}
	return false
}

// seen takes a record out of the flights and of the lost items, because it was
// read from the log.
func (o *outbox) seen(n Nonce, k Kind) {
	match := func(it item) bool { return same(&it.record, n, k) }
	o.lost = slices.DeleteFunc(o.lost, match)
	for batch, f := range o.flight {
		f.items = slices.DeleteFunc(f.items, match)
		o.flight[batch] = f
	}
}

func same(r *Record, n Nonce, k Kind) bool { return r.Nonce == n && r.Kind == k }

// due reports whether the queue should be flushed.
func (o *outbox) due(now time.Time) bool {
	if len(o.queue) >= maxBatch {
		return true
	}
	for i := range o.queue {
		if o.queue[i].urgent || now.Sub(o.queue[i].since) >= lazyFlush {
			return true
		}
	}
	return false
}

// take moves the head of the queue into a flight.
func (o *outbox) take() Append {
	n := min(len(o.queue), maxBatch)
	items := slices.Clone(o.queue[:n])
	o.queue = slices.Delete(o.queue, 0, n)
	o.batch++
	records := appendRecords(nil, items)
	o.flight[o.batch] = flight{records: records, items: items}
	return Append{Batch: o.batch, Records: records}
}

// requeue puts lost items that the log does not show back into the queue.
func (o *outbox) requeue(all bool) {
	var back, keep []item
	for _, it := range o.lost {
		if all || it.checked {
			it.checked, it.urgent = true, true
			back = append(back, it)
		} else {
			keep = append(keep, it)
		}
	}
	o.lost = keep
	o.queue = append(back, o.queue...)
}

// check marks the lost items before a read, which shows those that arrived.
func (o *outbox) check() {
	for i := range o.lost {
		o.lost[i].checked = true
	}
}

func (o *outbox) clone() outbox {
	c := outbox{
		queue:  slices.Clone(o.queue),
		flight: make(map[uint64]flight, len(o.flight)),
		lost:   slices.Clone(o.lost),
		batch:  o.batch,
	}
	for batch, f := range o.flight {
		c.flight[batch] = flight{records: f.records, items: slices.Clone(f.items)}
	}
	return c
}
