package orders

import (
	"slices"
	"time"
)

// localState is the progress of an order that this router has an intent for.
type localState uint8

// States of a local order.
const (
	// localWaiting means that the intent is on its way to the log.
	localWaiting localState = iota
	// localRunning means that the order was handed to a target.
	localRunning
	// localOver means that the outcome is known here, but not yet in the
	// ledger.
	localOver
)

// local is an order that this router has an intent for.
type local struct {
	identity Identity
	nonce    Nonce
	state    localState
	ticket   bool
	until    time.Time
	// patience is when a ticket runs without the log.
	patience time.Time
	outcome  Outcome
}

// refusal is a submission that gets no run. It waits for a confirmation, to
// learn whether "not run" is true.
type refusal struct {
	submit Submit
	reason Reason
	round  uint64
}

// submit takes an order.
func (m *Machine) submit(now time.Time, s Submit) {
	if t := s.Key.Ticket; t != nil && m.ownTicket(t) {
		m.submitTicket(now, s)
		return
	}
	switch {
	case !m.held:
		m.answer(s.ID, Reply{Run: RunUnknown, Reason: ReasonNotOwner})
	case m.IsActiveOwner():
		m.admit(now, s)
	case m.closing:
		m.refuse(s, ReasonDraining)
	case m.log.down:
		m.refuse(s, ReasonLogUnavailable)
	default:
		m.expect(s.Deadline)
		m.parked = append(m.parked, s)
	}
}

// admit takes an order under the active claim.
func (m *Machine) admit(now time.Time, s Submit) {
	k := s.Key.Key
	if l := m.local[k]; l != nil {
		m.join(s, l)
		return
	}
	if e := m.ledger.Entry(k); e != nil && m.answerEntry(now, s, e) {
		return
	}
	if r := m.obstacle(now, s); r != ReasonNone {
		m.refuse(s, r)
		return
	}
	m.start(now, s, m.claim.offset, false)
}

// obstacle returns the reason why a free order may not run.
func (m *Machine) obstacle(now time.Time, s Submit) Reason {
	minted := s.Key.Minted
	switch {
	case now.Sub(minted) > m.cfg.Window:
		return ReasonKeyExpired
	case minted.Sub(now) > m.cfg.MaxKeyAhead:
		return ReasonKeyInFuture
	case s.Key.Ticket != nil && !m.closedClaim(s.Key.Ticket.Claim):
		return ReasonForeignTicket
	case !m.ledger.Covers(minted, m.margin()):
		return ReasonKeyExpired
	case m.closing:
		return ReasonDraining
	case m.log.down:
		return ReasonLogUnavailable
	case m.outbox.size() >= m.cfg.MaxQueue:
		return ReasonOverloaded
	case !now.Before(s.Deadline):
		return ReasonDeadline
	default:
		return ReasonNone
	}
}

func (m *Machine) margin() time.Duration { return m.cfg.MaxKeyAhead + m.cfg.MaxClockSkew }

func (m *Machine) closedClaim(offset uint64) bool {
	_, ok := m.ledger.closed[offset]
	return ok
}

// join lets a submission wait for an order that this router has started.
func (m *Machine) join(s Submit, l *local) {
	switch {
	case l.identity != s.Identity:
		m.answer(s.ID, Reply{Run: RunNot, Reason: ReasonKeyReused})
	case l.freed() && m.log.down:
		m.refuse(s, ReasonLogUnavailable)
	case l.state == localOver && !l.freed():
		m.answer(s.ID, m.outcomeReply(s.Key.Key, l.outcome, true))
	default:
		m.wait(s)
	}
}

// freed reports whether the order was not sent and its release is on the way
// to the log. Once the release is read, the order may run again.
func (l *local) freed() bool { return l.state == localOver && l.outcome.Run == RunNot }

func (m *Machine) wait(s Submit) {
	m.expect(s.Deadline)
	m.waiting[s.Key.Key] = append(m.waiting[s.Key.Key], s)
}

// answerEntry answers a submission from the ledger, or lets it wait for
// another router. It reports false for a free order.
func (m *Machine) answerEntry(now time.Time, s Submit, e *Entry) bool {
	if e.Identity != (Identity{}) && e.Identity != s.Identity {
		m.answer(s.ID, Reply{Run: RunNot, Reason: ReasonKeyReused})
		return true
	}
	switch e.Phase {
	case PhaseFree:
		return false
	case PhaseOpen:
		m.lookLater(now, e.Key, e.Identity)
		if now.Before(e.SendDeadline.Add(m.cfg.MaxClockSkew)) {
			m.wait(s)
			return true
		}
		m.answer(s.ID, Reply{Run: RunUnknown, Reason: ReasonOutcomeUnknown})
	case PhaseUnknown:
		m.lookLater(now, e.Key, e.Identity)
		m.answer(s.ID, Reply{Run: RunUnknown, Reason: ReasonOutcomeUnknown})
	case PhaseDone, PhaseSettled:
		m.answer(s.ID, m.entryReply(e))
	}
	return true
}

