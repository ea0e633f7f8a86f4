package sitestate

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Target is what a target tells of itself through the platform's log.
type Target struct {
	Service    fleet.Service
	Address    string
	DataCentre fleet.DataCentre
	Slots      int
	// Leaving targets take no new work.
	Leaving bool
	// Cold is how long the target stays cold from the time of the record.
	Cold time.Duration
	// Born tells successive processes under one name apart.
	Born int64
	// Usable is false for an entry that could not be read.
	Usable bool
}

// Same reports whether a newer entry differs only in the time left while cold.
func (t Target) Same(newer Target) bool {
	if (t.Cold > 0) != (newer.Cold > 0) {
		return false
	}
	t.Cold, newer.Cold = 0, 0
	return t == newer
}

// Drain is the mark of a drained data centre.
type Drain struct{}

// Same reports true: a mark has no content.
func (Drain) Same(Drain) bool { return true }

// Config is a version of the configuration.
type Config struct{ Content *routing.Config }

// Same reports whether the version is the same.
func (c Config) Same(newer Config) bool {
	return c.Content != nil && newer.Content != nil && c.Content.Version == newer.Content.Version
}

// VM is a row of the VM list.
type VM struct{ Row fleet.VMInfo }

// Same reports whether the rows are equal.
func (v VM) Same(newer VM) bool { return v == newer }
