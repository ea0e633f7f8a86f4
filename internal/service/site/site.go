// Package site keeps the router's state of its site current: configuration,
// drain marks, targets and the VM list.
//
// The state comes from the platform's log. Reads of the log are charged per
// call, so the routers of a site share them: one router reads as its schedule
// (core/refresh) says and sends the changes to the others. Heartbeats carry the
// offsets that each router has reached, and a router that is behind gets an
// update from a peer. While the log is unavailable the last state stays in use,
// and routers that start then get it from seeds.
package site

import (
	"context"
	"errors"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Name is the service's name in the kernel and of its settings section.
const Name = "site"

// SourceName is the kernel name of the service that implements Source.
const SourceName = "site_source"

// ErrBusy is wrapped by the errors of a Source whose log rejects calls because
// of too many requests.
var ErrBusy = errors.New("too many requests")

// Source reads and writes the platform's log.
type Source interface {
	// Read returns the changes from the given offsets on. A topic whose records
	// from there on were deleted is read whole. The VM list is read only if vms
	// is true. If the log is of another era than the offsets, all topics are read
	// whole. Errors wrap ErrBusy when the log rejects the call because of too many
	// requests.
	Read(ctx context.Context, from sitestate.Positions, vms bool) (*sitestate.Update, error)
	// Era returns the highest era of the log that any response has named, zero if
	// none has. It rises each time the log is restored from a copy.
	Era() int64
	// Announce writes this router's row of the VM list and returns the record
	// with its offset.
	Announce(ctx context.Context, row fleet.VMInfo) (sitestate.Record[sitestate.VM], error)
}

// View is read access to the state of the site for other services. Its methods
// are safe for concurrent use.
type View interface {
	// Table returns the configuration in force, nil if none is known.
	Table() *routing.Table
	// Available returns the targets of a service that may get new requests.
	Available(service fleet.Service) []sitestate.AvailableTarget
	// Lookup returns a target that is listed, whether or not it may get new
	// requests, and false if it is not listed.
	Lookup(id fleet.Target) (sitestate.Target, bool)
	// IsAvailable reports whether a target may get new requests.
	IsAvailable(id fleet.Target) bool
	// Routers returns the routers on the VM list, whether or not they are alive.
	Routers() []fleet.VM
	// AwaitCurrent waits, after this process was paused, until the log has been read
	// again, but not for long. At other times it returns at once.
	AwaitCurrent(ctx context.Context)
	// Refresh reads the log now, so that what was written to it before the call is known.
	// It fails if the log can't be read.
	Refresh(ctx context.Context) error
	// Age returns the time since the log was last known to match the state, and
	// false if the state never matched a read of the log.
	Age() (time.Duration, bool)
	// Watch registers f to be called with the changes of each update that
	// changed the state. It must be called while services are provisioned; f
	// must not block.
	Watch(f func(sitestate.Changes))
}
