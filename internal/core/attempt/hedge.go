package attempt

import "time"

// A request has at most one current send and one hedge, a send to another target:
//
//	current            is silent: StartHedge       -> current and hedge
//	current and hedge  the hedge responds          -> Replaced: it is the current send
//	current and hedge  the current send goes on    -> the hedge is dropped
//	current and hedge  the hedge fails: HedgeEnded -> current
//	current and hedge  the current send fails      -> the hedge's end is awaited, then
//	                                                  Replaced or SendEnded

// MayHedge reports whether kind, attempts and time allow a hedge. left is the time
// until the request's deadline. A request that is isolated has none.
func (m *Machine) MayHedge(left time.Duration) bool {
	return !m.isolated && m.route.Idempotent() && m.sends+1 < m.route.Attempts && m.undelivered < maxUndelivered && left > MinTimeLeft
}

// StartHedge reports whether the request may be sent to another target while its
// current send is silent. The hedge counts as one of the Attempts and takes a retry
// from the budget.
func (m *Machine) StartHedge(now time.Time, left time.Duration, b Budget) bool {
	if !m.MayHedge(left) || !b.Take(now) {
		return false
	}
	m.sends++
	return true
}

// HedgeEnded takes the outcome of a hedge that is not used.
func (m *Machine) HedgeEnded(s Outcome) {
	switch {
	case s == NotSent || s == Misdirected:
		m.sends--
		m.undelivered++
	case s >= Unknown:
		m.mayHaveRun = true
	}
}

// Replaced makes the hedge the current send. The former one may have run; it takes
// the place of the hedge among the sends that were counted.
func (m *Machine) Replaced() { m.mayHaveRun = true }
