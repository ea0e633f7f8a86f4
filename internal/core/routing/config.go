// Package routing finds the route and the client account of a request in the
// configuration that the operators of the platform publish.
package routing

import (
	"cmp"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Kind tells whether requests of a route may run more than once.
type Kind uint8

// Kinds of routes.
const (
	// Unsafe requests must run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests have an event stream as response. They must run at most
	// once unless the route is resumable.
	Stream
)

// WeightedService is a service of a route with its share of the requests.
type WeightedService struct {
	Service fleet.Service
	Weight  int
}

// Route configures how requests below a path prefix of a host are served.
// Routes, services, limits and accounts are exchanged between routers under
// their field names.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final response, zero for MaxTimeLimit.
	Timeout time.Duration
	// Objective is the latency up to which a response is in time.
	Objective time.Duration
	// Priority is the priority of the requests, 0 the highest.
	Priority int
	Services []WeightedService
	// Attempts is the largest number of targets that one request is sent to.
	Attempts int
	// Public routes accept requests without a key.
	Public bool
	// Resumable streams may continue at another target after a failure.
	Resumable bool
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// MaxTimeLimit bounds the time of every request. Routes and callers can only shorten it.
const MaxTimeLimit = 60 * time.Second

// TimeLimit returns the longest time until the final response of a request.
func (r *Route) TimeLimit() time.Duration {
	if r.Timeout > 0 {
		return min(r.Timeout, MaxTimeLimit)
	}
	return MaxTimeLimit
}

const (
	// firstByteFactor times the latency objective of the route is the time without a
	// first byte after which a target counts as silent, minFirstByteTimeout its lower
	// bound. It keeps requests with a short objective from being hedged while they only
	// wait in a queue.
	firstByteFactor     = 2
	minFirstByteTimeout = 300 * time.Millisecond
)

// FirstByteTimeout returns the time without a first byte after which a target
// counts as silent.
func (r *Route) FirstByteTimeout() time.Duration {
	return max(firstByteFactor*r.Objective, minFirstByteTimeout)
}

// Service configures the targets of one service.
type Service struct {
	Name fleet.Service
	// MaxConns is the largest number of connections that one target accepts
	// from all VMs together.
	MaxConns int
	// ColdFor is how long a target stays cold after a start, ColdRate the
	// number of requests per second that it handles meanwhile; zero for no
	// limit.
	ColdFor  time.Duration
	ColdRate float64
	// Engine is true for model engines, which cache prompts.
	Engine bool
}

// Limits that are in force where a configuration sets none.
const (
	DefaultHeaderBytes = 64 << 10
	DefaultBodyBytes   = 4 << 20
	DefaultIdleTimeout = 75 * time.Second
)

// Limits bound what clients may send. Sizes are in bytes; zero stands for the default.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// IdleTimeout is how long a client connection may stay open without a
	// request.
	IdleTimeout time.Duration
}

// OrDefaults returns the limits with defaults in the place of zeros.
func (l Limits) OrDefaults() Limits {
	return Limits{
		HeaderBytes: cmp.Or(l.HeaderBytes, DefaultHeaderBytes),
		BodyBytes:   cmp.Or(l.BodyBytes, DefaultBodyBytes),
		IdleTimeout: cmp.Or(l.IdleTimeout, DefaultIdleTimeout),
	}
}

// Account is one client account with its keys.
type Account struct {
	Name fleet.Account
	Keys []string
	// Priority replaces the priority of the route if Ranked is set.
	Priority int
	Ranked   bool
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	Accounts []Account
	// Keyed is true if requests need the key of an account.
	Keyed bool
}
