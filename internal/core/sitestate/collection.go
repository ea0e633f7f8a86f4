// Package sitestate holds what a router knows of its site: the configuration,
// the targets, the drained data centres and the VMs. The platform's log orders
// all changes by offset; routers pass them on to each other, so that they may
// arrive twice and in any order.
package sitestate

import "slices"

// Value is what a record carries.
type Value[T any] interface {
	// Same reports whether a newer value tells nothing new.
	Same(newer T) bool
}

// Record is the newest known state of one key. The offset is its place in the
// platform's log; a higher one wins.
type Record[T Value[T]] struct {
	Key    string
	Offset int64
	// Gone records tell that the key was dropped.
	Gone  bool
	Value T
}

// Collection is the newest record of each key of one topic.
type Collection[T Value[T]] struct {
	records map[string]*held[T]
	// end is the offset up to which all records are known.
	end int64
}

type held[T Value[T]] struct {
	Record[T]
	// changed is the offset of the last record that told something new.
	changed int64
}

// NewCollection returns an empty collection.
func NewCollection[T Value[T]]() *Collection[T] {
	return &Collection[T]{records: make(map[string]*held[T])}
}

// End returns the offset up to which all records are known.
func (c *Collection[T]) End() int64 { return c.end }

// HasGap reports whether records are known beyond the end: others before them may
// be missing.
func (c *Collection[T]) HasGap() bool {
	for _, h := range c.records {
		if h.Offset >= c.end {
			return true
		}
	}
	return false
}

// Apply takes the records between two offsets and returns those that tell
// something new. It may be called again with the same records. After a gap the
// records count, but the end stays where it was.
func (c *Collection[T]) Apply(records []Record[T], from, end int64) []Record[T] {
	news := c.putAll(records, from > c.end)
	if from <= c.end {
		c.end = max(c.end, end)
	}
	return news
}

// putAll takes records. Skipped tells that others between them and the end may
// be missing.
func (c *Collection[T]) putAll(records []Record[T], skipped bool) []Record[T] {
	var news []Record[T]
	for _, r := range records {
		if known, isNews := c.put(r, skipped); isNews {
			news = append(news, known)
		}
	}
	return news
}

// Replace takes the whole collection as of end: keys that are missing were
// dropped. An older listing than what is known changes nothing.
func (c *Collection[T]) Replace(records []Record[T], end int64) []Record[T] {
	if end < c.end {
		return nil
	}
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	for key, h := range c.records {
		if !listed[key] && !h.Gone && h.Offset < end {
			records = append(records, Record[T]{Key: key, Offset: end - 1, Gone: true, Value: h.Value})
		}
	}
	news := c.putAll(records, true)
	c.end = end
	return news
}

// put takes a record and returns it with the last value of a key that is gone.
// After records that were skipped one counts as changed even if it tells
// nothing new here: a router that saw the skipped ones needs it.
func (c *Collection[T]) put(r Record[T], skipped bool) (known Record[T], news bool) {
	h, ok := c.records[r.Key]
	if !ok {
		c.records[r.Key] = &held[T]{Record: r, changed: r.Offset}
		return r, true
	}
	if r.Offset <= h.Offset {
		return r, false
	}
	news = r.Gone != h.Gone || !r.Gone && !h.Value.Same(r.Value)
	if r.Gone {
		r.Value = h.Value
	}
	h.Record = r
	if news || skipped {
		h.changed = r.Offset
	}
	return r, news
}

// Since returns the records that tell something new from an offset on.
func (c *Collection[T]) Since(from int64) []Record[T] {
	var out []Record[T]
	for _, h := range c.records {
		if h.changed >= from {
			out = append(out, h.Record)
		}
	}
	slices.SortFunc(out, func(a, b Record[T]) int { return int(a.Offset - b.Offset) })
	return out
}

// Get returns the record of a key.
func (c *Collection[T]) Get(key string) (Record[T], bool) {
	h, ok := c.records[key]
	if !ok {
		return Record[T]{}, false
	}
	return h.Record, true
}

// Each calls visit for every record that is not gone.
func (c *Collection[T]) Each(visit func(Record[T])) {
	for _, h := range c.records {
		if !h.Gone {
			visit(h.Record)
		}
	}
}
