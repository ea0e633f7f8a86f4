package slotqueue

import "time"

// scopeHysteresis times the limit is the number of slots from which a service that is placed is
// placed no more. Routers see changes of targets and members at different times.
const scopeHysteresis = 1.25

// Scope decides whether the slots of a service are granted by one router. It depends only on what
// all routers see alike.
type Scope struct {
	placed    bool
	updatedAt time.Time
}

// Due reports whether the last update is a period ago.
func (s *Scope) Due(now time.Time, period time.Duration) bool {
	return s.updatedAt.IsZero() || now.Sub(s.updatedAt) >= period
}

// Update takes the slots of the service and the limit below which it is placed. A service without
// known slots stays as it is.
func (s *Scope) Update(now time.Time, slots, limit float64) {
	s.updatedAt = now
	switch {
	case slots <= 0:
	case slots < limit:
		s.placed = true
	case slots >= scopeHysteresis*limit:
		s.placed = false
	}
}

// Placed reports whether the service is placed.
func (s *Scope) Placed() bool { return s.placed }
