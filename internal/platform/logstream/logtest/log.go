// Package logtest is an in-memory log service with scriptable faults, for
// tests of the services above it.
package logtest

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
)

// Log keeps streams in memory. Each Client reaches it over a link of its own.
type Log struct {
	mu      sync.Mutex
	delay   time.Duration
	streams map[string]*stream
	appends int
	bytes   int
}

type stream struct {
	records  []logstream.Record
	earliest uint64
	next     uint64
	changed  chan struct{}
}

// New returns an empty log that answers after delay.
func New(delay time.Duration) *Log {
	return &Log{delay: delay, streams: make(map[string]*stream)}
}

// Appends returns the number of appends and of bytes that took effect.
func (l *Log) Appends() (appends, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

// Records returns what a stream holds.
func (l *Log) Records(name string) []logstream.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.stream(name).records)
}

// Drop makes a stream forget all but the newest keep records.
func (l *Log) Drop(name string, keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if n := len(s.records) - keep; n > 0 {
		s.records = slices.Clone(s.records[n:])
		s.earliest += uint64(n)
	}
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) write(name string, records [][]byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first := s.next
	for _, data := range records {
		s.records = append(s.records, logstream.Record{Offset: s.next, Time: time.Now(), Data: data})
		s.next++
		l.bytes += len(data)
	}
	l.appends++
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

func (l *Log) page(name string, from uint64, limit int) (logstream.Page, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	p := logstream.Page{Earliest: s.earliest, Next: s.next}
	from = min(max(from, s.earliest), s.next)
	begin := int(from - s.earliest)
	end := min(begin+limit, len(s.records))
	p.Records = slices.Clone(s.records[begin:end])
	return p, s.changed
}

// Fault is what happens to one append.
type Fault uint8

// Faults of an append. All of them end with ErrUnavailable.
const (
	// Lose takes effect and loses the answer.
	Lose Fault = iota + 1
	// Vanish has no effect.
	Vanish
	// Late takes effect after LateDelay.
	Late
)

// LateDelay is the time after which a late append takes effect.
const LateDelay = 3 * time.Second

// Client is one router's link to the log.
type Client struct {
	log *Log

	mu     sync.Mutex
	down   bool
	slow   time.Duration
	faults []Fault
}

// Client returns a new link.
func (l *Log) Client() *Client { return &Client{log: l} }

// SetDown cuts or restores the link.
func (c *Client) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// SetSlow adds a delay to every call.
func (c *Client) SetSlow(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slow = d
}

// Fail makes the next appends meet the faults, one each.
func (c *Client) Fail(faults ...Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, faults...)
}

func (c *Client) next() (down bool, f Fault, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delay = c.log.delay + c.slow
	if c.down || len(c.faults) == 0 {
		return c.down, 0, delay
	}
	f = c.faults[0]
	c.faults = c.faults[1:]
	return false, f, delay
}

// Append adds records to a stream.
func (c *Client) Append(ctx context.Context, name string, records ...[]byte) (uint64, error) {
	down, fault, delay := c.next()
	clock := kernel.SystemClock{}
	if err := clock.Sleep(ctx, delay); err != nil || down {
		return 0, logstream.ErrUnavailable
	}
	switch fault {
	case Lose:
		c.log.write(name, records)
		return 0, logstream.ErrUnavailable
	case Vanish:
		return 0, logstream.ErrUnavailable
	case Late:
		time.AfterFunc(LateDelay, func() { c.log.write(name, records) })
		return 0, logstream.ErrUnavailable
	}
	return c.log.write(name, records), nil
}

// Read returns records of a stream.
func (c *Client) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (logstream.Page, error) {
	clock := kernel.SystemClock{}
	c.mu.Lock()
	down, delay := c.down, c.log.delay+c.slow
	c.mu.Unlock()
	if err := clock.Sleep(ctx, delay); err != nil || down {
		return logstream.Page{}, logstream.ErrUnavailable
	}
	page, changed := c.log.page(name, from, limit)
	if len(page.Records) > 0 || wait <= 0 {
		return page, nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return logstream.Page{}, logstream.ErrUnavailable
		}
		if page, changed = c.log.page(name, from, limit); len(page.Records) > 0 {
			return page, nil
		}
	}
}

// Interface guard.
var _ logstream.Log = (*Client)(nil)
