// Package ownership elects one owning router per resource (a target or an order
// partition) with quorum leases.
//
// Every router plays two roles, and the package holds the state machine of
// each: the holder acquires and renews the lease of a resource, and the voter
// grants it. A router holds a resource while a majority of the resource's
// voters has granted its claim. Voters and the preferred owner follow from a
// ranking that all routers with the same VM list compute alike.
//
// Grants are kept in memory only. A voter that restarts therefore abstains
// until every grant that it may have forgotten has expired, and a new owner
// learns from the votes how many requests of earlier owners may still run. This
// bounds the load of a target when an owner is killed, paused or cut off, and
// when routers disagree about the VM list for a while.
//
// The protocol and the alternatives considered are described in
// docs/design/ownership.md.
package ownership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// ID identifies a resource in messages.
type ID uint32

// IDOf returns the identifier of the resource called name. The configuration is
// checked for names whose identifiers collide.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// Resource is something that exactly one router owns at a time.
type Resource struct {
	// Name identifies the resource on all routers; the ID is its hash.
	Name string
	// Home is the data centre that the owner should be in, empty for any.
	Home fleet.DataCentre
}

// Params are the limits of the lease protocol. All routers must use the same
// ones.
type Params struct {
	// Lease is the time for which a grant is valid unless it is renewed.
	Lease time.Duration
	// DriftMargin covers the drift between the clocks of two routers over one
	// lease.
	DriftMargin time.Duration
	// VoterSetRetention is the time for which a replaced voter set still
	// counts: the lag of the VM list plus one lease.
	VoterSetRetention time.Duration
	// MaxRunTime is the longest time for which an admitted request may run.
	MaxRunTime time.Duration
	// Voters is the number of voters of a resource.
	Voters int
	// ConfirmRetry is the time after which an unanswered confirmation is sent
	// again.
	ConfirmRetry time.Duration
	// MaxPause is the time after the end of a lease for which a paused holder
	// may resume and dispatch requests that were confirmed just before the
	// pause.
	MaxPause time.Duration
	// RebalanceAfter is the time for which another router must be preferred
	// before the holder hands the resource over to it.
	RebalanceAfter time.Duration
}

// DefaultParams returns the default limits for the given lease time.
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

// Router is a router of the VM list as the local router sees it.
type Router struct {
	// VM and DataCentre are the router's name and location from the VM list.
	VM         fleet.VM
	DataCentre fleet.DataCentre
	// Eligible is true for a router that may own resources: it is alive, and it
	// is neither shutting down nor marked for draining.
	Eligible bool
}

// View is what a node knows about the site.
type View struct {
	// Routers are the routers of the VM list.
	Routers []Router
	// Nearest lists for each data centre the other ones, nearest first.
	Nearest map[fleet.DataCentre][]fleet.DataCentre
	// HasList is false until the VM list has been read.
	HasList bool
	// Agreed is true while all routers that are heard from report the same VM
	// list.
	Agreed bool

	// hashes and mayOwn are filled in by Index: the hash of each router's name,
	// by position, and whether a router is eligible.
	hashes []uint64
	mayOwn map[fleet.VM]bool
}

// Residual describes requests that earlier owners admitted and that may still
// run.
type Residual struct {
	// Known is false when the voters may have forgotten earlier owners; the
	// target may then be full.
	Known bool
	// Count is the number of these requests. It is an upper bound only if
	// Known.
	Count int
	// Until is the time by which these requests have ended, because their
	// deadline has passed.
	Until time.Time
	// Pending is the part of Count that may not have reached the target yet:
	// until PendingUntil, no load report of the target proves that it is over.
	// It exceeds the capacity of any target when no voter knows the number.
	Pending      int
	PendingUntil time.Time
}

// EventKind tells what happened to a resource.
type EventKind uint8

// Kinds of event.
const (
	// Acquired: this router holds the resource from now on.
	Acquired EventKind = iota + 1
	// Lost: the lease ended; this router must stop admitting requests.
	Lost
	// HandOver: another router should hold the resource. This router must stop
	// admitting requests and call Node.Release with the number that still runs.
	HandOver
	// Confirmed and Refused are the results of the confirmations in
	// Event.Confirmations.
	Confirmed
	Refused
)

// Event is a change that the caller of a Node must act on.
type Event struct {
	// Kind is what happened, and ID the resource that it happened to.
	Kind EventKind
	ID   ID
	// Residual is the remaining work of earlier owners, set for Acquired.
	Residual Residual
	// Term numbers the ownership period, set for Acquired and Confirmed.
	Term uint64
	// Confirmations are the confirmations that Confirmed or Refused completes.
	Confirmations []ConfirmationID
}

// ConfirmationID identifies one call of Node.Confirm on this node.
type ConfirmationID uint64

// Message is a message to the router To. Exactly one of Request and Reply is
// set.
type Message struct {
	To      fleet.VM
	Request *Request
	Reply   *Reply
}

// Actions are the messages to send and the events to handle after a call of a
// Node method, each in order.
type Actions struct {
	Messages []Message
	Events   []Event
}
