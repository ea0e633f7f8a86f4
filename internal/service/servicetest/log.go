package servicetest

import (
	"context"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
	"github.com/zinniafork/zinniafork/internal/platform/vmlist"
	"github.com/zinniafork/zinniafork/internal/service/platform"
)

// Log is a log service in memory, with retention.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	changed chan struct{}
}

type stream struct {
	records  []logstream.Record
	earliest uint64
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{streams: make(map[string]*stream), changed: make(chan struct{})}
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = new(stream)
		l.streams[name] = s
	}
	return s
}

// Append adds records to a stream and returns the offset of the first.
func (l *Log) Append(name string, records ...[]byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first := uint64(len(s.records))
	for _, data := range records {
		s.records = append(s.records, logstream.Record{Offset: uint64(len(s.records)), Time: time.Now(), Data: data})
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return first
}

// Expire drops the records that are older than retention.
func (l *Log) Expire(name string, retention time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for s.earliest < uint64(len(s.records)) && time.Since(s.records[s.earliest].Time) > retention {
		s.earliest++
	}
}

// Page returns what a read from offset on would give now.
func (l *Log) Page(name string, from uint64, limit int) logstream.Page {
	page, _ := l.page(name, from, limit)
	return page
}

func (l *Log) page(name string, from uint64, limit int) (logstream.Page, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	next := uint64(len(s.records))
	from = min(max(from, s.earliest), next)
	page := logstream.Page{Earliest: s.earliest, Next: next}
	page.Records = append(page.Records, s.records[from:min(next, from+uint64(limit))]...)
	return page, l.changed
}

// LogFaults are the faults of one router's way to the log.
type LogFaults struct {
	// Down refuses every call; Silent lets reads hang.
	Down, Silent bool
	// SlowReads delays the answer of every read.
	SlowReads time.Duration
	// LoseAnswers drops the answers of that many appends after their effect.
	LoseAnswers int
}

// LogClient is one router's way to a log. It stands for the platform service.
type LogClient struct {
	log *Log

	mu     sync.Mutex
	faults LogFaults
}

// NewLogClient returns a client of log.
func NewLogClient(log *Log, faults LogFaults) *LogClient {
	return &LogClient{log: log, faults: faults}
}

// Name returns the name of the service that this one stands for.
func (*LogClient) Name() string { return platform.Name }

// Log returns the client itself.
func (c *LogClient) Log() logstream.Log { return c }

// VMList returns nil.
func (*LogClient) VMList() vmlist.Source { return nil }

// Set replaces the faults.
func (c *LogClient) Set(faults LogFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

// Append adds records, unless a fault keeps it from that.
func (c *LogClient) Append(_ context.Context, name string, records ...[]byte) (uint64, error) {
	c.mu.Lock()
	down, lose := c.faults.Down, c.faults.LoseAnswers > 0
	if lose {
		c.faults.LoseAnswers--
	}
	c.mu.Unlock()
	if down {
		return 0, logstream.ErrUnavailable
	}
	offset := c.log.Append(name, records...)
	if lose {
		return 0, logstream.ErrUnavailable
	}
	return offset, nil
}

// Read returns records, waiting for the first of them.
func (c *LogClient) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (logstream.Page, error) {
	over := time.After(wait)
	for {
		if err := c.fail(ctx); err != nil {
			return logstream.Page{}, err
		}
		page, changed := c.log.page(name, from, limit)
		if len(page.Records) > 0 {
			return page, c.delay(ctx)
		}
		select {
		case <-changed:
		case <-over:
			return page, c.delay(ctx)
		case <-ctx.Done():
			return logstream.Page{}, ctx.Err()
		}
	}
}

// delay waits as long as an answer takes.
func (c *LogClient) delay(ctx context.Context) error {
	c.mu.Lock()
	slow := c.faults.SlowReads
	c.mu.Unlock()
	return kernel.SystemClock{}.Sleep(ctx, slow)
}

// fail returns the error of a read under the present faults. A silent read
// ends with ctx.
func (c *LogClient) fail(ctx context.Context) error {
	c.mu.Lock()
	faults := c.faults
	c.mu.Unlock()
	switch {
	case faults.Down:
		return logstream.ErrUnavailable
	case faults.Silent:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// Interface guards.
var (
	_ platform.Platform = (*LogClient)(nil)
	_ logstream.Log     = (*LogClient)(nil)
)
