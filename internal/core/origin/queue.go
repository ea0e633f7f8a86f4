package origin

import "slices"

// maxQueued is the number of origins that wait to be written to the log. The oldest make
// room.
const maxQueued = 64 << 10

// Queue holds the origins that a router has taken from others and is to write to the log.
// Origins are numbered in the order in which they come. It is not safe for concurrent use.
type Queue struct {
	waiting []Record
	// added is the number of all origins so far, gone that of those which are written or
	// had to make room.
	added, gone int64
}

// Add appends origins and returns the number of the last one.
func (q *Queue) Add(records []Record) (last int64) {
	q.waiting = append(q.waiting, records...)
	q.added += int64(len(records))
	if excess := len(q.waiting) - maxQueued; excess > 0 {
		q.waiting = slices.Delete(q.waiting, 0, excess)
		q.gone += int64(excess)
	}
	return q.added
}

// First returns up to n origins, the oldest first. They wait until Written.
func (q *Queue) First(n int) []Record { return slices.Clone(q.waiting[:min(n, len(q.waiting))]) }

// Written removes the first n origins. None may have been added since First if there are
// more than maxQueued.
func (q *Queue) Written(n int) {
	n = min(n, len(q.waiting))
	q.waiting = slices.Delete(q.waiting, 0, n)
	q.gone += int64(n)
}

// IsWritten reports whether all origins up to a number are written.
func (q *Queue) IsWritten(number int64) bool { return q.gone >= number }
