package journal

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/orders"
)

// Settings are the process settings of the journal.
type Settings struct {
	// MaxResponseBytes limits the body of an answer that is recorded in the log.
	MaxResponseBytes int `toml:"answer_bytes"`
	// MaxQueue limits the records of one partition that wait to be appended,
	// and so what a router keeps in memory while the log is away.
	MaxQueue int `toml:"max_queue"`
}

// DefaultSettings returns the settings of a process that sets none.
func DefaultSettings() Settings {
	return Settings{MaxResponseBytes: 16 << 10, MaxQueue: 50_000}
}

const (
	// keyAhead is how far a key may be dated ahead of a router's clock.
	keyAhead = time.Minute
	// clockSkew bounds how far the clocks of routers and the log differ.
	clockSkew = 30 * time.Second
	// readLimit is the number of records in one page of a read.
	readLimit = 1000
	// fetchTimeout limits the reading of one recorded answer.
	fetchTimeout = 2 * time.Second
	// confirmTimeout limits a confirmation of ownership.
	confirmTimeout = time.Second
	// forwardRetry is the pause before another router is asked.
	forwardRetry = 50 * time.Millisecond
	// answerMargin is the time before a request's deadline at which the machine
	// decides, so that its answer still reaches the caller.
	answerMargin = 200 * time.Millisecond
	// tickPeriod is the time between looks at what the machines wait for.
	tickPeriod = 10 * time.Millisecond
	// drainPoll is the period of looking whether all is recorded.
	drainPoll = 20 * time.Millisecond
	// ownerShare is the part of the append budget that owners of partitions
	// have; the rest is for the tickets of the other routers.
	ownerShare = 0.9
	// minAppends is the least number of appends per second of one partition at
	// one router.
	minAppends = 0.2
	// maxTickets limits the tickets that one request gets.
	maxTickets = 1000
	// maxList limits the orders in one list.
	maxList = 1000
)

// statusLink returns the path at which callers learn an outcome.
func statusLink(key orders.Key) string { return "/v1/orders/" + string(key) }
