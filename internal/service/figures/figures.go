// Package figures counts the service that members and client accounts get.
package figures

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/fleet"
)

// Name is the service's name in the kernel.
const Name = "figures"

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
}

// Recorder takes samples from the caller interface.
type Recorder interface {
	Record(s Sample)
}
