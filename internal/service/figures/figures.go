// Package figures counts the service that members and client accounts get,
// sums it up for the site, and puts the sums on the platform's log, where
// every member can read them for every site.
package figures

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/core/usage"
	"github.com/zinniafork/zinniafork/internal/explain"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Name is the service's name in the kernel.
const Name = "figures"

// Stream is the log stream of the sites' summaries, one JSON object a record.
const Stream = "figures"

// Sample is one finished request of a caller.
type Sample struct {
	Member  fleet.Member
	Account fleet.Account
	Kind    call.Kind
	// Code is empty for a whole answer.
	Code call.Code
	Run  call.Run
	// FirstByte and Total are measured from the arrival at the entry router.
	FirstByte time.Duration
	Total     time.Duration
	// InTime is true for a whole answer within its deadlines.
	InTime bool
	// Request and Err tell of a failed request what operators may ask later;
	// both may be nil.
	Request *call.Request
	Err     *call.Error
}

// Recorder takes samples from the caller interface.
type Recorder interface {
	Record(s Sample)
}

// Counts sums up requests of the last minutes.
type Counts = usage.Counts

// Figure is the service of one client account or member.
type Figure = usage.Entry

// Summary is what one site says of itself.
type Summary struct {
	Site fleet.Site `json:"site"`
	// VM is the router that made the summary.
	VM fleet.VM  `json:"vm"`
	At time.Time `json:"at"`
	// Version is the configuration in force at the site; RulesHash identifies
	// the rules that all sites share.
	Version   configstate.Version `json:"version"`
	RulesHash string              `json:"rules_hash"`
	// Routers counts the live routers; Lagging are those that use another
	// version, and Missing those whose sums did not come.
	Routers int        `json:"routers"`
	Lagging []fleet.VM `json:"lagging"`
	Missing int        `json:"missing"`
	// Accounts are the sums of the last minutes.
	Accounts []Figure `json:"accounts"`
}

// Reader gives the sums.
type Reader interface {
	// Local returns the sums of this router and of those that send it theirs.
	Local() []Figure
	// Summaries returns the newest summary of each site, sorted by site, from
	// the log. With an error it returns those that were read last.
	Summaries(ctx context.Context) ([]Summary, error)
	// Failure tells why a request failed on this router. It is an error when
	// the router does not remember it.
	Failure(id call.ID) (*explain.Answer, error)
}

// sampleCounts returns what one sample adds.
func sampleCounts(s Sample) Counts {
	c := Counts{
		Requests:    1,
		FirstByteMS: milliseconds(s.FirstByte),
		BusyMS:      milliseconds(s.Total),
	}
	switch {
	case s.Code == "":
		c.Completed = 1
	case s.Run == call.RunNot:
		c.Refused = 1
		c.BusyMS = 0
	default:
		c.Failed = 1
	}
	if s.InTime {
		c.InTime = 1
	}
	return c
}

func milliseconds(d time.Duration) uint64 { return uint64(max(d, 0) / time.Millisecond) }
