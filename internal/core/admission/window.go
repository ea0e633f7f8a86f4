package admission

import "time"

// window remembers the least and the largest number of running requests over
// the last seconds, by time.
type window struct {
	buckets [windowBuckets]windowBucket
	last    int
}

type windowBucket struct {
	index       int64
	least, most int
}

const (
	windowBuckets = 64
	windowTime    = 100 * time.Millisecond
)

func windowIndex(t time.Time) int64 { return t.UnixNano() / int64(windowTime) }

// set notes a new number.
func (w *window) set(now time.Time, count int) {
	i := windowIndex(now)
	b := &w.buckets[i%windowBuckets]
	if b.index != i {
		*b = windowBucket{index: i, least: w.last, most: w.last}
	}
	b.least = min(b.least, count)
	b.most = max(b.most, count)
	w.last = count
}

// over returns the least and the largest number since from, given the present
// one. A time before the window counts as its beginning.
func (w *window) over(from time.Time, count int) (least, most int) {
	least, most = count, count
	first := windowIndex(from)
	for _, b := range w.buckets {
		if b.index >= first {
			least = min(least, b.least)
			most = max(most, b.most)
		}
	}
	return least, most
}
