package orders

import (
	"slices"
	"time"
)

// logState is what the machine knows about the log service.
type logState struct {
	// down is true while the log does not respond.
	down      bool
	nextProbe time.Time
	// caughtUp is true once a read has reached the end of the stream.
	caughtUp bool
	// readTarget is the offset that reads must reach.
	readTarget   uint64
	reading      bool
	nextIdleRead time.Time
	// segments holds acknowledged appends whose records are not applied to the
	// ledger yet.
	segments []segment
}

// segment is a sequence of this router's records at known offsets.
type segment struct {
	first   uint64
	records []Record
}

func (s segment) end() uint64 { return s.first + uint64(len(s.records)) }

// needsStream reports whether the machine must read the stream. A machine that
// only runs its own tickets need not.
func (m *Machine) needsStream() bool {
	if m.held || len(m.settlements) > 0 {
		return true
	}
	for _, l := range m.localOrders {
		if !l.ticket {
			return true
		}
	}
	return false
}

// planAppend sends queued records within the append budget. While the log is
// unavailable, a machine that does not read the stream probes the log with one
// append at a time.
func (m *Machine) planAppend(now time.Time) {
	if !m.needsStream() {
		m.outbox.requeue(true) // no read will show whether they arrived
	}
	for len(m.outbox.queue) > 0 && len(m.outbox.inFlight) < m.inFlightLimit(now) {
		if !m.outbox.flushDue(now) {
			m.scheduleExpiry(m.outbox.queue[0].queuedAt.Add(maxFlushDelay))
			return
		}
		if !m.limiter.AllowN(now, 1) {
			return
		}
		m.emit(m.outbox.takeBatch())
	}
}

func (m *Machine) inFlightLimit(now time.Time) int {
	if !m.log.down {
		return maxInFlight
	}
	if m.needsStream() || now.Before(m.log.nextProbe) {
		return 0
	}
	return 1
}

// planRead issues a read when one is needed and none is in flight. It
// long-polls when it only waits for the outcome of another router.
func (m *Machine) planRead(now time.Time) {
	if m.log.reading || !m.needsStream() {
		return
	}
	if m.log.down && now.Before(m.log.nextProbe) {
		return
	}
	behind := !m.log.caughtUp || m.ledger.Next() < m.log.readTarget
	if behind && m.awaitsOwnSegment() {
		behind = false
	}
	idle := !now.Before(m.log.nextIdleRead)
	awaitsOther := m.awaitsOtherRouter()
	if !behind && !idle && !awaitsOther && len(m.outbox.unanswered) == 0 {
		return
	}
	wait := time.Duration(0)
	if awaitsOther && !behind && len(m.outbox.unanswered) == 0 {
		wait = longPollWait
	}
	m.log.reading = true
	m.outbox.markReadCovers()
	m.emit(Read{From: m.ledger.Next(), Wait: wait})
}

// awaitsOwnSegment reports whether the gap before the first segment may be
// filled by an append of this router that is still in flight. A read is then
// not needed yet.
func (m *Machine) awaitsOwnSegment() bool {
	return m.log.caughtUp && len(m.log.segments) > 0 && len(m.outbox.inFlight) > 0
}

// awaitsOtherRouter reports whether a submission waits for an order that
// another router runs.
func (m *Machine) awaitsOtherRouter() bool {
	for k := range m.waiters {
		if m.localOrders[k] == nil {
			return true
		}
	}
	return false
}

// appended stores the offsets of this router's records. Records that follow
// directly after the ledger's last record are applied without a read.
func (m *Machine) appended(now time.Time, in Appended) {
	f, ok := m.outbox.inFlight[in.Batch]
	if !ok {
		return
	}
	delete(m.outbox.inFlight, in.Batch)
	m.log.down = false
	s := segment{first: in.First, records: f.records}
	for i := range s.records {
		m.ownRecordLogged(now, s.first+uint64(i), &s.records[i])
	}
	if !m.needsStream() {
		return
	}
	m.log.readTarget = max(m.log.readTarget, s.end())
	m.log.segments = append(m.log.segments, s)
	m.applySegments(now)
}

