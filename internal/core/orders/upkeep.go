package orders

import (
	"slices"
	"time"
)

// handleTick ends everything whose deadline has passed and does the periodic
// maintenance.
func (m *Machine) handleTick(now time.Time) {
	if !m.nextDeadline.IsZero() && !now.Before(m.nextDeadline) {
		m.nextDeadline = time.Time{}
		m.expireWaiters(now)
		m.expireAwaitingClaim(now)
		m.expireSettlements(now)
	}
	m.emitDueLookups(now)
	if now.Before(m.nextMaintenance) {
		return
	}
	m.nextMaintenance = now.Add(maintenancePeriod)
	m.dropLedger()
	m.appendCheckpoints(now)
	m.ledger.Prune(now, m.cfg.Window+m.clockMargin())
	m.pruneTickets(now)
}

// expireWaiters replies to the submissions whose deadline has passed, and
// dispatches the tickets that have waited for the log long enough.
func (m *Machine) expireWaiters(now time.Time) {
	for _, k := range sortedKeys(m.waiters) {
		l := m.localOrders[k]
		if l != nil && l.ticket && l.state == localAwaitingIntent {
			if now.Before(l.logWaitDeadline) {
				m.scheduleExpiry(l.logWaitDeadline)
			} else {
				m.dispatchTicket(now, k, l)
			}
		}
		m.expireOrderWaiters(now, k)
	}
}

func (m *Machine) expireOrderWaiters(now time.Time, k Key) {
	var expired, remaining []Submit
	for _, s := range m.waiters[k] {
		if now.Before(s.Deadline) {
			m.scheduleExpiry(s.Deadline)
			remaining = append(remaining, s)
		} else {
			expired = append(expired, s)
		}
	}
	if len(expired) == 0 {
		return
	}
	m.waiters[k] = remaining
	l := m.localOrders[k]
	unsent := l != nil && l.state == localAwaitingIntent
	if len(remaining) == 0 {
		delete(m.waiters, k)
		if unsent {
			m.abandonIntent(now, k)
		}
	}
	for _, s := range expired {
		switch {
		case unsent && l.ticket:
			m.sendReply(s.ID, refusalReply(RunNot, ReasonDeadline))
		case unsent:
			m.refuse(s, ReasonDeadline)
		default:
			m.sendReply(s.ID, Reply{Run: RunUnknown, Reason: ReasonOutcomeUnknown})
		}
	}
}

func (m *Machine) expireAwaitingClaim(now time.Time) {
	var expired, remaining []Submit
	for _, s := range m.awaitingClaim {
		if now.Before(s.Deadline) {
			m.scheduleExpiry(s.Deadline)
			remaining = append(remaining, s)
		} else {
			expired = append(expired, s)
		}
	}
	m.awaitingClaim = remaining
	for _, s := range expired {
		m.refuse(s, ReasonDeadline)
	}
}

// settle queues an operator's outcome for an order whose outcome is not known.
func (m *Machine) settle(now time.Time, s Settle) {
	e := m.ledger.Entry(s.Key)
	reason := ReasonNone
	switch {
	case !m.IsActiveOwner():
		reason = ReasonNotOwner
	case m.log.down:
		reason = ReasonLogUnavailable
	case e == nil || e.Phase == PhaseFree:
		reason = ReasonNotFound
	case e.Phase == PhaseDone || e.Phase == PhaseSettled:
		reason = ReasonOutcomeKnown
	case e.Phase == PhaseOpen && now.Before(e.SendDeadline.Add(m.cfg.MaxClockSkew)):
		reason = ReasonRunning
	}
	if reason != ReasonNone {
		m.sendReply(s.ID, refusalReply(RunUnknown, reason))
		return
	}
	r := m.orderRecord(KindSettled, s.Key, e.Identity, m.nonce())
	r.Outcome = &Outcome{Run: s.Run}
	r.Operator = s.Operator
	m.settlements[r.Nonce] = s
	m.scheduleExpiry(s.Deadline)
	m.outbox.push(now, r, true)
}

func (m *Machine) expireSettlements(now time.Time) {
	var expired []Settle
	for n, s := range m.settlements {
		if now.Before(s.Deadline) {
			m.scheduleExpiry(s.Deadline)
			continue
		}
		delete(m.settlements, n)
		expired = append(expired, s)
	}
	slices.SortFunc(expired, func(a, b Settle) int { return int(a.ID) - int(b.ID) })
	for _, s := range expired {
		m.sendReply(s.ID, refusalReply(RunUnknown, ReasonDeadline))
	}
}

// adopt queues the records that another router could not append.
func (m *Machine) adopt(now time.Time, records []Record) {
	for i := range records {
		m.outbox.push(now, records[i], false)
	}
}

// appendCheckpoints repeats the state of orders that are still needed before
// the log drops their records.
func (m *Machine) appendCheckpoints(now time.Time) {
	if !m.IsActiveOwner() || m.log.down || m.cfg.Retention == 0 {
		return
	}
	for _, k := range sortedKeys(m.ledger.entries) {
		e := m.ledger.entries[k]
		if m.needsCheckpoint(now, e) {
			m.outbox.push(now, m.checkpointRecord(e), false)
			e.At = now
		}
	}
}

// needsCheckpoint reports whether half of the retention has passed since the
// newest record of an order that is undecided or whose key has not expired.
func (m *Machine) needsCheckpoint(now time.Time, e *Entry) bool {
	if e.Phase == PhaseFree || now.Sub(e.At) < m.cfg.Retention/2 {
		return false
	}
	undecided := e.Phase == PhaseOpen || e.Phase == PhaseUnknown
	return undecided || now.Sub(e.Minted) <= m.cfg.Window
}

func (m *Machine) checkpointRecord(e *Entry) Record {
	r := m.orderRecord(KindCheckpoint, e.Key, e.Identity, e.Nonce)
	r.Router = e.Router
	r.Incarnation = e.Incarnation
	r.SendDeadlineMS = e.SendDeadline.UnixMilli()
	r.Phase = e.Phase
	r.Operator = e.Operator
	outcome := e.Outcome
	if body, ok := m.responses.Get(e.Key); ok {
		outcome.Body = body
	} else if outcome.Run == RunDone {
		outcome.BodyOmitted = true
	}
	r.Outcome = &outcome
	return r
}

// dropLedger frees the memory of a ledger that is no longer needed. The stream
// is read again from the start when the partition is next held.
func (m *Machine) dropLedger() {
	if m.held || !m.Idle() || m.log.reading {
		return
	}
	m.ledger = NewLedger()
	m.log.caughtUp = false
	m.log.readTarget = 0
	m.log.segments = nil
}

func (m *Machine) pruneTickets(now time.Time) {
	for k, t := range m.finishedTickets {
		if now.Sub(t.minted) > m.cfg.Window+m.clockMargin() {
			delete(m.finishedTickets, k)
		}
	}
}
