// Package journal runs orders: calls to services that may run at most once. It
// executes the actions of the state machines of internal/core/orders, one for
// each partition of the site's keys.
//
// A submission goes to the router that owns the partition of its key, or, for
// a ticket, to the router that minted it. That router appends records to the
// partition's stream in the platform's log, dispatches the order and records
// its response. A retry of the key gets the recorded response, also when it
// arrives at another router, after a crash of the owner or after a response of
// the log was lost. While the log is unavailable only tickets run; a router
// that stops in that time hands its unrecorded records over to another one.
package journal

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Name is the service's name in the kernel.
const Name = "journal"

// Order is the state of one order as callers and operators see it. Routers
// exchange it with its Go field names as keys.
type Order struct {
	Key     string        `json:"key"`
	Account fleet.Account `json:"account"`
	Service fleet.Service `json:"service"`
	Run     call.Run      `json:"run"`
	// Running is true while the order may still be at a target and report an
	// outcome.
	Running bool         `json:"running"`
	Target  fleet.Target `json:"target,omitempty"`
	// At is the log's timestamp of the newest record about the order. Without
	// a record it is the mint time of the key, and for an order in progress
	// the present time.
	At time.Time `json:"at"`
	// Status, ContentType and Body are the recorded response. Body is empty
	// when the response was larger than Settings.MaxResponseBytes.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Router is the VM that ran the order or may have run it.
	Router fleet.VM `json:"router,omitempty"`
	// SettledBy is the operator who settled the order's unknown outcome, or
	// empty.
	SettledBy string `json:"settled_by,omitempty"`
}

// Filter selects orders. Account is empty for all accounts. UnknownOnly
// selects the orders whose outcome is unknown and that do not run any more.
// Limit is the maximum number of orders; zero or less means the largest list
// allowed.
type Filter struct {
	Account     fleet.Account
	UnknownOnly bool
	Limit       int
}

// Orders runs, finds and settles orders.
type Orders interface {
	// Submit runs the order of req.Key at most once and passes its response to
	// sink; for a key that has run before, it passes the recorded response.
	// The error is a *call.Error, whose Run tells whether the order ran.
	Submit(ctx context.Context, req *call.Request, sink call.Sink) error
	// Status returns the state of an order. It is an error if the order
	// belongs to another account, or if no router that could know the order
	// was reached.
	Status(ctx context.Context, account fleet.Account, key string) (Order, error)
	// Tickets returns up to n newly minted tickets: keys that the routers of
	// this site can run while the log is unavailable.
	Tickets(ctx context.Context, account fleet.Account, n int) ([]string, error)
	// List returns orders of all accounts, newest first.
	List(ctx context.Context, f Filter) ([]Order, error)
	// Settle records the outcome that the operator has found out for an order
	// whose outcome is unknown: call.RunDone or call.RunNot.
	Settle(ctx context.Context, key string, run call.Run, operator string) error
}
