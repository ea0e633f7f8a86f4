package orders

import (
	"time"
)

// ticketRun is a ticket of this router's own claims that has run.
type ticketRun struct {
	identity Identity
	nonce    Nonce
	minted   time.Time
	outcome  Outcome
}

// ownTicket reports whether only this process may run the ticket.
func (m *Machine) ownTicket(t *Ticket) bool {
	if t.Router != m.cfg.Router || t.Partition != m.cfg.Partition {
		return false
	}
	_, own := m.claim.own[t.Claim]
	return own
}

// submitTicket takes an order whose key this router has minted. All that ever
// happened to it is in this router's memory, with the log or without.
func (m *Machine) submitTicket(now time.Time, s Submit) {
	k := s.Key.Key
	if l := m.local[k]; l != nil {
		m.join(s, l)
		return
	}
	if t := m.tickets[k]; t != nil {
		m.answerTicket(now, s, t)
		return
	}
	switch {
	case now.Sub(s.Key.Minted) > m.cfg.Window:
		m.answer(s.ID, refusalReply(RunUnknown, ReasonKeyExpired))
	case s.Key.Minted.Sub(now) > m.cfg.MaxKeyAhead:
		m.answer(s.ID, refusalReply(RunNot, ReasonKeyInFuture))
	case m.closing:
		m.answer(s.ID, refusalReply(m.ticketRunAfterClose(), ReasonDraining))
	case m.outbox.size() >= m.cfg.MaxQueue:
		m.answer(s.ID, refusalReply(RunNot, ReasonOverloaded))
	case !now.Before(s.Deadline):
		m.answer(s.ID, refusalReply(RunNot, ReasonDeadline))
	default:
		m.startTicket(now, s)
	}
}

// ticketRunAfterClose tells what is known of an unused ticket. Once the claim
// is being closed, another router may run it.
func (m *Machine) ticketRunAfterClose() Run {
	if m.closeQueued {
		return RunUnknown
	}
	return RunNot
}

func (m *Machine) startTicket(now time.Time, s Submit) {
	l := m.start(now, s, s.Key.Ticket.Claim, true)
	if m.log.down {
		m.runTicket(now, s.Key.Key, l)
		return
	}
	m.expect(l.patience)
}

func (m *Machine) answerTicket(now time.Time, s Submit, t *ticketRun) {
	if t.identity != s.Identity {
		m.answer(s.ID, Reply{Run: RunNot, Reason: ReasonKeyReused})
		return
	}
	r := m.outcomeReply(s.Key.Key, t.outcome, true)
	if r.Run == RunUnknown {
		m.lookLater(now, s.Key.Key, t.identity)
	}
	if e := m.ledger.Entry(s.Key.Key); e != nil && (e.Phase == PhaseDone || e.Phase == PhaseSettled) {
		r = m.entryReply(e)
	}
	m.answer(s.ID, r)
}

// runTicket sends an order whose key this router has minted.
func (m *Machine) runTicket(now time.Time, k Key, l *local) {
	waiters := m.waiting[k]
	if len(waiters) == 0 || !now.Before(l.until) {
		m.finish(now, k, l, Outcome{Run: RunNot})
		return
	}
	l.state = localRunning
	m.emit(Dispatch{ID: waiters[0].ID, Key: k, Nonce: l.nonce})
}

// finishTicket moves a ticket that has run from the local orders to the
// memory of this router. One that was not sent may be submitted again.
func (m *Machine) finishTicket(k Key, l *local) {
	delete(m.local, k)
	if l.outcome.Run == RunNot {
		return
	}
	m.tickets[k] = &ticketRun{
		identity: l.identity,
		nonce:    l.nonce,
		minted:   mintedOf(k),
		outcome:  l.outcome,
	}
}

func mintedOf(k Key) time.Time {
	parsed, err := ParseKey(string(k))
	if err != nil {
		return time.Time{}
	}
	return parsed.Minted
}