// applySegments applies the segments that begin at or before the ledger's next
// offset.
func (m *Machine) applySegments(now time.Time) {
	slices.SortFunc(m.log.segments, func(a, b segment) int {
		if a.first < b.first {
			return -1
		}
		return 1
	})
	for len(m.log.segments) > 0 && m.log.caughtUp {
		s := m.log.segments[0]
		if s.first > m.ledger.Next() {
			return
		}
		m.log.segments = m.log.segments[1:]
		for i := range s.records {
			m.apply(now, &LoggedRecord{Offset: s.first + uint64(i), Time: now, Record: s.records[i]})
		}
	}
}

// appendLost keeps the records of the append until a read shows whether they
// arrived. A machine that does not read the stream sends them again.
func (m *Machine) appendLost(now time.Time, in AppendLost) {
	f, ok := m.outbox.inFlight[in.Batch]
	if !ok {
		return
	}
	delete(m.outbox.inFlight, in.Batch)
	for i := range f.items {
		f.items[i].readCovers = false
	}
	m.outbox.unanswered = append(m.outbox.unanswered, f.items...)
	if !m.needsStream() {
		m.setLogDown(now)
	}
}

// readPage applies the records of a page.
func (m *Machine) readPage(now time.Time, in ReadPage) {
	m.log.reading = false
	m.log.down = false
	m.log.nextIdleRead = now.Add(idleReadPeriod)
	if in.Earliest > m.ledger.Next() {
		historyStart := now
		if len(in.Records) > 0 {
			historyStart = in.Records[0].Time
		}
		m.ledger.Skip(in.Earliest, historyStart)
	}
	for i := range in.Records {
		m.apply(now, &in.Records[i])
	}
	if m.ledger.Next() >= in.Next {
		m.log.caughtUp = true
		m.outbox.requeue(false)
	}
	m.applySegments(now)
}

// readFailed marks the log as unavailable.
func (m *Machine) readFailed(now time.Time) {
	m.log.reading = false
	m.setLogDown(now)
}

// setLogDown marks the log as unavailable. It refuses the orders that need the
// log and dispatches the tickets that waited for it.
func (m *Machine) setLogDown(now time.Time) {
	m.log.down = true
	m.log.nextProbe = now.Add(probePeriod)
	for _, k := range sortedKeys(m.localOrders) {
		l := m.localOrders[k]
		switch {
		case l.releasePending():
			m.refuseWaiters(k, ReasonLogUnavailable)
		case l.state != localAwaitingIntent:
		case l.ticket:
			m.dispatchTicket(now, k, l)
		default:
			m.abandonAndRefuse(now, k, ReasonLogUnavailable)
		}
	}
	m.refuseAwaitingClaim(ReasonLogUnavailable)
}

// apply applies the next record of the stream to the ledger and to the orders
// of this router.
func (m *Machine) apply(now time.Time, rec *LoggedRecord) {
	if rec.Offset < m.ledger.Next() {
		return
	}
	won := m.ledger.Apply(rec)
	r := &rec.Record
	m.outbox.markLogged(r.Nonce, r.Kind)
	if r.Nonce.Process == m.cfg.Process {
		m.ownRecordLogged(now, rec.Offset, r)
	}
	switch r.Kind {
	case KindClaim:
		m.claimApplied(now, rec)
	case KindIntent:
		m.intentApplied(now, r, won)
	case KindReleased, KindUnknown, KindDone, KindSettled, KindCheckpoint:
		m.outcomeApplied(now, r)
	case KindCloseClaim:
	}
}

// ownRecordLogged handles a record of this router that is known to be in the
// log.
func (m *Machine) ownRecordLogged(now time.Time, offset uint64, r *Record) {
	switch r.Kind {
	case KindClaim:
		m.claimRecorded(offset, r)
	case KindIntent:
		l := m.localOrders[r.Key]
		if l != nil && l.ticket && l.nonce == r.Nonce && l.state == localAwaitingIntent {
			m.dispatchTicket(now, r.Key, l)
		}
	}
}
