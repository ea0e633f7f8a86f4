package orders

import (
	"slices"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Phase is the state of an order in the log.
type Phase uint8

// Phases of an order.
const (
	// PhaseFree means that no valid intent stands.
	PhaseFree Phase = iota
	// PhaseOpen means that the holder of the first valid intent may run it.
	PhaseOpen
	// PhaseUnknown means that it was sent and nobody knows the outcome.
	PhaseUnknown
	// PhaseDone means that it ran and its outcome is recorded.
	PhaseDone
	// PhaseSettled means that an operator recorded an outcome.
	PhaseSettled
)

// Entry is the state of one order.
type Entry struct {
	Key      Key
	Minted   time.Time
	Identity Identity
	Phase    Phase
	// Nonce belongs to the intent that stands.
	Nonce        Nonce
	Router       fleet.VM
	Incarnation  fleet.Incarnation
	SendDeadline time.Time
	// At is the log's time of the newest record about the order.
	At time.Time
	// Offset is the place of the record that holds the outcome.
	Offset uint64
	// Outcome has no body; the record at Offset holds it.
	Outcome  Outcome
	Operator string
	// void lists nonces that were released. An intent under one of them that
	// arrives late has no effect.
	void []Nonce
}

// Ledger is the meaning of the records of one stream.
type Ledger struct {
	entries map[Key]*Entry
	// next is the offset of the next record to apply.
	next uint64
	// claim is the offset of the newest exclusive claim.
	claim    uint64
	hasClaim bool
	closed   map[uint64]struct{}
	// floor is the time before which records may have been dropped; zero when
	// all records since the start of the stream are known.
	floor time.Time
}

// NewLedger returns the ledger of a stream of which nothing is read yet.
func NewLedger() *Ledger {
	return &Ledger{
		entries: make(map[Key]*Entry),
		closed:  make(map[uint64]struct{}),
	}
}

// Next returns the offset of the next record to apply.
func (l *Ledger) Next() uint64 { return l.next }

// Entry returns the state of an order, or nil when no record is known.
func (l *Ledger) Entry(k Key) *Entry { return l.entries[k] }

// Skip notes that the log has dropped the records before offset earliest.
// floor is the time of the oldest record that is left, or the present when
// there is none.
func (l *Ledger) Skip(earliest uint64, floor time.Time) {
	if earliest <= l.next {
		return
	}
	l.next = earliest
	l.floor = floor
}

// Covers reports whether every intent for a key that was minted at the time
// minted is known. margin bounds how far the clocks of callers, routers and
// the log differ.
func (l *Ledger) Covers(minted time.Time, margin time.Duration) bool {
	return l.floor.IsZero() || minted.Add(-margin).After(l.floor)
}

// Apply takes the record at the next offset and reports whether an intent in
// it stands now.
func (l *Ledger) Apply(rec *LoggedRecord) (stands bool) {
	l.next = rec.Offset + 1
	r := &rec.Record
	switch r.Kind {
	case KindClaim:
		if r.Exclusive {
			l.claim, l.hasClaim = rec.Offset, true
		}
	case KindCloseClaim:
		l.closed[r.Claim] = struct{}{}
	case KindIntent:
		return l.intent(rec)
	case KindReleased:
		l.released(rec)
	case KindUnknown:
		l.unknown(rec)
	case KindDone:
		l.outcome(rec, PhaseDone)
	case KindSettled:
		l.settled(rec)
	case KindCheckpoint:
		l.carried(rec)
	}
	return false
}

// intent opens a free order, unless the intent is void.
func (l *Ledger) intent(rec *LoggedRecord) bool {
	r := &rec.Record
	if !l.validClaim(r) {
		return false
	}
	e := l.entry(rec)
	if e.Phase != PhaseFree || slices.Contains(e.void, r.Nonce) {
		return false
	}
	e.Phase = PhaseOpen
	e.Identity = r.Identity
	e.Nonce = r.Nonce
	e.Router = r.Router
	e.Incarnation = r.Incarnation
	e.SendDeadline = time.UnixMilli(r.SendDeadlineMS)
	return true
}

// validClaim reports whether an intent was made under a claim that lets its
// writer run the key: for a ticket its own claim until that is closed, and for
// other keys no claim older than the newest one.
func (l *Ledger) validClaim(r *Record) bool {
	if ticket := ticketOf(r.Key); ticket != nil {
		if _, closed := l.closed[ticket.Claim]; !closed {
			return r.Claim == ticket.Claim
		}
	}
	return !l.hasClaim || r.Claim >= l.claim
}

func ticketOf(k Key) *Ticket {
	if !strings.HasPrefix(string(k), ticketPrefix) {
		return nil
	}
	parsed, err := ParseKey(string(k))
	if err != nil {
		return nil
	}
	return parsed.Ticket
}

// released frees the order when its standing intent is the released one.
func (l *Ledger) released(rec *LoggedRecord) {
	r := &rec.Record
	e := l.entry(rec)
	if !slices.Contains(e.void, r.Nonce) {
		e.void = append(e.void, r.Nonce)
	}
	if e.Phase == PhaseOpen && e.Nonce == r.Nonce {
		e.Phase = PhaseFree
	}
}

// unknown closes an open order whose holder does not know the outcome.
func (l *Ledger) unknown(rec *LoggedRecord) {
	r := &rec.Record
	e := l.entry(rec)
	if e.Phase == PhaseFree || e.Phase == PhaseOpen && e.Nonce == r.Nonce {
		l.outcome(rec, PhaseUnknown)
	}
}

// settled takes an operator's word where no outcome is recorded.
func (l *Ledger) settled(rec *LoggedRecord) {
	e := l.entry(rec)
	if e.Phase == PhaseDone || e.Phase == PhaseSettled {
		return
	}
	l.outcome(rec, PhaseSettled)
	e.Operator = rec.Record.Operator
}

// carried restores an order whose older records were dropped.
func (l *Ledger) carried(rec *LoggedRecord) {
	e := l.entry(rec)
	r := &rec.Record
	stale := r.Phase == PhaseOpen && slices.Contains(e.void, r.Nonce)
	if e.Phase != PhaseFree || stale {
		return
	}
	l.outcome(rec, r.Phase)
	e.SendDeadline = time.UnixMilli(r.SendDeadlineMS)
	e.Operator = r.Operator
}

// outcome moves an order to a phase with the outcome of the record.
func (l *Ledger) outcome(rec *LoggedRecord, phase Phase) {
	r := &rec.Record
	e := l.entry(rec)
	e.Phase = phase
	e.Identity = r.Identity
	e.Nonce = r.Nonce
	e.Router = r.Router
	e.Incarnation = r.Incarnation
	e.Offset = rec.Offset
	if r.Outcome != nil {
		e.Outcome = *r.Outcome
		e.Outcome.Body = nil
	}
}

func (l *Ledger) entry(rec *LoggedRecord) *Entry {
	e := l.entries[rec.Record.Key]
	if e == nil {
		e = &Entry{Key: rec.Record.Key}
		if parsed, err := ParseKey(string(e.Key)); err == nil {
			e.Minted = parsed.Minted
		}
		l.entries[rec.Record.Key] = e
	}
	e.At = rec.Time
	return e
}

// Prune drops orders whose keys have expired at the time now and whose
// outcome is known.
func (l *Ledger) Prune(now time.Time, window time.Duration) {
	for k, e := range l.entries {
		open := e.Phase == PhaseOpen || e.Phase == PhaseUnknown
		if !open && now.Sub(e.Minted) > window {
			delete(l.entries, k)
		}
	}
}

// Clone returns an independent copy.
func (l *Ledger) Clone() *Ledger {
	c := *l
	c.entries = make(map[Key]*Entry, len(l.entries))
	for k, e := range l.entries {
		copied := *e
		copied.void = slices.Clone(e.void)
		c.entries[k] = &copied
	}
	c.closed = make(map[uint64]struct{}, len(l.closed))
	for k := range l.closed {
		c.closed[k] = struct{}{}
	}
	return &c
}
