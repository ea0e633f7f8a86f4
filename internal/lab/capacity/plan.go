// Package capacity works out what the roles of a router need at the planned
// size, from slopes measured at smaller ones.
package capacity

import "time"

// The planned size and its limits for one daemon.
const (
	PlannedRouters     = 390
	PlannedTargets     = 1200
	PlannedChats       = 13_000_000
	PlannedDataCentres = 7
	PlannedRegions     = 2
	PlannedRequests    = 2100    // a second
	PlannedTokens      = 730_000 // a second
	PlannedAccounts    = 270
	PlannedModels      = 29
	PlannedChanges     = 3100 // of configuration a day

	// LimitCore is the share of a core that control may take, LimitBytes its
	// memory, and LimitTraffic its bytes a second.
	LimitCore    = 0.035
	LimitBytes   = 256 << 20
	LimitTraffic = 14_000
	// LimitAppends is what the log service bears from all together a second.
	LimitAppends = 300
)

const day = 24 * time.Hour

// Row is one line of the table.
type Row struct {
	Role     string
	Resource string
	// Measured lists the sizes and figures, Slope what one more unit of size
	// costs.
	Measured string
	Slope    string
	// Planned is the figure at the planned size, Limit what it may be; a row
	// without a limit has a zero one.
	Planned float64
	Limit   float64
	Unit    Unit
	// Mechanism carries the line at the planned size.
	Mechanism string
}

// Fits reports whether the row is within its limit.
func (r Row) Fits() bool { return r.Limit == 0 || r.Planned <= r.Limit }

// Unit tells how a figure is written.
type Unit string

// Units of figures.
const (
	UnitBytes       Unit = "bytes"
	UnitBytesPerSec Unit = "bytes/s"
	UnitCores       Unit = "cores"
	UnitPerSec      Unit = "per second"
	UnitMillis      Unit = "ms"
)
