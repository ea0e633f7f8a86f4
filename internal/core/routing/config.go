// Package routing finds the route and the client account of a request in the
// configuration that the platform's operators publish.
package routing

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Kind tells what may be repeated on a route.
type Kind uint8

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests are answered by events and run at most once unless the
	// route is resumable.
	Stream
)

// WeightedService is the weight of one service on a route.
type WeightedService struct {
	Service fleet.Service
	Weight  int
}

// Route says how requests below a path prefix of a host are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer, zero for none.
	Timeout time.Duration
	// Objective is the latency up to which an answer is on time.
	Objective time.Duration
	// Priority is the rank of the route, 0 first.
	Priority int
	Services []WeightedService
	// Attempts is the most targets that one request may be sent to.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another target.
	Resumable bool
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Service describes the targets of one service.
type Service struct {
	Name fleet.Service
	// MaxConns is the most connections that one target accepts from all VMs.
	MaxConns int
	// ColdFor is how long a target stays cold after a start, ColdRate the
	// requests per second that it bears meanwhile; zero for no limit.
	ColdFor  time.Duration
	ColdRate float64
	// Engine is true for model engines, which keep prompts in cache.
	Engine bool
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// IdleTimeout is how long a client's connection may stay without a request.
	IdleTimeout time.Duration
}

// Account is one client account.
type Account struct {
	Name fleet.Account
	Keys []string
	// Priority replaces the priority of the route when Ranked is set.
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
	// Keyed is true when requests need a key.
	Keyed bool
}
