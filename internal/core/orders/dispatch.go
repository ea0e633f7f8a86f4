package orders

import (
	"time"
)

// intentApplied decides about a local order after its intent was read from the
// stream. won is true when the intent is the winning one.
func (m *Machine) intentApplied(now time.Time, r *Record, won bool) {
	l := m.localOrders[r.Key]
	if l == nil || l.ticket || l.nonce != r.Nonce || l.state != localAwaitingIntent {
		return
	}
	if won {
		m.dispatch(now, r.Key, l)
		return
	}
	e := m.ledger.Entry(r.Key)
	if e != nil && e.Phase == PhaseOpen && e.Nonce == l.nonce {
		return // duplicate of an intent that has already won
	}
	delete(m.localOrders, r.Key)
	m.resubmitWaiters(now, r.Key)
}

// resubmitWaiters handles the submissions that wait for an order as if they
// had just arrived.
func (m *Machine) resubmitWaiters(now time.Time, k Key) {
	waiters := m.waiters[k]
	delete(m.waiters, k)
	for _, s := range waiters {
		m.submit(now, s)
	}
}

// dispatch sends an order whose intent has won, unless its deadline has passed
// or nobody waits for it. When the key has expired, or records of an earlier
// intent may have been dropped from the log unread, the order is refused with
// an unknown outcome.
func (m *Machine) dispatch(now time.Time, k Key, l *localOrder) {
	waiters := m.waiters[k]
	if !m.mayDispatch(now, k) {
		m.abandonAndRefuse(now, k, ReasonKeyExpired)
		return
	}
	if len(waiters) == 0 || !now.Before(l.sendDeadline) {
		m.finish(now, k, l, Outcome{Run: RunNot})
		return
	}
	l.state = localDispatched
	m.emit(Dispatch{ID: waiters[0].ID, Key: k, Nonce: l.nonce})
}

// mayDispatch reports whether the key has not expired and no record about it
// can have been dropped from the log before this router read it.
func (m *Machine) mayDispatch(now time.Time, k Key) bool {
	e := m.ledger.Entry(k)
	return e != nil && now.Sub(e.Minted) <= m.cfg.Window && m.ledger.Covers(e.Minted, m.clockMargin())
}

// dispatchResult handles the outcome of a dispatch.
func (m *Machine) dispatchResult(now time.Time, in DispatchResult) {
	l := m.localOrders[in.Key]
	if l == nil || l.nonce != in.Nonce || l.state != localDispatched {
		return
	}
	m.finish(now, in.Key, l, in.Outcome)
}

// finish records the outcome of a local order and replies to its waiters.
func (m *Machine) finish(now time.Time, k Key, l *localOrder, o Outcome) {
	l.state = localFinished
	if o.Run == RunDone {
		m.responses.Add(k, o.Body)
	}
	m.recordOutcome(now, k, l, o)
	o.Body = nil
	l.outcome = o
	if l.ticket {
		m.finishTicket(k, l)
	}
	if o.Run == RunUnknown && len(m.waiters[k]) > 0 {
		m.startLookup(now, k, l.identity)
		return // the waiters get their replies after the lookup
	}
	m.replyToWaiters(k, o)
}

// replyToWaiters sends the outcome to all submissions that wait for the order.
func (m *Machine) replyToWaiters(k Key, o Outcome) {
	waiters := m.waiters[k]
	delete(m.waiters, k)
	for _, s := range waiters {
		m.sendReply(s.ID, m.outcomeReply(k, o, false))
	}
}

// recordOutcome queues the record of an outcome. The intent of a ticket that
// was never sent is withdrawn, because the outcome makes it needless. If that
// ticket did not run either, nothing is recorded.
func (m *Machine) recordOutcome(now time.Time, k Key, l *localOrder, o Outcome) {
	unsent := l.ticket && m.outbox.withdraw(l.nonce, KindIntent)
	kind := KindDone
	switch o.Run {
	case RunNot:
		if unsent {
			return
		}
		kind = KindReleased
	case RunUnknown:
		kind = KindUnknown
	}
	r := m.orderRecord(kind, k, l.identity, l.nonce)
	if kind != KindReleased {
		r.Outcome = &o
	}
	m.outbox.push(now, r, false)
}

