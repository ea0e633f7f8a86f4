// Package site keeps what a router knows of its site up to date: it reads the
// platform's log when its turn comes and exchanges news with other routers.
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

// SourceName is the name in the kernel of the service that reads the
// platform's log.
const SourceName = "site_source"

// ErrBusy is wrapped by errors of a source that turns calls away because there
// are too many.
var ErrBusy = errors.New("too many calls")

// Source is the platform's log.
type Source interface {
	// Read returns the changes after the given offsets. Topics that can't be
	// read from there are read whole. VMs are read only on request.
	Read(ctx context.Context, from sitestate.Positions, vms bool) (*sitestate.Update, error)
	// Announce writes this router's row of the VM list and returns its record.
	Announce(ctx context.Context, row fleet.VMInfo) (sitestate.Record[sitestate.VM], error)
}

// View is the state of the site as other services see it.
type View interface {
	// Table returns the configuration in force, nil when none is known.
	Table() *routing.Table
	// Available returns the targets of a service that may get new work.
	Available(service fleet.Service) []sitestate.AvailableTarget
	// Lookup returns a target that has not gone, whether or not it may get new
	// work.
	Lookup(id fleet.Target) (sitestate.Target, bool)
	// IsAvailable reports whether a target may still get new work.
	IsAvailable(id fleet.Target) bool
	// Routers returns the routers on the VM list, whether or not they are alive.
	Routers() []fleet.VM
	// Age returns the age of the state, and false before the first read.
	Age() (time.Duration, bool)
	// Watch calls f after each change with what is new. It must be called
	// while services are provisioned; f must not block.
	Watch(f func(sitestate.Changes))
}
