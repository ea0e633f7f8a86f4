package orders

import (
	"time"
)

// claimPhase is the progress of an exclusive claim.
type claimPhase uint8

// Phases of an exclusive claim.
const (
	claimNone claimPhase = iota
	// claimSent means that the claim is on its way to the log.
	claimSent
	// claimRead means that it was read as the newest one.
	claimRead
	// claimActive means that the partition was still held after it was read,
	// so no other router can have an active claim that is newer.
	claimActive
)

// claimState is what the machine knows of its own claims.
type claimState struct {
	phase   claimPhase
	nonce   Nonce
	offset  uint64
	retryAt time.Time
	// asked is the confirmation that the claim waits for.
	asked uint64
	// own holds the offsets of all claims of this process; ticket is the one
	// that new tickets carry.
	own         map[uint64]struct{}
	ticket      uint64
	ticketAsked bool
}

// planClaim claims the partition when it is held, and the right to mint
// tickets when it is wanted.
func (m *Machine) planClaim(now time.Time) {
	if m.closing {
		return
	}
	if m.held && m.claim.phase == claimNone && !m.log.down && !now.Before(m.claim.retryAt) {
		m.claim.phase = claimSent
		m.claim.nonce = m.nonce()
		m.pushClaim(now, m.claim.nonce, true)
	}
	if m.cfg.MintsTickets && !m.claim.ticketAsked && len(m.claim.own) == 0 && !m.held {
		m.claim.ticketAsked = true
		m.pushClaim(now, m.nonce(), false)
	}
}

func (m *Machine) pushClaim(now time.Time, n Nonce, exclusive bool) {
	r := m.record(KindClaim, n)
	r.Exclusive = exclusive
	m.outbox.push(now, r, true)
}

// record returns a record of this router.
func (m *Machine) record(k Kind, n Nonce) Record {
	return Record{Kind: k, Nonce: n, Router: m.cfg.Router, Incarnation: m.cfg.Incarnation}
}

// claimRecorded lets tickets be minted under the claim.
func (m *Machine) claimRecorded(offset uint64, _ *Record) {
	m.claim.own[offset] = struct{}{}
	m.claim.ticket = offset
}

// claimSeen follows which claim is the newest.
func (m *Machine) claimSeen(now time.Time, rec *LoggedRecord) {
	r := &rec.Record
	if !r.Exclusive {
		return
	}
	if m.claim.phase != claimNone && r.Nonce == m.claim.nonce {
		m.claim.phase = claimRead
		m.claim.offset = rec.Offset
		m.claim.asked = 0
		return
	}
	m.dropClaim(now)
}

// dropClaim forgets a claim that does not stand any more.
func (m *Machine) dropClaim(now time.Time) {
	if m.claim.phase == claimSent {
		return // it is not in the log yet, and will be the newer one
	}
	m.claim.phase = claimNone
	m.claim.retryAt = now.Add(claimRetry)
}

// owned follows the ownership of the partition. Each tenure needs a claim of
// its own, because others may have claimed and run orders between two.
func (m *Machine) owned(held bool) {
	m.held = held
	m.claim.phase = claimNone
	m.claim.retryAt = time.Time{}
	if held {
		return
	}
	left := m.parked
	m.parked = nil
	for _, k := range sortedKeys(m.waiting) {
		if m.local[k] == nil {
			left = append(left, m.waiting[k]...)
			delete(m.waiting, k)
		}
	}
	for _, s := range left {
		m.answer(s.ID, Reply{Run: RunUnknown, Reason: ReasonNotOwner})
	}
}

// planConfirm asks for a confirmation that begins after all refusals that wait
// for one have arrived, and after the claim was read.
func (m *Machine) planConfirm(now time.Time) {
	if m.confirming {
		return
	}
	next := m.round + 1
	wanted := false
	for i := range m.refusals {
		if m.refusals[i].round == 0 {
			m.refusals[i].round = next
			wanted = true
		}
	}
	if m.held && m.claim.phase == claimRead && m.claim.asked == 0 && !now.Before(m.claim.retryAt) {
		m.claim.asked = next
		wanted = true
	}
	if wanted {
		m.round = next
		m.confirming = true
		m.emit(ConfirmOwnership{Round: next})
	}
}

// confirmed activates the claim and ends the refusals that waited for it.
func (m *Machine) confirmed(now time.Time, in OwnershipConfirmation) {
	if in.Round != m.round || !m.confirming {
		return
	}
	m.confirming = false
	m.endRefusals(now, in)
	if m.claim.phase != claimRead || m.claim.asked != in.Round {
		return
	}
	if !in.OK {
		m.claim.asked = 0
		m.claim.retryAt = now.Add(claimRetry)
		return
	}
	m.claim.phase = claimActive
	parked := m.parked
	m.parked = nil
	for _, s := range parked {
		m.submit(now, s)
	}
}

// startClosing takes no more orders.
func (m *Machine) startClosing(now time.Time) {
	m.closing = true
	m.refuseParked(ReasonDraining)
	m.planClose(now)
}

// planClose closes the claims of this router once all that ran under them is
// recorded.
func (m *Machine) planClose(now time.Time) {
	if !m.closing || m.closeQueued || !m.Idle() {
		return
	}
	m.closeQueued = true
	for _, offset := range sortedKeys(m.claim.own) {
		r := m.record(KindCloseClaim, m.nonce())
		r.Claim = offset
		m.outbox.push(now, r, true)
	}
}

// Mint returns at most n tickets, and none when no claim of this router is in
// the log.
func (m *Machine) Mint(now time.Time, n int) []Key {
	if len(m.claim.own) == 0 || m.closing {
		return nil
	}
	keys := make([]Key, 0, n)
	for range n {
		m.seq++
		t := Ticket{
			Partition: m.cfg.Partition,
			Claim:     m.claim.ticket,
			Router:    m.cfg.Router,
			MintedMS:  now.UnixMilli(),
			Serial:    m.seq,
		}
		keys = append(keys, t.Key())
	}
	return keys
}
