// Package sitestate holds what a router knows about its site: the
// configuration, the targets, the drained data centres and the VMs.
//
// The log of the platform orders all changes by offset. Routers also forward
// changes to each other, so a change may arrive more than once and out of
// order. When entries expire during an outage of the log, the targets stay
// available for a grace period, in which they can write their entries again.
package sitestate

import "slices"

// Value is the content of a record.
type Value[T any] interface {
	// Same reports whether a newer value is no change.
	Same(newer T) bool
}

// Record is the newest known state of one key. Offset is its position in the
// log; the record with the highest offset is in force.
type Record[T Value[T]] struct {
	Key    string
	Offset int64
	// Gone is true if the key was deleted.
	Gone  bool
	Value T
}

// Collection holds the newest record of each key of one topic. It is not safe
// for concurrent use.
type Collection[T Value[T]] struct {
	records map[string]*entry[T]
	// end is the offset below which all records are known.
	end int64
	// listedAt is the end of the last listing after records that are not known. What was
	// removed before is not known either.
	listedAt int64
}

// entry is a record with the offset of the last change of its key.
type entry[T Value[T]] struct {
	Record[T]
	changed int64
}

// NewCollection returns an empty collection.
func NewCollection[T Value[T]]() *Collection[T] {
	return &Collection[T]{records: make(map[string]*entry[T])}
}

// End returns the offset below which all records are known.
func (c *Collection[T]) End() int64 { return c.end }

// HasGap reports whether a record at or beyond the end is known, so that
// records before it may be missing.
func (c *Collection[T]) HasGap() bool {
	for _, e := range c.records {
		if e.Offset >= c.end {
			return true
		}
	}
	return false
}

// beforeLog is the offset of records that a restored log has not shown yet. It
// lies before all offsets of a log.
const beforeLog = -2

// Restart keeps all records but forgets their offsets, because the log was
// restored from a copy and gives out its offsets again.
func (c *Collection[T]) Restart() {
	c.end, c.listedAt = 0, 0
	for _, e := range c.records {
		e.Offset, e.changed = beforeLog, beforeLog
	}
}

// Shown reports whether the log has shown the record of a key since Restart. A listing
// without the key shows that it lacks the record.
func (c *Collection[T]) Shown(key string) bool {
	e, ok := c.records[key]
	return ok && !e.Gone && e.Offset > beforeLog
}

// Apply takes the records between two offsets and returns those that are
// changes. It may be called again with the same records. If from is beyond the
// end, the records are applied, but the end stays where it was.
func (c *Collection[T]) Apply(records []Record[T], from, end int64) []Record[T] {
	changes := c.putAll(records, from > c.end)
	if from <= c.end {
		c.end = max(c.end, end)
	}
	return changes
}

// putAll applies records and returns those that are changes. afterGap is true
// if records between them and the end may be missing.
func (c *Collection[T]) putAll(records []Record[T], afterGap bool) []Record[T] {
	var changes []Record[T]
	for _, r := range records {
		if known, isChange := c.put(r, afterGap); isChange {
			changes = append(changes, known)
		}
	}
	return changes
}

// Replace takes all records of the topic as of end; keys that are missing were
// deleted. A listing that ends before the known end is ignored.
func (c *Collection[T]) Replace(records []Record[T], end int64) []Record[T] {
	if end < c.end {
		return nil
	}
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	for key, e := range c.records {
		if !listed[key] && !e.Gone && e.Offset < end {
			records = append(records, Record[T]{Key: key, Offset: end - 1, Gone: true, Value: e.Value})
		}
	}
	changes := c.putAll(records, true)
	if end > c.end {
		c.listedAt = end
	}
	c.end = end
	return changes
}

// put applies a record. It returns the record, with the last known value if the
// key was deleted, and whether it is a change. After a gap, a record always
// sets the offset of the last change: a router that saw the skipped records
// needs it even if it changes nothing here.
func (c *Collection[T]) put(r Record[T], afterGap bool) (known Record[T], isChange bool) {
	e, ok := c.records[r.Key]
	if !ok {
		c.records[r.Key] = &entry[T]{Record: r, changed: r.Offset}
		return r, true
	}
	if r.Offset <= e.Offset {
		return r, false
	}
	isChange = r.Gone != e.Gone || !r.Gone && !e.Value.Same(r.Value)
	if r.Gone {
		r.Value = e.Value
	}
	e.Record = r
	if isChange || afterGap {
		e.changed = r.Offset
	}
	return r, isChange
}

// KnowsSince reports whether all changes at or after an offset are known. If not, only all
// records together bring another router up to date.
func (c *Collection[T]) KnowsSince(from int64) bool { return from >= c.listedAt }

// Since returns the newest records of the keys that changed at or after an
// offset, by offset.
func (c *Collection[T]) Since(from int64) []Record[T] {
	var out []Record[T]
	for _, e := range c.records {
		if e.changed >= from {
			out = append(out, e.Record)
		}
	}
	slices.SortFunc(out, func(a, b Record[T]) int { return int(a.Offset - b.Offset) })
	return out
}

// Get returns the record of a key, also if the key was deleted.
func (c *Collection[T]) Get(key string) (Record[T], bool) {
	e, ok := c.records[key]
	if !ok {
		return Record[T]{}, false
	}
	return e.Record, true
}

// Each calls visit for the record of every key that was not deleted.
func (c *Collection[T]) Each(visit func(Record[T])) {
	for _, e := range c.records {
		if !e.Gone {
			visit(e.Record)
		}
	}
}
