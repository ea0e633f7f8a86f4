package orders

import (
	"time"
)

// claimPhase is the progress of an exclusive claim.
type claimPhase uint8

// Phases of an exclusive claim.
const (
	claimNone claimPhase = iota
	// claimSent means that the record of the claim was queued or sent, and has
	// not been read from the log.
	claimSent
	// claimNewest means that the claim was read from the log as the newest
	// exclusive one.
	claimNewest
	// claimActive means that a confirmation started after the claim was read
	// has shown that this router still held the partition. No other router can
	// then have an active claim that is newer.
	claimActive
)

// claimState is the state of this router's claims to a partition.
type claimState struct {
	phase   claimPhase
	nonce   Nonce
	offset  uint64
	retryAt time.Time
	// confirmRound is the round of the confirmation that activates the claim,
	// or 0 when none was requested.
	confirmRound uint64
	// offsets holds the log offsets of all claims of this process. New tickets
	// carry the claim at ticketClaim.
	offsets         map[uint64]struct{}
	ticketClaim     uint64
	ticketClaimSent bool
}

// planClaim queues an exclusive claim when the router holds the partition, and
// a claim for tickets only when it mints tickets without holding it.
func (m *Machine) planClaim(now time.Time) {
	if m.draining {
		return
	}
	if m.held && m.claim.phase == claimNone && !m.log.down && !now.Before(m.claim.retryAt) {
		m.claim.phase = claimSent
		m.claim.nonce = m.nonce()
		m.pushClaim(now, m.claim.nonce, true)
	}
	if m.cfg.MintsTickets && !m.claim.ticketClaimSent && len(m.claim.offsets) == 0 && !m.held {
		m.claim.ticketClaimSent = true
		m.pushClaim(now, m.nonce(), false)
	}
}

func (m *Machine) pushClaim(now time.Time, n Nonce, exclusive bool) {
	r := m.record(KindClaim, n)
	r.Exclusive = exclusive
	m.outbox.push(now, r, true)
}

// record returns a record of kind k with this router's name and incarnation.
func (m *Machine) record(k Kind, n Nonce) Record {
	return Record{Kind: k, Nonce: n, Router: m.cfg.Router, Incarnation: m.cfg.Incarnation}
}

// claimRecorded lets tickets be minted under the claim at offset, which is now
// in the log.
func (m *Machine) claimRecorded(offset uint64, _ *Record) {
	m.claim.offsets[offset] = struct{}{}
	m.claim.ticketClaim = offset
}

// claimApplied updates the state of this router's exclusive claim from a claim
// that was read from the log.
func (m *Machine) claimApplied(now time.Time, rec *LoggedRecord) {
	r := &rec.Record
	if !r.Exclusive {
		return
	}
	if m.claim.phase != claimNone && r.Nonce == m.claim.nonce {
		m.claim.phase = claimNewest
		m.claim.offset = rec.Offset
		m.claim.confirmRound = 0
		return
	}
	m.invalidateClaim(now)
}

// invalidateClaim discards an exclusive claim that a newer one has superseded.
// The claim is tried again after claimRetryDelay.
func (m *Machine) invalidateClaim(now time.Time) {
	if m.claim.phase == claimSent {
		return // not in the log yet, so it will be the newer claim
	}
	m.claim.phase = claimNone
	m.claim.retryAt = now.Add(claimRetryDelay)
}

// ownershipChanged handles a change of the partition's owner. Each term of
// ownership needs a new claim, because other routers may have claimed the
// partition and run orders between two terms.
func (m *Machine) ownershipChanged(held bool) {
	m.held = held
	m.claim.phase = claimNone
	m.claim.retryAt = time.Time{}
	if held {
		return
	}
	dropped := m.awaitingClaim
	m.awaitingClaim = nil
	for _, k := range sortedKeys(m.waiters) {
		if m.localOrders[k] == nil {
			dropped = append(dropped, m.waiters[k]...)
			delete(m.waiters, k)
		}
	}
	for _, s := range dropped {
		m.sendReply(s.ID, Reply{Run: RunUnknown, Reason: ReasonNotOwner})
	}
}

// planConfirm requests a confirmation of ownership for the refusals that wait
// for one and for a claim that was read as the newest. One confirmation is
// under way at a time, and it serves only what was waiting when it started.
func (m *Machine) planConfirm(now time.Time) {
	if m.confirming {
		return
	}
	next := m.confirmRound + 1
	wanted := false
	for i := range m.refusals {
		if m.refusals[i].round == 0 {
			m.refusals[i].round = next
			wanted = true
		}
	}
	if m.held && m.claim.phase == claimNewest && m.claim.confirmRound == 0 && !now.Before(m.claim.retryAt) {
		m.claim.confirmRound = next
		wanted = true
	}
	if wanted {
		m.confirmRound = next
		m.confirming = true
		m.emit(ConfirmOwnership{Round: next})
	}
}

// ownershipConfirmed activates the claim and replies to the refusals that
// waited for this confirmation.
func (m *Machine) ownershipConfirmed(now time.Time, in OwnershipConfirmation) {
	if in.Round != m.confirmRound || !m.confirming {
		return
	}
	m.confirming = false
	m.resolveRefusals(now, in)
	if m.claim.phase != claimNewest || m.claim.confirmRound != in.Round {
		return
	}
	if !in.OK {
		m.claim.confirmRound = 0
		m.claim.retryAt = now.Add(claimRetryDelay)
		return
	}
	m.claim.phase = claimActive
	submits := m.awaitingClaim
	m.awaitingClaim = nil
	for _, s := range submits {
		m.submit(now, s)
	}
}

// startDrain stops accepting orders and closes the claims when they are no
// longer needed.
func (m *Machine) startDrain(now time.Time) {
	m.draining = true
	m.refuseAwaitingClaim(ReasonDraining)
	m.planCloseClaims(now)
}

// planCloseClaims queues the records that close this router's claims once the
// outcomes of all orders that ran under them are in the log.
func (m *Machine) planCloseClaims(now time.Time) {
	if !m.draining || m.closeQueued || !m.Idle() {
		return
	}
	m.closeQueued = true
	for _, offset := range sortedKeys(m.claim.offsets) {
		r := m.record(KindCloseClaim, m.nonce())
		r.Claim = offset
		m.outbox.push(now, r, true)
	}
}

// Mint returns n new tickets that are dated now, or none when no claim of this
// router is in the log or the machine is draining.
func (m *Machine) Mint(now time.Time, n int) []Key {
	if len(m.claim.offsets) == 0 || m.draining {
		return nil
	}
	keys := make([]Key, 0, n)
	for range n {
		m.seq++
		t := Ticket{
			Partition: m.cfg.Partition,
			Claim:     m.claim.ticketClaim,
			Router:    m.cfg.Router,
			MintedMS:  now.UnixMilli(),
			Serial:    m.seq,
		}
		keys = append(keys, t.Key())
	}
	return keys
}
