// Package peer carries control messages and requests between routers.
package peer

import (
	"context"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Name is the service's name in the kernel.
const Name = "peer"

// Kind names a kind of message between routers. Bytes are counted by kind.
type Kind string

// Kinds of control messages.
const (
	KindHeartbeat Kind = "heartbeat"
	KindLease     Kind = "lease"
	KindConfig    Kind = "config"
	KindFigures   Kind = "figures"
	KindOrders    Kind = "orders"
	KindLoad      Kind = "load"
	KindGrant     Kind = "grant"
	KindOrigin    Kind = "origin"
	KindSlot      Kind = "slot"
	KindSnapshot  Kind = "snapshot"
	// KindRollout carries reports on a roll-out to the router that drives it, and its replies.
	KindRollout Kind = "rollout"
	// KindSlotRelease gives back what a query of KindSlot has granted.
	KindSlotRelease Kind = "slot_release"
	// KindPlace asks for a slot of a plain service, KindPlaceRelease gives it back.
	KindPlace        Kind = "place"
	KindPlaceRelease Kind = "place_release"
)

// KindTransport counts what the connections themselves need: hello, ping and
// frames that belong to no stream any more.
const KindTransport Kind = "transport"

// Kinds of requests that run on another router.
const (
	KindRun    Kind = "run"
	KindSubmit Kind = "submit"
	KindRelay  Kind = "relay"
)

// ControlHandler takes one control message. It must not block.
type ControlHandler func(from fleet.VM, payload []byte)

// QueryHandler answers one query.
type QueryHandler func(ctx context.Context, from fleet.VM, payload []byte) ([]byte, error)

// CallHandler runs one request for another router and passes its answer to
// sink. A non-nil error is a *call.Error, which the other router gets whole.
type CallHandler func(ctx context.Context, from fleet.VM, req *call.Request, sink call.Sink) error

// Peers is the transport between routers. Handlers are added while services
// are provisioned, one for each kind.
type Peers interface {
	// Send queues a control message and never blocks. A message to a router
	// that is not connected is dropped with an error; one that is queued may
	// still be lost. Messages of one kind to one router keep their order.
	Send(to fleet.VM, kind Kind, payload []byte) error
	HandleControl(kind Kind, h ControlHandler)

	// Query sends a small request and waits for its answer. The error is a
	// *call.Error; its Run is call.RunNot only when the other router says so
	// or no byte of the query was sent to it.
	Query(ctx context.Context, to fleet.VM, kind Kind, payload []byte) ([]byte, error)
	HandleQuery(kind Kind, h QueryHandler)

	// Call runs a request on another router and passes the answer to sink.
	// The error is a *call.Error; its Run is call.RunNot only when the other
	// router says so or no byte of the request was sent to it.
	Call(ctx context.Context, to fleet.VM, kind Kind, req *call.Request, sink call.Sink) error
	HandleCall(kind Kind, h CallHandler)

	// SetPeers replaces the routers that may be connected to. Connections to
	// others are closed once their streams have ended.
	SetPeers(vms []fleet.VMInfo)
	// Traffic returns the bytes counted at the sockets since the start.
	Traffic() map[Kind]Traffic
}

// Traffic counts the bytes of one kind, framing included.
type Traffic struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
}
