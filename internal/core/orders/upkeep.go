package orders

import (
	"slices"
	"time"
)

// tick ends what has passed its deadline and does the periodic work.
func (m *Machine) tick(now time.Time) {
	if !m.nextDeadline.IsZero() && !now.Before(m.nextDeadline) {
		m.nextDeadline = time.Time{}
		m.expireWaiters(now)
		m.expireParked(now)
		m.expireSettles(now)
	}
	m.look(now)
	if now.Before(m.cleanAt) {
		return
	}
	m.cleanAt = now.Add(housekeeping)
	m.dropLedger()
	m.carry(now)
	m.ledger.Prune(now, m.cfg.Window+m.margin())
	m.forgetTickets(now)
}

// expireWaiters answers the submissions whose deadline has passed, and runs
// the tickets that have waited long enough for the log.
func (m *Machine) expireWaiters(now time.Time) {
	for _, k := range sortedKeys(m.waiting) {
		l := m.local[k]
		if l != nil && l.ticket && l.state == localWaiting {
			if now.Before(l.patience) {
				m.expect(l.patience)
			} else {
				m.runTicket(now, k, l)
			}
		}
		m.expireKey(now, k)
	}
}

func (m *Machine) expireKey(now time.Time, k Key) {
	var late, left []Submit
	for _, s := range m.waiting[k] {
		if now.Before(s.Deadline) {
			m.expect(s.Deadline)
			left = append(left, s)
		} else {
			late = append(late, s)
		}
	}
	if len(late) == 0 {
		return
	}
	m.waiting[k] = left
	l := m.local[k]
	unsent := l != nil && l.state == localWaiting
	if len(left) == 0 {
		delete(m.waiting, k)
		if unsent {
			m.abandon(now, k)
		}
	}
	for _, s := range late {
		switch {
		case unsent && l.ticket:
			m.answer(s.ID, refusalReply(RunNot, ReasonDeadline))
		case unsent:
			m.refuse(s, ReasonDeadline)
		default:
			m.answer(s.ID, Reply{Run: RunUnknown, Reason: ReasonOutcomeUnknown})
		}
	}
}

func (m *Machine) expireParked(now time.Time) {
	var late, left []Submit
	for _, s := range m.parked {
		if now.Before(s.Deadline) {
			m.expect(s.Deadline)
			left = append(left, s)
		} else {
			late = append(late, s)
		}
	}
	m.parked = left
	for _, s := range late {
		m.refuse(s, ReasonDeadline)
	}
}

// settle records an operator's word about an order whose outcome is not known.
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
		m.answer(s.ID, refusalReply(RunUnknown, reason))
		return
	}
	r := m.orderRecord(KindSettled, s.Key, e.Identity, m.nonce())
	r.Outcome = &Outcome{Run: s.Run}
	r.Operator = s.Operator
	m.settles[r.Nonce] = s
	m.expect(s.Deadline)
	m.outbox.push(now, r, true)
}

func (m *Machine) expireSettles(now time.Time) {
	var late []Settle
	for n, s := range m.settles {
		if now.Before(s.Deadline) {
			m.expect(s.Deadline)
			continue
		}
		delete(m.settles, n)
		late = append(late, s)
	}
	slices.SortFunc(late, func(a, b Settle) int { return int(a.ID) - int(b.ID) })
	for _, s := range late {
		m.answer(s.ID, refusalReply(RunUnknown, ReasonDeadline))
	}
}

// adopt queues the records that another router could not append.
func (m *Machine) adopt(now time.Time, records []Record) {
	for i := range records {
		m.outbox.push(now, records[i], false)
	}
}

// carry repeats the state of orders that are still needed before the log
// drops their records.
func (m *Machine) carry(now time.Time) {
	if !m.IsActiveOwner() || m.log.down || m.cfg.Retention == 0 {
		return
	}
	for _, k := range sortedKeys(m.ledger.entries) {
		e := m.ledger.entries[k]
		if m.needsCarry(now, e) {
			m.outbox.push(now, m.carriedRecord(e), false)
			e.At = now
		}
	}
}

// needsCarry reports whether half of the retention has passed since the newest
// record of an order that may still be asked for.
func (m *Machine) needsCarry(now time.Time, e *Entry) bool {
	if e.Phase == PhaseFree || now.Sub(e.At) < m.cfg.Retention/2 {
		return false
	}
	undecided := e.Phase == PhaseOpen || e.Phase == PhaseUnknown
	return undecided || now.Sub(e.Minted) <= m.cfg.Window
}

func (m *Machine) carriedRecord(e *Entry) Record {
	r := m.orderRecord(KindCheckpoint, e.Key, e.Identity, e.Nonce)
	r.Router = e.Router
	r.Incarnation = e.Incarnation
	r.SendDeadlineMS = e.SendDeadline.UnixMilli()
	r.Phase = e.Phase
	r.Operator = e.Operator
	outcome := e.Outcome
	if body, ok := m.answers.Get(e.Key); ok {
		outcome.Body = body
	} else if outcome.Run == RunDone {
		outcome.BodyOmitted = true
	}
	r.Outcome = &outcome
	return r
}

// dropLedger frees the memory of a stream that is not followed any more. It is
// read again when the partition is next held.
func (m *Machine) dropLedger() {
	if m.held || !m.Idle() || m.log.reading {
		return
	}
	m.ledger = NewLedger()
	m.log.caughtUp = false
	m.log.target = 0
	m.log.segments = nil
}

func (m *Machine) forgetTickets(now time.Time) {
	for k, t := range m.tickets {
		if now.Sub(t.minted) > m.cfg.Window+m.margin() {
			delete(m.tickets, k)
		}
	}
}
