package engine

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Paths of an engine.
const (
	PathChat     = "/v1/chat/completions"
	PathEvents   = "/v1/cache/events"
	PathCache    = "/v1/cache/entries/"
	PathRequests = "/v1/requests/"
	PathOrders   = "/v1/orders"
)

// Headers that an engine understands.
const (
	// HeaderPriority orders the engine's queue; higher goes first.
	HeaderPriority = "X-Priority"
	// HeaderCacheKey names the prefix that a request shares with others; cache
	// events and KV cache moves use the same name.
	HeaderCacheKey = "X-Cache-Key"
	// HeaderResumeFrom asks for the rest of the answer to a request that the
	// engine has run, from an offset in bytes.
	HeaderResumeFrom = "X-Resume-From"
)

// CacheKey returns the name under which engines cache the prefix of a chat
// request: its chat, or else the prefix that it shares.
func CacheKey(req *call.Request) string {
	if req.Chat == "" {
		return fmt.Sprintf("%016x", req.Prefix)
	}
	return fmt.Sprintf("%016x", xxhash.Sum64String(req.Chat))
}

// EventKind tells what happened in an engine's prefix cache.
type EventKind string

// Kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventEvicted EventKind = "evicted"
	// EventCleared means that the whole cache is empty.
	EventCleared EventKind = "cleared"
)

// Event is one change of an engine's prefix cache.
type Event struct {
	// Seq rises by one with each event of an incarnation. Missing numbers are
	// lost events.
	Seq    uint64    `json:"seq"`
	Kind   EventKind `json:"kind"`
	Key    string    `json:"key,omitempty"`
	Tokens int       `json:"tokens,omitempty"`
	At     time.Time `json:"at"`
}

// EventPage is the answer to a read of cache events.
type EventPage struct {
	Incarnation uint64  `json:"incarnation"`
	Events      []Event `json:"events"`
	// Next is the number to read from next.
	Next uint64 `json:"next"`
}

// OrderKind tells what an order to an engine is for.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderUnloadModel OrderKind = "unload_model"
	OrderSetRole     OrderKind = "set_role"
)

// Order tells an engine to change what it holds or does.
type Order struct {
	Kind    OrderKind   `json:"kind"`
	Model   fleet.Model `json:"model,omitempty"`
	Version string      `json:"version,omitempty"`
	Adapter string      `json:"adapter,omitempty"`
	Role    string      `json:"role,omitempty"`
	// Fencing rises with each new holder of the right to give orders. An
	// engine that checks it refuses a number below the highest it has seen.
	Fencing uint64 `json:"fencing"`
}

// OrderResult is the answer to an order.
type OrderResult struct {
	Applied bool `json:"applied"`
	// Fencing is the highest number that the engine has seen.
	Fencing uint64 `json:"fencing"`
	// Reason says why an order was not applied.
	Reason string `json:"reason,omitempty"`
}

// Progress is what an engine tells of one request.
type Progress struct {
	RequestID string `json:"request_id"`
	// Running is false once the answer is whole or has been given up.
	Running bool `json:"running"`
	Whole   bool `json:"whole"`
	// Bytes is the length of the answer so far.
	Bytes uint64 `json:"bytes"`
}
