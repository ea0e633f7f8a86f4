package journal

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/orders"
)

// Settings are the settings of this service in the settings file of the
// process.
type Settings struct {
	// MaxResponseBytes is the largest response body that is recorded in the
	// log.
	MaxResponseBytes int `toml:"answer_bytes"`
	// MaxQueue is the number of records of one partition waiting to be
	// appended at which new orders are refused. It bounds the memory that a
	// router needs while the log is unavailable.
	MaxQueue int `toml:"max_queue"`
}

// DefaultSettings returns the settings of a process that sets none.
func DefaultSettings() Settings {
	return Settings{MaxResponseBytes: 16 << 10, MaxQueue: 50_000}
}

// Limits and periods of the service.
const (
	// maxKeyAhead is how far the mint time of a key may be ahead of a router's
	// clock.
	maxKeyAhead = time.Minute
	// maxClockSkew is the largest difference between the clocks of routers and
	// the log.
	maxClockSkew = 30 * time.Second
	// readPageSize is the maximum number of records in one read of a stream.
	readPageSize = 1000
	// bodyReadTimeout limits the reading of one recorded response body.
	bodyReadTimeout = 2 * time.Second
	// confirmTimeout limits one confirmation of ownership.
	confirmTimeout = time.Second
	// forwardRetryDelay is the delay before a router is asked again.
	forwardRetryDelay = 50 * time.Millisecond
	// replyMargin is how long before a request's deadline the machine must
	// reply, so that the reply still reaches the caller.
	replyMargin = 200 * time.Millisecond
	// tickPeriod is the period of checking whether a machine needs a Tick.
	tickPeriod = 10 * time.Millisecond
	// drainPollPeriod is the period of checking whether a drain is complete.
	drainPollPeriod = 20 * time.Millisecond
	// ownerBudgetShare is the share of the append budget that the owners of
	// partitions get. The rest is for the tickets of the other routers.
	ownerBudgetShare = 0.9
	// minAppendLimit is the lowest limit of appends per second for one
	// partition at one router.
	minAppendLimit = 0.2
	// maxTickets is the maximum number of tickets in one response.
	maxTickets = 1000
	// maxListLength is the maximum number of orders in one list.
	maxListLength = 1000
)

// statusLink returns the path under which callers can ask for the outcome of
// an order.
func statusLink(key orders.Key) string { return "/v1/orders/" + string(key) }