// outcomeApplied completes settlements, local orders and submissions after a
// record about their order was read from the stream.
func (m *Machine) outcomeApplied(now time.Time, r *Record) {
	e := m.ledger.Entry(r.Key)
	if r.Outcome != nil && r.Outcome.Run == RunDone && r.Outcome.Body != nil {
		m.responses.Add(r.Key, r.Outcome.Body)
	}
	if s, ok := m.settlements[r.Nonce]; ok {
		delete(m.settlements, r.Nonce)
		m.sendReply(s.ID, m.entryReply(e))
	}
	l := m.localOrders[r.Key]
	if l != nil && !l.ticket && l.state == localFinished && (e.Phase != PhaseOpen || e.Nonce != l.nonce) {
		delete(m.localOrders, r.Key)
		l = nil
	}
	if l == nil && e.Phase != PhaseOpen {
		m.resubmitWaiters(now, r.Key)
	}
	if e.Phase == PhaseDone || e.Phase == PhaseSettled {
		delete(m.lookups, r.Key)
	}
}

// scheduledLookup is a series of lookups that asks the targets for the outcome
// of an order.
type scheduledLookup struct {
	identity Identity
	at       time.Time
	interval time.Duration
	attempts int
}

// scheduleLookup schedules lookups for an order, unless some are scheduled
// already. The first one is due after firstLookupDelay.
func (m *Machine) scheduleLookup(now time.Time, k Key, id Identity) {
	if _, ok := m.lookups[k]; ok {
		return
	}
	m.lookups[k] = scheduledLookup{identity: id, at: now.Add(firstLookupDelay), interval: firstLookupDelay}
}

// startLookup requests a lookup immediately and schedules the next ones.
func (m *Machine) startLookup(now time.Time, k Key, id Identity) {
	m.lookups[k] = scheduledLookup{identity: id, at: now.Add(firstLookupDelay), interval: firstLookupDelay}
	m.emit(Lookup{Key: k, Identity: id})
}

// emitDueLookups requests the lookups that are due, with a doubling interval.
// After the last attempt the entry is kept for one more interval, so that
// retries of the key do not start a new series at once.
func (m *Machine) emitDueLookups(now time.Time) {
	for _, k := range sortedKeys(m.lookups) {
		p := m.lookups[k]
		if now.Before(p.at) {
			continue
		}
		if p.attempts == maxLookupAttempts {
			delete(m.lookups, k)
			continue
		}
		p.attempts++
		p.interval *= 2
		p.at = now.Add(p.interval)
		m.lookups[k] = p
		m.emit(Lookup{Key: k, Identity: p.identity})
	}
}

// lookupResult handles the result of a lookup. Only a positive result is an
// outcome: a target that does not know the order may still receive it.
func (m *Machine) lookupResult(now time.Time, in LookupResult) {
	if !in.Found {
		if m.localOutcomeUnknown(in.Key) {
			m.replyToWaiters(in.Key, Outcome{})
		}
		return
	}
	p, ok := m.lookups[in.Key]
	if !ok {
		return
	}
	delete(m.lookups, in.Key)
	m.responses.Add(in.Key, in.Outcome.Body)
	m.outbox.push(now, m.lookupRecord(in, p.identity), false)
	in.Outcome.Body = nil
	unknown := m.localOutcomeUnknown(in.Key)
	if t := m.finishedTickets[in.Key]; t != nil {
		t.outcome = in.Outcome
	}
	if l := m.localOrders[in.Key]; l != nil && l.state == localFinished {
		l.outcome = in.Outcome
	}
	if unknown {
		m.replyToWaiters(in.Key, in.Outcome)
	}
}

// localOutcomeUnknown reports whether this router dispatched the order and did
// not learn its outcome.
func (m *Machine) localOutcomeUnknown(k Key) bool {
	if l := m.localOrders[k]; l != nil {
		return l.state == localFinished && l.outcome.Run == RunUnknown
	}
	t := m.finishedTickets[k]
	return t != nil && t.outcome.Run == RunUnknown
}

// lookupRecord returns the record of an outcome that a lookup found. It
// carries the nonce of the winning intent where that is known.
func (m *Machine) lookupRecord(in LookupResult, id Identity) Record {
	nonce := m.nonce()
	if t := m.finishedTickets[in.Key]; t != nil {
		nonce = t.nonce
	}
	if l := m.localOrders[in.Key]; l != nil {
		nonce = l.nonce
	}
	if e := m.ledger.Entry(in.Key); e != nil && e.Phase != PhaseFree {
		nonce = e.Nonce
	}
	r := m.orderRecord(KindDone, in.Key, id, nonce)
	r.Outcome = &in.Outcome
	return r
}