// entryReply is the answer that the ledger holds.
func (m *Machine) entryReply(e *Entry) Reply {
	r := m.outcomeReply(e.Key, e.Outcome, true)
	r.Operator = e.Operator
	if r.Run == RunDone && r.Outcome.Body == nil && !e.Outcome.BodyOmitted && e.Phase == PhaseDone {
		r.BodyInLog = true
		r.Offset = e.Offset
	}
	return r
}

// outcomeReply is the answer for a known outcome.
func (m *Machine) outcomeReply(k Key, o Outcome, repeat bool) Reply {
	r := Reply{Run: o.Run, Outcome: o, Replayed: repeat}
	switch o.Run {
	case RunNot:
		r.Reason = ReasonDispatchFailed
	case RunUnknown:
		r.Reason = ReasonOutcomeUnknown
	case RunDone:
		if body, ok := m.answers.Get(k); ok {
			r.Outcome.Body = body
		}
	}
	return r
}

// start queues an intent for the order.
func (m *Machine) start(now time.Time, s Submit, claim uint64, ticket bool) *local {
	l := &local{
		identity: s.Identity,
		nonce:    m.nonce(),
		ticket:   ticket,
		until:    s.Deadline,
		patience: now.Add(ticketPatience),
	}
	m.local[s.Key.Key] = l
	m.wait(s)
	r := m.orderRecord(KindIntent, s.Key.Key, s.Identity, l.nonce)
	r.Claim = claim
	r.SendDeadlineMS = l.until.UnixMilli()
	m.outbox.push(now, r, true)
	return l
}

func (m *Machine) orderRecord(kind Kind, k Key, id Identity, n Nonce) Record {
	r := m.record(kind, n)
	r.Key = k
	r.Identity = id
	return r
}

// refuse answers a submission that gets no run once it is known whether the
// order had run before. Without an active claim that cannot be known.
func (m *Machine) refuse(s Submit, reason Reason) {
	if reason == ReasonKeyExpired || reason == ReasonForeignTicket || !m.IsActiveOwner() {
		m.answer(s.ID, refusalReply(RunUnknown, reason))
		return
	}
	m.refusals = append(m.refusals, refusal{submit: s, reason: reason})
}

func refusalReply(run Run, reason Reason) Reply {
	r := Reply{Run: run, Reason: reason}
	switch reason {
	case ReasonLogUnavailable, ReasonOverloaded, ReasonDraining:
		r.RetryAfter = retryAfter
	}
	return r
}

// endRefusals answers the refusals whose confirmation has come. The refused
// order has not run when this router was the only one that could have run it,
// and has not.
func (m *Machine) endRefusals(now time.Time, in OwnershipConfirmation) {
	waiting := m.refusals
	m.refusals = nil
	for _, r := range waiting {
		switch {
		case r.round == 0 || r.round > in.Round:
			m.refusals = append(m.refusals, r)
		case !in.OK || !m.IsActiveOwner():
			m.answer(r.submit.ID, refusalReply(RunUnknown, r.reason))
		default:
			m.endRefusal(now, r)
		}
	}
}

func (m *Machine) endRefusal(now time.Time, r refusal) {
	k := r.submit.Key.Key
	l := m.local[k]
	if l != nil && !l.freed() {
		m.join(r.submit, l)
		return
	}
	if e := m.ledger.Entry(k); l == nil && e != nil && m.answerEntry(now, r.submit, e) {
		return
	}
	run := RunNot
	if !m.ledger.Covers(r.submit.Key.Minted, m.margin()) {
		run = RunUnknown
	}
	m.answer(r.submit.ID, refusalReply(run, r.reason))
}

func (m *Machine) refuseParked(reason Reason) {
	parked := m.parked
	m.parked = nil
	for _, s := range parked {
		m.refuse(s, reason)
	}
}

// giveUp ends a local order that was not sent. Its nonce is never used.
func (m *Machine) giveUp(now time.Time, k Key, reason Reason) {
	m.abandon(now, k)
	m.refuseWaiting(k, reason)
}

func (m *Machine) refuseWaiting(k Key, reason Reason) {
	waiters := m.waiting[k]
	delete(m.waiting, k)
	for _, s := range waiters {
		m.refuse(s, reason)
	}
}

// abandon drops the intent of a local order, which was not sent and never
// will be under its nonce.
func (m *Machine) abandon(now time.Time, k Key) {
	l := m.local[k]
	delete(m.local, k)
	if m.outbox.unsent(l.nonce, KindIntent) {
		return
	}
	m.outbox.push(now, m.orderRecord(KindReleased, k, l.identity, l.nonce), false)
}

// cancel forgets a submission whose caller is gone.
func (m *Machine) cancel(id SubmitID) {
	gone := func(s Submit) bool { return s.ID == id }
	m.parked = slices.DeleteFunc(m.parked, gone)
	m.refusals = slices.DeleteFunc(m.refusals, func(r refusal) bool { return r.submit.ID == id })
	for k, waiters := range m.waiting {
		left := slices.DeleteFunc(slices.Clone(waiters), gone)
		if len(left) == len(waiters) {
			continue
		}
		m.waiting[k] = left
		if len(left) == 0 {
			delete(m.waiting, k)
		}
	}
	for n, s := range m.settles {
		if s.ID == id {
			delete(m.settles, n)
		}
	}
}
