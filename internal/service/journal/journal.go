// Package journal runs orders, calls that may run at most once, on the order
// of the platform's log.
package journal

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Name is the service's name in the kernel.
const Name = "journal"

// Order is what is known of one order.
type Order struct {
	Key     string        `json:"key"`
	Account fleet.Account `json:"account"`
	Service fleet.Service `json:"service"`
	Run     call.Run      `json:"run"`
	// Running is true while an answer may still come.
	Running bool         `json:"running"`
	Target  fleet.Target `json:"target,omitempty"`
	At      time.Time    `json:"at"`
	// Status and Body hold the recorded answer; Body is empty when the answer
	// was too large to record.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Router is the VM that ran the order or may have run it.
	Router fleet.VM `json:"router,omitempty"`
	// SettledBy is the operator who settled an unknown outcome.
	SettledBy string `json:"settled_by,omitempty"`
}

// Filter chooses orders of a list.
type Filter struct {
	Account     fleet.Account
	UnknownOnly bool
	Limit       int
}

// Orders runs and finds orders.
type Orders interface {
	// Submit runs the order of req.Key at most once and passes its answer to
	// sink, also when the key has run before. The error is a *call.Error.
	Submit(ctx context.Context, req *call.Request, sink call.Sink) error
	// Status returns what is known of the account's order.
	Status(ctx context.Context, account fleet.Account, key string) (Order, error)
	// Tickets returns keys that this site's routers can run while the log is
	// away.
	Tickets(ctx context.Context, account fleet.Account, n int) ([]string, error)
	// List returns orders of all accounts, the newest first.
	List(ctx context.Context, f Filter) ([]Order, error)
	// Settle records the outcome of an order that stayed unknown.
	Settle(ctx context.Context, key string, run call.Run, operator string) error
}
