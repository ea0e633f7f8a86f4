package host

import (
	"os"
	"sync"
	"time"
)

// laneLimit is the number of bytes under way at which writers wait.
const laneLimit = 256 << 10

// segment is a piece of the byte stream and the time at which it arrives.
type segment struct {
	due  time.Time
	data []byte
}

// lane carries the bytes of one direction of a connection and hands each out
// no earlier than its due time.
type lane struct {
	mu     sync.Mutex
	queue  []segment
	size   int
	err    error
	errDue time.Time
	// pushLimit and popLimit are when waiting calls give up; zero means never.
	pushLimit time.Time
	popLimit  time.Time
	changed   chan struct{}
}

func newLane() *lane { return &lane{changed: make(chan struct{})} }

func (l *lane) signal() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// setPushLimit sets the time at which push gives up; zero means never.
func (l *lane) setPushLimit(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pushLimit = t
	l.signal()
}

// setPopLimit sets the time at which pop gives up; zero means never.
func (l *lane) setPopLimit(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.popLimit = t
	l.signal()
}

// fail ends the lane: data already in it can still be read, then err.
func (l *lane) fail(err error, due time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		l.err, l.errDue = err, due
		l.signal()
	}
}

// abort ends the lane at once and drops what is in it.
func (l *lane) abort(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue, l.size = nil, 0
	l.err, l.errDue = err, time.Time{}
	l.signal()
}

// push adds data, waiting while the lane is full.
func (l *lane) push(data []byte, due time.Time) error {
	for {
		l.mu.Lock()
		if l.err != nil {
			defer l.mu.Unlock()
			return l.err
		}
		if l.size < laneLimit {
			l.queue = append(l.queue, segment{due: due, data: data})
			l.size += len(data)
			l.signal()
			l.mu.Unlock()
			return nil
		}
		changed, limit := l.changed, l.pushLimit
		l.mu.Unlock()
		if !await(changed, limit) {
			return os.ErrDeadlineExceeded
		}
	}
}

// pop copies due bytes into p, waiting for the first of them.
func (l *lane) pop(p []byte) (int, error) {
	for {
		l.mu.Lock()
		now := time.Now()
		n, wake, err := l.take(p, now)
		if n > 0 || err != nil {
			l.mu.Unlock()
			return n, err
		}
		changed, limit := l.changed, l.popLimit
		l.mu.Unlock()
		if !limit.IsZero() && !now.Before(limit) {
			return 0, os.ErrDeadlineExceeded
		}
		await(changed, earliest(wake, limit))
	}
}

// take returns what can be read now, or the time at which more will be due.
func (l *lane) take(p []byte, now time.Time) (n int, wake time.Time, err error) {
	for n < len(p) && len(l.queue) > 0 && !l.queue[0].due.After(now) {
		head := &l.queue[0]
		m := copy(p[n:], head.data)
		n += m
		head.data = head.data[m:]
		if len(head.data) == 0 {
			l.queue = l.queue[1:]
		}
	}
	if n > 0 {
		l.size -= n
		l.signal()
		return n, time.Time{}, nil
	}
	switch {
	case len(l.queue) > 0:
		return 0, l.queue[0].due, nil
	case l.err == nil:
		return 0, time.Time{}, nil
	case l.errDue.After(now):
		return 0, l.errDue, nil
	default:
		return 0, time.Time{}, l.err
	}
}

// await waits for changed or for the time until; zero means no limit. It
// reports whether changed came first.
func await(changed <-chan struct{}, until time.Time) bool {
	if until.IsZero() {
		<-changed
		return true
	}
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
		return false
	}
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
