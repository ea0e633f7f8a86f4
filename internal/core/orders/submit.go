package orders

import (
	"slices"
	"time"
)

// localState is the progress of an order for which this router has written an
// intent.
type localState uint8

// States of a local order.
const (
	// localAwaitingIntent means that the intent is not known to be in the log
	// yet.
	localAwaitingIntent localState = iota
	// localDispatched means that the order was dispatched and has no outcome
	// yet.
	localDispatched
	// localFinished means that this router knows the outcome, but the ledger
	// does not yet.
	localFinished
)

// localOrder is an order for which this router has written an intent.
type localOrder struct {
	identity     Identity
	nonce        Nonce
	state        localState
	ticket       bool
	sendDeadline time.Time
	// logWaitDeadline is when a ticket is dispatched without waiting for the
	// log any longer.
	logWaitDeadline time.Time
	outcome         Outcome
}

// refusal is a submission that does not run. Its reply waits for a
// confirmation of ownership, because only that shows whether the order has not
// run at another router either.
type refusal struct {
	submit Submit
	reason Reason
	round  uint64
}

// submit handles a new submission.
func (m *Machine) submit(now time.Time, s Submit) {
	if t := s.Key.Ticket; t != nil && m.isOwnTicket(t) {
		m.submitTicket(now, s)
		return
	}
	switch {
	case !m.held:
		m.sendReply(s.ID, Reply{Run: RunUnknown, Reason: ReasonNotOwner})
	case m.IsActiveOwner():
		m.admit(now, s)
	case m.draining:
		m.refuse(s, ReasonDraining)
	case m.log.down:
		m.refuse(s, ReasonLogUnavailable)
	default:
		m.scheduleExpiry(s.Deadline)
		m.awaitingClaim = append(m.awaitingClaim, s)
	}
}

// admit handles a submission under the active claim.
func (m *Machine) admit(now time.Time, s Submit) {
	k := s.Key.Key
	if l := m.localOrders[k]; l != nil {
		m.joinOrder(s, l)
		return
	}
	if e := m.ledger.Entry(k); e != nil && m.replyFromEntry(now, s, e) {
		return
	}
	if r := m.refusalReason(now, s); r != ReasonNone {
		m.refuse(s, r)
		return
	}
	m.startOrder(now, s, m.claim.offset, false)
}

