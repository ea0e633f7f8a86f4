package orders

import (
	"slices"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Phase is the state of an order according to the log.
type Phase uint8

// Phases of an order.
const (
	// PhaseFree means that the order has no winning intent.
	PhaseFree Phase = iota
	// PhaseOpen means that the order has a winning intent, whose writer may
	// dispatch it.
	PhaseOpen
	// PhaseUnknown means that the order was dispatched and that its outcome is
	// not known.
	PhaseUnknown
	// PhaseDone means that the order ran and that its outcome is recorded.
	PhaseDone
	// PhaseSettled means that an operator recorded the outcome.
	PhaseSettled
)

// Entry is the state of one order.
type Entry struct {
	Key      Key
	Minted   time.Time
	Identity Identity
	Phase    Phase
	// Nonce is the nonce of the winning intent.
	Nonce        Nonce
	Router       fleet.VM
	Incarnation  fleet.Incarnation
	SendDeadline time.Time
	// At is the log's timestamp of the newest record about the order.
	At time.Time
	// Offset is the log offset of the record that holds the outcome.
	Offset uint64
	// Outcome is kept without its body, which is in the record at Offset.
	Outcome  Outcome
	Operator string
	// releasedNonces holds the nonces of released intents. An intent with one
	// of them that arrives later has no effect.
	releasedNonces []Nonce
}

// Ledger is the state of all orders of a partition that follows from the
// records of its stream.
type Ledger struct {
	entries map[Key]*Entry
	// next is the offset of the next record to apply.
	next uint64
	// newestClaim is the offset of the newest exclusive claim. It is valid when
	// hasClaim is true.
	newestClaim  uint64
	hasClaim     bool
	closedClaims map[uint64]struct{}
	// historyStart is the time before which records may have been dropped from
	// the log unread. It is zero when all records since the start of the stream
	// were applied.
	historyStart time.Time
}

// NewLedger returns the ledger of a stream from which no record has been read.
func NewLedger() *Ledger {
	return &Ledger{
		entries:      make(map[Key]*Entry),
		closedClaims: make(map[uint64]struct{}),
	}
}

// Next returns the offset of the next record to apply.
func (l *Ledger) Next() uint64 { return l.next }

// Entry returns the state of an order, or nil when no record about it was
// applied.
func (l *Ledger) Entry(k Key) *Entry { return l.entries[k] }

// Skip advances to offset earliest, because the log has dropped the records
// before it. historyStart is the timestamp of the oldest record that the log
// still holds, or the current time when it holds none.
func (l *Ledger) Skip(earliest uint64, historyStart time.Time) {
	if earliest <= l.next {
		return
	}
	l.next = earliest
	l.historyStart = historyStart
}

// Covers reports whether every intent for a key minted at the time minted was
// applied. margin is the largest difference between the clocks of callers,
// routers and the log.
func (l *Ledger) Covers(minted time.Time, margin time.Duration) bool {
	return l.historyStart.IsZero() || minted.Add(-margin).After(l.historyStart)
}

// Apply applies the record at the next offset. won is true when the record is
// an intent that wins its order.
func (l *Ledger) Apply(rec *LoggedRecord) (won bool) {
	l.next = rec.Offset + 1
	r := &rec.Record
	switch r.Kind {
	case KindClaim:
		if r.Exclusive {
			l.newestClaim, l.hasClaim = rec.Offset, true
		}
	case KindCloseClaim:
		l.closedClaims[r.Claim] = struct{}{}
	case KindIntent:
		return l.applyIntent(rec)
	case KindReleased:
		l.applyRelease(rec)
	case KindUnknown:
		l.applyUnknown(rec)
	case KindDone:
		l.setOutcome(rec, PhaseDone)
	case KindSettled:
		l.applySettlement(rec)
	case KindCheckpoint:
		l.applyCheckpoint(rec)
	}
	return false
}

// applyIntent opens a free order, unless the claim of the intent is not valid
// or its nonce was released.
func (l *Ledger) applyIntent(rec *LoggedRecord) bool {
	r := &rec.Record
	if !l.validClaim(r) {
		return false
	}
	e := l.updateEntry(rec)
	if e.Phase != PhaseFree || slices.Contains(e.releasedNonces, r.Nonce) {
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

// validClaim reports whether the claim of an intent permits its writer to run
// the key. A ticket needs its own claim until that is closed. Any other key
// needs a claim that is not older than the newest exclusive one.
func (l *Ledger) validClaim(r *Record) bool {
	if ticket := ticketOf(r.Key); ticket != nil {
		if _, closed := l.closedClaims[ticket.Claim]; !closed {
			return r.Claim == ticket.Claim
		}
	}
	return !l.hasClaim || r.Claim >= l.newestClaim
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

// applyRelease frees the order when the released intent is the winning one.
func (l *Ledger) applyRelease(rec *LoggedRecord) {
	r := &rec.Record
	e := l.updateEntry(rec)
	if !slices.Contains(e.releasedNonces, r.Nonce) {
		e.releasedNonces = append(e.releasedNonces, r.Nonce)
	}
	if e.Phase == PhaseOpen && e.Nonce == r.Nonce {
		e.Phase = PhaseFree
	}
}

// applyUnknown marks an order as dispatched with an unknown outcome.
func (l *Ledger) applyUnknown(rec *LoggedRecord) {
	r := &rec.Record
	e := l.updateEntry(rec)
	if e.Phase == PhaseFree || e.Phase == PhaseOpen && e.Nonce == r.Nonce {
		l.setOutcome(rec, PhaseUnknown)
	}
}

// applySettlement records the operator's outcome for an order that has none.
func (l *Ledger) applySettlement(rec *LoggedRecord) {
	e := l.updateEntry(rec)
	if e.Phase == PhaseDone || e.Phase == PhaseSettled {
		return
	}
	l.setOutcome(rec, PhaseSettled)
	e.Operator = rec.Record.Operator
}

// applyCheckpoint restores an order whose older records were dropped from the
// log. It ignores a checkpoint of an open order whose intent was released
// since.
func (l *Ledger) applyCheckpoint(rec *LoggedRecord) {
	e := l.updateEntry(rec)
	r := &rec.Record
	stale := r.Phase == PhaseOpen && slices.Contains(e.releasedNonces, r.Nonce)
	if e.Phase != PhaseFree || stale {
		return
	}
	l.setOutcome(rec, r.Phase)
	e.SendDeadline = time.UnixMilli(r.SendDeadlineMS)
	e.Operator = r.Operator
}

// setOutcome moves an order to a phase and stores the fields of the record,
// without the body.
func (l *Ledger) setOutcome(rec *LoggedRecord, phase Phase) {
	r := &rec.Record
	e := l.updateEntry(rec)
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

func (l *Ledger) updateEntry(rec *LoggedRecord) *Entry {
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

// Prune drops orders with a known outcome, or without a winning intent, whose
// keys were minted longer than window before now.
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
		copied.releasedNonces = slices.Clone(e.releasedNonces)
		c.entries[k] = &copied
	}
	c.closedClaims = make(map[uint64]struct{}, len(l.closedClaims))
	for k := range l.closedClaims {
		c.closedClaims[k] = struct{}{}
	}
	return &c
}
