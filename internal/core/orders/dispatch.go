package orders

import (
	"time"
)

// intentSeen decides a local order whose intent was read from the stream.
func (m *Machine) intentSeen(now time.Time, r *Record, stands bool) {
	l := m.local[r.Key]
	if l == nil || l.ticket || l.nonce != r.Nonce || l.state != localWaiting {
		return
	}
	if stands {
		m.run(now, r.Key, l)
		return
	}
	e := m.ledger.Entry(r.Key)
	if e != nil && e.Phase == PhaseOpen && e.Nonce == l.nonce {
		return // a second copy of an intent that stands
	}
	delete(m.local, r.Key)
	m.submitAgain(now, r.Key)
}

// submitAgain takes the waiting submissions of an order as if they had just
// arrived.
func (m *Machine) submitAgain(now time.Time, k Key) {
	waiters := m.waiting[k]
	delete(m.waiting, k)
	for _, s := range waiters {
		m.submit(now, s)
	}
}

// run sends an order whose intent stands, unless it is too late for it or
// nobody waits for it any more. When an earlier intent may have been dropped
// from the log, nothing is known of the order.
func (m *Machine) run(now time.Time, k Key, l *local) {
	waiters := m.waiting[k]
	if !m.fresh(now, k) {
		m.giveUp(now, k, ReasonKeyExpired)
		return
	}
	if len(waiters) == 0 || !now.Before(l.until) {
		m.finish(now, k, l, Outcome{Run: RunNot})
		return
	}
	l.state = localRunning
	m.emit(Dispatch{ID: waiters[0].ID, Key: k, Nonce: l.nonce})
}

// fresh reports whether the key may still run: it has not expired, and no
// record about it can have been dropped unread.
func (m *Machine) fresh(now time.Time, k Key) bool {
	e := m.ledger.Entry(k)
	return e != nil && now.Sub(e.Minted) <= m.cfg.Window && m.ledger.Covers(e.Minted, m.margin())
}

// dispatched takes the outcome of a dispatch.
func (m *Machine) dispatched(now time.Time, in DispatchResult) {
	l := m.local[in.Key]
	if l == nil || l.nonce != in.Nonce || l.state != localRunning {
		return
	}
	m.finish(now, in.Key, l, in.Outcome)
}

// finish records an outcome and answers those who wait for it.
func (m *Machine) finish(now time.Time, k Key, l *local, o Outcome) {
	l.state = localOver
	if o.Run == RunDone {
		m.answers.Add(k, o.Body)
	}
	m.recordOutcome(now, k, l, o)
	o.Body = nil
	l.outcome = o
	if l.ticket {
		m.finishTicket(k, l)
	}
	if o.Run == RunUnknown && len(m.waiting[k]) > 0 {
		m.lookNow(now, k, l.identity)
		return // the targets' word comes first
	}
	m.answerWaiting(k, o)
}

// answerWaiting answers all who wait for an order.
func (m *Machine) answerWaiting(k Key, o Outcome) {
	waiters := m.waiting[k]
	delete(m.waiting, k)
	for _, s := range waiters {
		m.answer(s.ID, m.outcomeReply(k, o, false))
	}
}

// recordOutcome queues the record of an outcome. When the intent of a ticket
// was never sent, the outcome makes it needless.
func (m *Machine) recordOutcome(now time.Time, k Key, l *local, o Outcome) {
	unsent := l.ticket && m.outbox.unsent(l.nonce, KindIntent)
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

// outcomeSeen ends what waits for the order once the stream shows more of it.
func (m *Machine) outcomeSeen(now time.Time, r *Record) {
	e := m.ledger.Entry(r.Key)
	if r.Outcome != nil && r.Outcome.Run == RunDone && r.Outcome.Body != nil {
		m.answers.Add(r.Key, r.Outcome.Body)
	}
	if s, ok := m.settles[r.Nonce]; ok {
		delete(m.settles, r.Nonce)
		m.answer(s.ID, m.entryReply(e))
	}
	l := m.local[r.Key]
	if l != nil && !l.ticket && l.state == localOver && (e.Phase != PhaseOpen || e.Nonce != l.nonce) {
		delete(m.local, r.Key)
		l = nil
	}
	if l == nil && e.Phase != PhaseOpen {
		m.submitAgain(now, r.Key)
	}
	if e.Phase == PhaseDone || e.Phase == PhaseSettled {
		delete(m.lookups, r.Key)
	}
}

// lookup is a plan to ask the targets for an outcome.
type lookup struct {
	identity Identity
	at       time.Time
	pause    time.Duration
	tries    int
}

// lookLater plans to ask the targets for the outcome of an order, unless that
// is planned already.
func (m *Machine) lookLater(now time.Time, k Key, id Identity) {
	if _, ok := m.lookups[k]; ok {
		return
	}
	m.lookups[k] = lookup{identity: id, at: now.Add(lookupFirst), pause: lookupFirst}
}

// lookNow asks the targets for the outcome of an order at once.
func (m *Machine) lookNow(now time.Time, k Key, id Identity) {
	m.lookups[k] = lookup{identity: id, at: now.Add(lookupFirst), pause: lookupFirst}
	m.emit(Lookup{Key: k, Identity: id})
}

// look asks for the outcomes that are due. After the last try a lookup stays
// noted for as long again, so that repeats of the key do not restart it at
// once.
func (m *Machine) look(now time.Time) {
	for _, k := range sortedKeys(m.lookups) {
		p := m.lookups[k]
		if now.Before(p.at) {
			continue
		}
		if p.tries == lookupTries {
			delete(m.lookups, k)
			continue
		}
		p.tries++
		p.pause *= 2
		p.at = now.Add(p.pause)
		m.lookups[k] = p
		m.emit(Lookup{Key: k, Identity: p.identity})
	}
}

// lookedUp takes the word of the targets. Only a yes is an outcome.
func (m *Machine) lookedUp(now time.Time, in LookupResult) {
	if !in.Found {
		if m.unknownHere(in.Key) {
			m.answerWaiting(in.Key, Outcome{})
		}
		return
	}
	p, ok := m.lookups[in.Key]
	if !ok {
		return
	}
	delete(m.lookups, in.Key)
	m.answers.Add(in.Key, in.Outcome.Body)
	m.outbox.push(now, m.foundRecord(in, p.identity), false)
	in.Outcome.Body = nil
	here := m.unknownHere(in.Key)
	if t := m.tickets[in.Key]; t != nil {
		t.outcome = in.Outcome
	}
	if l := m.local[in.Key]; l != nil && l.state == localOver {
		l.outcome = in.Outcome
	}
	if here {
		m.answerWaiting(in.Key, in.Outcome)
	}
}

// unknownHere reports whether this router sent the order and did not learn its
// outcome.
func (m *Machine) unknownHere(k Key) bool {
	if l := m.local[k]; l != nil {
		return l.state == localOver && l.outcome.Run == RunUnknown
	}
	t := m.tickets[k]
	return t != nil && t.outcome.Run == RunUnknown
}

// foundRecord says what a target has told, under the nonce that stands.
func (m *Machine) foundRecord(in LookupResult, id Identity) Record {
	nonce := m.nonce()
	if t := m.tickets[in.Key]; t != nil {
		nonce = t.nonce
	}
	if l := m.local[in.Key]; l != nil {
		nonce = l.nonce
	}
	if e := m.ledger.Entry(in.Key); e != nil && e.Phase != PhaseFree {
		nonce = e.Nonce
	}
	r := m.orderRecord(KindDone, in.Key, id, nonce)
	r.Outcome = &in.Outcome
	return r
}