// refusalReason returns why a free order may not run, or ReasonNone when it
// may.
func (m *Machine) refusalReason(now time.Time, s Submit) Reason {
	minted := s.Key.Minted
	switch {
	case now.Sub(minted) > m.cfg.Window:
		return ReasonKeyExpired
	case minted.Sub(now) > m.cfg.MaxKeyAhead:
		return ReasonKeyInFuture
	case s.Key.Ticket != nil && !m.claimClosed(s.Key.Ticket.Claim):
		return ReasonForeignTicket
	case !m.ledger.Covers(minted, m.clockMargin()):
		return ReasonKeyExpired
	case m.draining:
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

func (m *Machine) clockMargin() time.Duration { return m.cfg.MaxKeyAhead + m.cfg.MaxClockSkew }

func (m *Machine) claimClosed(offset uint64) bool {
	_, ok := m.ledger.closedClaims[offset]
	return ok
}

// joinOrder adds a submission to an order that this router has started, or
// replies when the outcome is known.
func (m *Machine) joinOrder(s Submit, l *localOrder) {
	switch {
	case l.identity != s.Identity:
		m.sendReply(s.ID, Reply{Run: RunNot, Reason: ReasonKeyReused})
	case l.releasePending() && m.log.down:
		m.refuse(s, ReasonLogUnavailable)
	case l.state == localFinished && !l.releasePending():
		m.sendReply(s.ID, m.outcomeReply(s.Key.Key, l.outcome, true))
	default:
		m.addWaiter(s)
	}
}

// releasePending reports whether the order was not sent and its release is not
// in the ledger yet. Once the release is applied, the order may run again.
func (l *localOrder) releasePending() bool {
	return l.state == localFinished && l.outcome.Run == RunNot
}

func (m *Machine) addWaiter(s Submit) {
	m.scheduleExpiry(s.Deadline)
	m.waiters[s.Key.Key] = append(m.waiters[s.Key.Key], s)
}

// replyFromEntry replies to a submission from the ledger, or lets it wait for
// the outcome of another router. It returns false for a free order.
func (m *Machine) replyFromEntry(now time.Time, s Submit, e *Entry) bool {
	if e.Identity != (Identity{}) && e.Identity != s.Identity {
		m.sendReply(s.ID, Reply{Run: RunNot, Reason: ReasonKeyReused})
		return true
	}
	switch e.Phase {
	case PhaseFree:
		return false
	case PhaseOpen:
		m.scheduleLookup(now, e.Key, e.Identity)
		if now.Before(e.SendDeadline.Add(m.cfg.MaxClockSkew)) {
			m.addWaiter(s)
			return true
		}
		m.sendReply(s.ID, Reply{Run: RunUnknown, Reason: ReasonOutcomeUnknown})
	case PhaseUnknown:
		m.scheduleLookup(now, e.Key, e.Identity)
		m.sendReply(s.ID, Reply{Run: RunUnknown, Reason: ReasonOutcomeUnknown})
	case PhaseDone, PhaseSettled:
		m.sendReply(s.ID, m.entryReply(e))
	}
	return true
}

// entryReply returns the reply for an order whose outcome is in the ledger.
func (m *Machine) entryReply(e *Entry) Reply {
	r := m.outcomeReply(e.Key, e.Outcome, true)
	r.Operator = e.Operator
	if r.Run == RunDone && r.Outcome.Body == nil && !e.Outcome.BodyOmitted && e.Phase == PhaseDone {
		r.BodyInLog = true
		r.Offset = e.Offset
	}
	return r
}

// outcomeReply returns the reply for an outcome, with the body when it is in
// memory.
func (m *Machine) outcomeReply(k Key, o Outcome, replayed bool) Reply {
	r := Reply{Run: o.Run, Outcome: o, Replayed: replayed}
	switch o.Run {
	case RunNot:
		r.Reason = ReasonDispatchFailed
	case RunUnknown:
		r.Reason = ReasonOutcomeUnknown
	case RunDone:
		if body, ok := m.responses.Get(k); ok {
			r.Outcome.Body = body
		}
	}
	return r
}

// startOrder queues an intent for the order.
func (m *Machine) startOrder(now time.Time, s Submit, claim uint64, ticket bool) *localOrder {
	l := &localOrder{
		identity:        s.Identity,
		nonce:           m.nonce(),
		ticket:          ticket,
		sendDeadline:    s.Deadline,
		logWaitDeadline: now.Add(ticketLogWait),
	}
	m.localOrders[s.Key.Key] = l
	m.addWaiter(s)
	r := m.orderRecord(KindIntent, s.Key.Key, s.Identity, l.nonce)
	r.Claim = claim
	r.SendDeadlineMS = l.sendDeadline.UnixMilli()
	m.outbox.push(now, r, true)
	return l
}

func (m *Machine) orderRecord(kind Kind, k Key, id Identity, n Nonce) Record {
	r := m.record(kind, n)
	r.Key = k
	r.Identity = id
	return r
}

// refuse replies to a submission that does not run. While the machine is the
// active owner, the reply waits for a confirmation that the order has not run
// before. Without an active claim, or for keys whose records may be missing
// here, the reply is that the outcome is unknown.
func (m *Machine) refuse(s Submit, reason Reason) {
	if reason == ReasonKeyExpired || reason == ReasonForeignTicket || !m.IsActiveOwner() {
		m.sendReply(s.ID, refusalReply(RunUnknown, reason))
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

// resolveRefusals replies to the refusals whose confirmation has arrived. A
// refused order has not run when this router was the only one that could have
// run it and did not.
func (m *Machine) resolveRefusals(now time.Time, in OwnershipConfirmation) {
	waiting := m.refusals
	m.refusals = nil
	for _, r := range waiting {
		switch {
		case r.round == 0 || r.round > in.Round:
			m.refusals = append(m.refusals, r)
		case !in.OK || !m.IsActiveOwner():
			m.sendReply(r.submit.ID, refusalReply(RunUnknown, r.reason))
		default:
			m.resolveRefusal(now, r)
		}
	}
}

func (m *Machine) resolveRefusal(now time.Time, r refusal) {
	k := r.submit.Key.Key
	l := m.localOrders[k]
	if l != nil && !l.releasePending() {
		m.joinOrder(r.submit, l)
		return
	}
	if e := m.ledger.Entry(k); l == nil && e != nil && m.replyFromEntry(now, r.submit, e) {
		return
	}
	run := RunNot
	if !m.ledger.Covers(r.submit.Key.Minted, m.clockMargin()) {
		run = RunUnknown
	}
	m.sendReply(r.submit.ID, refusalReply(run, r.reason))
}

func (m *Machine) refuseAwaitingClaim(reason Reason) {
	submits := m.awaitingClaim
	m.awaitingClaim = nil
	for _, s := range submits {
		m.refuse(s, reason)
	}
}

// abandonAndRefuse ends a local order that was not sent and refuses its
// waiters. Its nonce is not used again.
func (m *Machine) abandonAndRefuse(now time.Time, k Key, reason Reason) {
	m.abandonIntent(now, k)
	m.refuseWaiters(k, reason)
}

func (m *Machine) refuseWaiters(k Key, reason Reason) {
	waiters := m.waiters[k]
	delete(m.waiters, k)
	for _, s := range waiters {
		m.refuse(s, reason)
	}
}

// abandonIntent withdraws the intent of a local order that was not sent, or
// queues its release when the intent may be in the log.
func (m *Machine) abandonIntent(now time.Time, k Key) {
	l := m.localOrders[k]
	delete(m.localOrders, k)
	if m.outbox.withdraw(l.nonce, KindIntent) {
		return
	}
	m.outbox.push(now, m.orderRecord(KindReleased, k, l.identity, l.nonce), false)
}

// cancel removes a submission whose caller is gone.
func (m *Machine) cancel(id SubmitID) {
	canceled := func(s Submit) bool { return s.ID == id }
	m.awaitingClaim = slices.DeleteFunc(m.awaitingClaim, canceled)
	m.refusals = slices.DeleteFunc(m.refusals, func(r refusal) bool { return r.submit.ID == id })
	for k, waiters := range m.waiters {
		remaining := slices.DeleteFunc(slices.Clone(waiters), canceled)
		if len(remaining) == len(waiters) {
			continue
		}
		m.waiters[k] = remaining
		if len(remaining) == 0 {
			delete(m.waiters, k)
		}
	}
	for n, s := range m.settlements {
		if s.ID == id {
			delete(m.settlements, n)
		}
	}
}
