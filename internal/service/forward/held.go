package forward

import (
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/overload"
	"github.com/zinniafork/zinniafork/internal/core/quarantine"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// maxHold is how long a failure that the target has not told of is held back from other
// routers. One that is not shown to be the target's by then is not reported.
const maxHold = 3 * time.Second

// heldFailure is a failure of a target without a response, or with one that broke off, which
// may be one of the path to it. It is reported to other routers once this one has reached
// another target of the service since. So is that a target can't be reached at all.
type heldFailure struct {
	target  fleet.Target
	service fleet.Service
	at      time.Time
	// down is the process to which no connection could be opened, nil for a send that failed.
	down *quarantine.Engine
}

// holdFailure holds the last failure of a target back. The caller holds the lock.
func (s *Service) holdFailure(now time.Time, service fleet.Service, id fleet.Target) {
	s.outliers.Withhold(id.Ref())
	s.held = append(s.held, heldFailure{target: id, service: service, at: now})
}

// holdDown holds back that no connection to a target could be opened. The caller holds the lock.
func (s *Service) holdDown(now time.Time, service fleet.Service, id fleet.Target) {
	e := engineOf(id, s.born[id], service)
	if !slices.ContainsFunc(s.held, func(h heldFailure) bool { return h.down != nil && *h.down == e }) {
		s.held = append(s.held, heldFailure{target: id, service: service, at: now, down: &e})
	}
}

// releaseHeld reports the failures that are known to be those of their targets, and drops
// the others in time. The caller holds the lock.
func (s *Service) releaseHeld(now time.Time) {
	s.held = slices.DeleteFunc(s.held, func(h heldFailure) bool {
		switch {
		case s.paths.IsCut(h.service):
			return true
		case s.paths.ReachedSince(h.at, h.service, h.target):
			if h.down != nil {
				s.engineDown(now, *h.down)
			} else {
				s.outliers.Report(h.target.Ref())
			}
			return true
		default:
			return now.Sub(h.at) > maxHold
		}
	})
}

// forgetFailures drops what failed sends have shown of the targets of a service, since it
// was the path that failed. The caller holds the lock.
func (s *Service) forgetFailures(service fleet.Service, targets []fleet.Target) {
	for _, id := range targets {
		s.outliers.Reset(id.Ref())
	}
	s.held = slices.DeleteFunc(s.held, func(h heldFailure) bool { return h.service == service })
	s.limiters[service] = overload.New()
}
