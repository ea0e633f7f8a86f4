package orders

import (
	"time"
)

// finishedTicket is a ticket of this process's claims that was dispatched.
type finishedTicket struct {
	identity Identity
	nonce    Nonce
	minted   time.Time
	outcome  Outcome
}

// isOwnTicket reports whether this process is the only one that may run the
// ticket.
func (m *Machine) isOwnTicket(t *Ticket) bool {
	if t.Router != m.cfg.Router || t.Partition != m.cfg.Partition {
		return false
	}
	_, own := m.claim.offsets[t.Claim]
	return own
}

// submitTicket handles a submission whose key is a ticket of this process.
// This process knows everything that happened to the order, so it needs no log
// to decide.
func (m *Machine) submitTicket(now time.Time, s Submit) {
	k := s.Key.Key
	if l := m.localOrders[k]; l != nil {
		m.joinOrder(s, l)
		return
	}
	if t := m.finishedTickets[k]; t != nil {
		m.replyFromTicket(now, s, t)
		return
	}
	switch {
	case now.Sub(s.Key.Minted) > m.cfg.Window:
		m.sendReply(s.ID, refusalReply(RunUnknown, ReasonKeyExpired))
	case s.Key.Minted.Sub(now) > m.cfg.MaxKeyAhead:
		m.sendReply(s.ID, refusalReply(RunNot, ReasonKeyInFuture))
	case m.draining:
		m.sendReply(s.ID, refusalReply(m.drainingTicketRun(), ReasonDraining))
	case m.outbox.size() >= m.cfg.MaxQueue:
		m.sendReply(s.ID, refusalReply(RunNot, ReasonOverloaded))
	case !now.Before(s.Deadline):
		m.sendReply(s.ID, refusalReply(RunNot, ReasonDeadline))
	default:
		m.startTicket(now, s)
	}
}

// drainingTicketRun returns what is known of an unused ticket while the
// machine drains. Once the closing of the claim is queued, another router may
// run the ticket.
func (m *Machine) drainingTicketRun() Run {
	if m.closeQueued {
		return RunUnknown
	}
	return RunNot
}

func (m *Machine) startTicket(now time.Time, s Submit) {
	l := m.startOrder(now, s, s.Key.Ticket.Claim, true)
	if m.log.down {
		m.dispatchTicket(now, s.Key.Key, l)
		return
	}
	m.scheduleExpiry(l.logWaitDeadline)
}

func (m *Machine) replyFromTicket(now time.Time, s Submit, t *finishedTicket) {
	if t.identity != s.Identity {
		m.sendReply(s.ID, Reply{Run: RunNot, Reason: ReasonKeyReused})
		return
	}
	r := m.outcomeReply(s.Key.Key, t.outcome, true)
	if r.Run == RunUnknown {
		m.scheduleLookup(now, s.Key.Key, t.identity)
	}
	if e := m.ledger.Entry(s.Key.Key); e != nil && (e.Phase == PhaseDone || e.Phase == PhaseSettled) {
		r = m.entryReply(e)
	}
	m.sendReply(s.ID, r)
}

// dispatchTicket sends an order whose key is a ticket of this process, unless
// its deadline has passed or nobody waits for it.
func (m *Machine) dispatchTicket(now time.Time, k Key, l *localOrder) {
	waiters := m.waiters[k]
	if len(waiters) == 0 || !now.Before(l.sendDeadline) {
		m.finish(now, k, l, Outcome{Run: RunNot})
		return
	}
	l.state = localDispatched
	m.emit(Dispatch{ID: waiters[0].ID, Key: k, Nonce: l.nonce})
}

// finishTicket moves a dispatched ticket from the local orders to the finished
// tickets. A ticket that was not sent may be submitted again.
func (m *Machine) finishTicket(k Key, l *localOrder) {
	delete(m.localOrders, k)
	if l.outcome.Run == RunNot {
		return
	}
	m.finishedTickets[k] = &finishedTicket{
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
