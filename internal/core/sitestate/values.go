package sitestate

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Target is the entry that a target writes about itself into the log of the
// platform. Targets, configurations and VMs are exchanged between routers under
// their field names.
type Target struct {
	Service    fleet.Service
	Address    string
	DataCentre fleet.DataCentre
	Slots      int
	// Leaving targets accept no new requests.
	Leaving bool
	// Cold is how long the target stays cold, counted from the time of the
	// record.
	Cold time.Duration
	// Born distinguishes successive processes with the same name.
	Born int64
	// Version is the version of the target's software, not of its weights. It is empty if
	// the entry has none, or was told by a router of an earlier release.
	Version string
	// Usable is false for an entry that could not be parsed.
	Usable bool
}

// Same reports whether a newer entry differs at most in the remaining cold
// time, while the target is cold in both or in neither.
func (t Target) Same(newer Target) bool {
	if (t.Cold > 0) != (newer.Cold > 0) {
		return false
	}
	t.Cold, newer.Cold = 0, 0
	return t == newer
}

// Drain is the value of a record that marks a data centre as drained.
type Drain struct{}

// Same reports true, because a mark has no content.
func (Drain) Same(Drain) bool { return true }

// Config is the value of the configuration record.
type Config struct{ Content *routing.Config }

// Same reports whether both values have the same version.
func (c Config) Same(newer Config) bool {
	return c.Content != nil && newer.Content != nil && c.Content.Version == newer.Content.Version
}

// VM is the value of a row of the VM list.
type VM struct{ Row fleet.VMInfo }

// Same reports whether the rows are equal.
func (v VM) Same(newer VM) bool { return v == newer }
