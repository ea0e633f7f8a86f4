// Package ownership gives each resource one owning router at a time, by leases
// that a majority of the resource's voters has granted.
//
// The package holds the state machines of the two roles that every router
// plays, holder and voter, and the ranking that both use. Grants live in
// memory only. The rules and the ways weighed are in docs/design/ownership.md.
package ownership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// ID identifies a resource in messages.
type ID uint32

// IDOf returns the identifier of the resource called name. Configuration is
// checked for names with the same one.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// Resource is something that one router owns.
type Resource struct {
	Name string
	// Home is the data centre that the owner should be in, empty for any.
	Home fleet.DataCentre
}

// Params are the rules of leases. All routers use the same ones.
type Params struct {
	// Lease is the time for which a grant holds without renewal.
	Lease time.Duration
	// DriftMargin covers the drift between the clocks of two routers over a lease.
	DriftMargin time.Duration
	// VoterSetRetention is the time for which a voter set that was replaced still
	// counts: the lag of the VM list and one lease.
	VoterSetRetention time.Duration
	// MaxRunTime is the longest time for which admitted work may run.
	MaxRunTime time.Duration
	// Voters is the number of voters of a resource.
	Voters int
	// ConfirmRetry is the time after which a confirmation is asked again.
	ConfirmRetry time.Duration
	// MaxPause is the time after a lapse for which a paused holder may wake
	// and dispatch what had been confirmed just before the pause.
	MaxPause time.Duration
	// RebalanceAfter is the time for which another router must rank first
	// before the holder hands a resource over to it.
	RebalanceAfter time.Duration
}

// DefaultParams returns the rules for a lease time.
func DefaultParams(lease time.Duration) Params {
	return Params{
		Lease:             lease,
		DriftMargin:       lease / 10,
		VoterSetRetention: 5*time.Second + lease,
		MaxRunTime:        60 * time.Second,
		Voters:            5,
		ConfirmRetry:      50 * time.Millisecond,
		MaxPause:          3 * time.Second,
		RebalanceAfter:    3 * time.Second,
	}
}

// Router is one listed router as this one sees it.
type Router struct {
	VM         fleet.VM
	DataCentre fleet.DataCentre
	// Eligible is true for a router that may own resources: it is alive and
	// neither leaves nor is marked for draining.
	Eligible bool
}

// View is what a node knows of the site.
type View struct {
	// Routers are the listed routers.
	Routers []Router
	// Nearest lists for each data centre the others, the nearest first.
	Nearest map[fleet.DataCentre][]fleet.DataCentre
	// HasList is false until the VM list has been read.
	HasList bool
	// Agreed is true while all routers that are heard have the same list.
	Agreed bool

	hashes []uint64
	mayOwn map[fleet.VM]bool
}

// Residual is work that earlier owners admitted and that may still run.
type Residual struct {
	// Known is false when the voters may have forgotten earlier owners; then
	// the target may be full.
	Known bool
	// Count is the number of requests, when known.
	Count int
	// Until is the time after which that work has ended by its deadline.
	Until time.Time
	// Pending is the part of Count that may not have reached the target yet:
	// until PendingUntil no report of the target shows that it is over. It is
	// larger than any target when nobody remembers the amount.
	Pending      int
	PendingUntil time.Time
}

// EventKind tells what happened to a resource.
type EventKind uint8

// Kinds of event.
const (
	// Acquired: this router holds the resource now.
	Acquired EventKind = iota + 1
	// Lost: this router must admit nothing more.
	Lost
	// HandOver: this router must admit nothing more, and Release must be
	// called with the number of requests that still run.
	HandOver
	// Confirmed and Refused end the confirmations listed in Tickets.
	Confirmed
	Refused
)

// Event is a change that the node's user must act on.
type Event struct {
	Kind          EventKind
	ID            ID
	Residual      Residual
	Term          uint64
	Confirmations []ConfirmationID
}

// ConfirmationID names one confirmation that was asked for.
type ConfirmationID uint64

// Message is a message to another router; one of Request and Reply is set.
type Message struct {
	To      fleet.VM
	Request *Request
	Reply   *Reply
}

// Actions are what a step of a node asks its user to do, in order.
type Actions struct {
	Messages []Message
	Events   []Event
}
