package admission

import "time"

// countHistory remembers the smallest and the largest number of running
// requests in each interval of the last historyBuckets x historyBucketDuration.
type countHistory struct {
	buckets [historyBuckets]historyBucket
	last    int
}

type historyBucket struct {
	index           int64
	lowest, highest int
}

const (
	historyBuckets        = 64
	historyBucketDuration = 100 * time.Millisecond
)

func historyIndex(t time.Time) int64 { return t.UnixNano() / int64(historyBucketDuration) }

// set records a new number of running requests.
func (h *countHistory) set(now time.Time, count int) {
	i := historyIndex(now)
	b := &h.buckets[i%historyBuckets]
	if b.index != i {
		*b = historyBucket{index: i, lowest: h.last, highest: h.last}
	}
	b.lowest = min(b.lowest, count)
	b.highest = max(b.highest, count)
	h.last = count
}

// rangeSince returns the smallest and the largest number since a time, given
// the present number. A time before the history counts as its start.
func (h *countHistory) rangeSince(from time.Time, count int) (lowest, highest int) {
	lowest, highest = count, count
	first := historyIndex(from)
	for _, b := range h.buckets {
		if b.index >= first {
			lowest = min(lowest, b.lowest)
			highest = max(highest, b.highest)
		}
	}
	return lowest, highest
}
