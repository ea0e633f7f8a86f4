package orders

import (
	"slices"
	"time"
)

// logState is what the machine knows of the log service.
type logState struct {
	// down is true while the log gives no answer.
	down    bool
	probeAt time.Time
	// caughtUp is true once a read has reached the end of the stream.
	caughtUp bool
	// target is the offset that reading must reach.
	target  uint64
	reading bool
	idleAt  time.Time
	// segments are answered appends whose records lie beyond the ledger.
	segments []segment
}

// segment is a run of records of this router with known offsets.
type segment struct {
	first   uint64
	records []Record
}

func (s segment) end() uint64 { return s.first + uint64(len(s.records)) }

// follows reports whether the machine needs to know the stream. A machine that
// only runs its own tickets does not.
func (m *Machine) follows() bool {
	if m.held || len(m.settles) > 0 {
		return true
	}
	for _, l := range m.local {
		if !l.ticket {
			return true
		}
	}
	return false
}

// planAppend flushes the outbox within the append budget. While the log is
// away a machine that does not read probes it with one append.
func (m *Machine) planAppend(now time.Time) {
	if !m.follows() {
		m.outbox.requeue(true) // no read will show whether they arrived
	}
	for len(m.outbox.queue) > 0 && len(m.outbox.flight) < m.appendsAllowed(now) {
		if !m.outbox.due(now) {
			m.expect(m.outbox.queue[0].since.Add(lazyFlush))
			return
		}
		if !m.limiter.AllowN(now, 1) {
			return
		}
		m.emit(m.outbox.take())
	}
}

func (m *Machine) appendsAllowed(now time.Time) int {
	if !m.log.down {
		return maxInFlight
	}
	if m.follows() || now.Before(m.log.probeAt) {
		return 0
	}
	return 1
}

// planRead issues a read when one is needed and none is under way.
func (m *Machine) planRead(now time.Time) {
	if m.log.reading || !m.follows() {
		return
	}
	if m.log.down && now.Before(m.log.probeAt) {
		return
	}
	behind := !m.log.caughtUp || m.ledger.Next() < m.log.target
	if behind && m.awaitsOwnSegment() {
		behind = false
	}
	idle := !now.Before(m.log.idleAt)
	foreign := m.awaitsForeign()
	if !behind && !idle && !foreign && len(m.outbox.lost) == 0 {
		return
	}
	wait := time.Duration(0)
	if foreign && !behind && len(m.outbox.lost) == 0 {
		wait = longPoll
	}
	m.log.reading = true
	m.outbox.check()
	m.emit(Read{From: m.ledger.Next(), Wait: wait})
}

// awaitsOwnSegment reports whether the gap below the known segments may be an
// append of this router whose answer is still on its way.
func (m *Machine) awaitsOwnSegment() bool {
	return m.log.caughtUp && len(m.log.segments) > 0 && len(m.outbox.flight) > 0
}

// awaitsForeign reports whether a submission waits for another router.
func (m *Machine) awaitsForeign() bool {
	for k := range m.waiting {
		if m.local[k] == nil {
			return true
		}
	}
	return false
}

// appended notes the offsets of this router's records. When they follow what
// the ledger holds, nothing needs to be read.
func (m *Machine) appended(now time.Time, in Appended) {
	f, ok := m.outbox.flight[in.Batch]
	if !ok {
		return
	}
	delete(m.outbox.flight, in.Batch)
	m.log.down = false
	s := segment{first: in.First, records: f.records}
	for i := range s.records {
		m.recorded(now, s.first+uint64(i), &s.records[i])
	}
	if !m.follows() {
		return
	}
	m.log.target = max(m.log.target, s.end())
	m.log.segments = append(m.log.segments, s)
	m.joinSegments(now)
}

// joinSegments applies the segments that touch the ledger's end.
func (m *Machine) joinSegments(now time.Time) {
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

// appendLost keeps the items until a read shows whether they arrived. A
// machine that does not read sends them again later.
func (m *Machine) appendLost(now time.Time, in AppendLost) {
	f, ok := m.outbox.flight[in.Batch]
	if !ok {
		return
	}
	delete(m.outbox.flight, in.Batch)
	for i := range f.items {
		f.items[i].checked = false
	}
	m.outbox.lost = append(m.outbox.lost, f.items...)
	if !m.follows() {
		m.logDown(now)
	}
}

// readPage applies what was read.
func (m *Machine) readPage(now time.Time, in ReadPage) {
	m.log.reading = false
	m.log.down = false
	m.log.idleAt = now.Add(idlePoll)
	if in.Earliest > m.ledger.Next() {
		floor := now
		if len(in.Records) > 0 {
			floor = in.Records[0].Time
		}
		m.ledger.Skip(in.Earliest, floor)
	}
	for i := range in.Records {
		m.apply(now, &in.Records[i])
	}
	if m.ledger.Next() >= in.Next {
		m.log.caughtUp = true
		m.outbox.requeue(false)
	}
	m.joinSegments(now)
}

// readFailed means that the log is away.
func (m *Machine) readFailed(now time.Time) {
	m.log.reading = false
	m.logDown(now)
}

// logDown gives up what only the log could decide and runs the tickets that
// waited for it.
func (m *Machine) logDown(now time.Time) {
	m.log.down = true
	m.log.probeAt = now.Add(probePeriod)
	for _, k := range sortedKeys(m.local) {
		l := m.local[k]
		switch {
		case l.freed():
			m.refuseWaiting(k, ReasonLogUnavailable)
		case l.state != localWaiting:
		case l.ticket:
			m.runTicket(now, k, l)
		default:
			m.giveUp(now, k, ReasonLogUnavailable)
		}
	}
	m.refuseParked(ReasonLogUnavailable)
}

// apply takes the next record of the stream.
func (m *Machine) apply(now time.Time, rec *LoggedRecord) {
	if rec.Offset < m.ledger.Next() {
		return
	}
	stands := m.ledger.Apply(rec)
	r := &rec.Record
	m.outbox.seen(r.Nonce, r.Kind)
	if r.Nonce.Process == m.cfg.Process {
		m.recorded(now, rec.Offset, r)
	}
	switch r.Kind {
	case KindClaim:
		m.claimSeen(now, rec)
	case KindIntent:
		m.intentSeen(now, r, stands)
	case KindReleased, KindUnknown, KindDone, KindSettled, KindCheckpoint:
		m.outcomeSeen(now, r)
	case KindCloseClaim:
	}
}

// recorded notes that a record of this router is in the log.
func (m *Machine) recorded(now time.Time, offset uint64, r *Record) {
	switch r.Kind {
	case KindClaim:
		m.claimRecorded(offset, r)
	case KindIntent:
		l := m.local[r.Key]
		if l != nil && l.ticket && l.nonce == r.Nonce && l.state == localWaiting {
			m.runTicket(now, r.Key, l)
		}
	}
}
