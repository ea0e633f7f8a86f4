package configstate

import (
	"fmt"
	"time"
)

// Record is one record of the configuration stream.
type Record struct {
	Offset uint64    `msgpack:"o"`
	Time   time.Time `msgpack:"-"`
	Data   []byte    `msgpack:"d"`
}

// Page is the answer to one read of the configuration stream.
type Page struct {
	Records []Record
	// Earliest is the oldest offset that the log keeps; Next is the offset of
	// the record that will be appended next.
	Earliest, Next uint64
}

// EventKind names what an input changed.
type EventKind string

// Kinds of events.
const (
	// EventAccepted: the record at Offset became the newest version.
	EventAccepted EventKind = "accepted"
	// EventRejected: the record at Offset changed nothing, for the reason Err.
	EventRejected EventKind = "rejected"
	// EventGap: the log no longer has the records that follow those read.
	EventGap EventKind = "gap"
	// EventAnchored: a snapshot gave the state that the records build on.
	EventAnchored EventKind = "anchored"
	// EventUnconfirmed: a peer's version is used before the log showed it.
	EventUnconfirmed EventKind = "ahead"
	// EventCorrected: the log showed that a peer's version was not accepted.
	EventCorrected EventKind = "corrected"
	// EventDiverged: another router derived another state from the same log.
	EventDiverged EventKind = "diverged"
)

// Event tells what an input changed.
type Event struct {
	Kind   EventKind
	Offset uint64
	Entry  Entry
	Err    error
}

// State follows the configuration stream of one reader.
//
// A reader is anchored when it knows the state at the position it reads from:
// at offset zero, or after a snapshot whose base is not below the first
// record it has read. An anchored reader needs no clock and no peer: the
// first valid child of the head wins. A reader without an anchor collects
// records until it finds one.
//
// A version that only peers know is used at once and kept apart as ahead
// until the log shows it. The confirmed line never goes back.
type State struct {
	next      uint64
	from      uint64
	anchored  bool
	confirmed line
	waiting   []Record
	ahead     *ahead
	offered   *Snapshot
	disproved []Version
	fates     fates
	cover     cover
}

// BootWindow is the number of records at the end of the log that a new reader
// looks through first; it is above the distance between two snapshots. The
// next attempts look lookBackFactor times as far back.
const (
	BootWindow     = 2 * snapshotEvery
	lookBackFactor = 3
)

// New returns the state of a reader that has read nothing.
func New() *State { return &State{anchored: true} }

// Position returns the offset to read from next.
func (s *State) Position() uint64 { return s.next }

// Anchored reports whether the records read so far lead from a known state.
func (s *State) Anchored() bool { return s.anchored }

// Current returns the newest version and its documents; the version's hash is
// empty when none is known.
func (s *State) Current() (Entry, Documents) {
	l := s.current()
	return l.head, l.docs
}

func (s *State) current() line {
	if s.ahead != nil {
		return s.ahead.line
	}
	return s.confirmed
}

// Confirmed returns the newest version that the log showed.
func (s *State) Confirmed() Version { return s.confirmed.head.Version }

// History returns the known versions, the oldest first.
func (s *State) History() []Entry { return s.current().history() }

// At returns the version accepted at offset.
func (s *State) At(offset uint64) (Entry, Documents, error) { return s.current().at(offset) }

// Restart makes the reader read again from offset, to look for an anchor
// further back. What it has confirmed stays.
func (s *State) Restart(offset uint64) {
	s.next = offset
	s.from = offset
	s.anchored = offset == 0 && s.confirmed.head.Version.Hash == ""
	s.waiting = nil
}

// ApplyPage takes a page of the stream that was read from Position. The read began
// at began; now is the present time.
func (s *State) ApplyPage(page Page, began, now time.Time) []Event {
	var events []Event
	if page.Earliest > s.next {
		if s.next > 0 {
			events = append(events, Event{Kind: EventGap, Offset: page.Earliest})
		}
		s.Restart(page.Earliest)
	}
	for _, r := range page.Records {
		if r.Offset < s.next {
			continue
		}
		if r.Offset > s.next {
			// Out of order: the rest is read again from the position.
			break
		}
		s.next = r.Offset + 1
		events = append(events, s.take(r)...)
	}
	if !s.anchored && s.next >= page.Next {
		events = append(events, s.lookBack(page.Earliest)...)
	}
	return append(events, s.settle(page, began, now)...)
}

// take handles the next record of the stream.
func (s *State) take(r Record) []Event {
	if s.anchored {
		return []Event{s.apply(r)}
	}
	s.waiting = append(s.waiting, r)
	v, err := decode(r.Data)
	snapshot, ok := v.(*Snapshot)
	if err != nil || !ok || snapshot.Base < s.waiting[0].Offset || snapshot.Base > r.Offset {
		return nil
	}
	return s.anchor(snapshot)
}

// anchor makes the snapshot the known state and applies the records that
// follow its base.
func (s *State) anchor(snapshot *Snapshot) []Event {
	l, err := lineOf(snapshot)
	if err != nil || l.head.Version.Offset < s.confirmed.head.Version.Offset {
		return nil
	}
	s.anchored = true
	s.confirmed = l
	events := []Event{{Kind: EventAnchored, Offset: snapshot.Base, Entry: l.head}}
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		if r.Offset >= snapshot.Base {
			events = append(events, s.apply(r))
		}
	}
	return events
}

// lookBack reads more of the log when its newest part holds no anchor.
func (s *State) lookBack(earliest uint64) []Event {
	if s.from <= earliest {
		return s.anchorOnOffer()
	}
	back := min(s.from-earliest, lookBackFactor*(s.next-s.from)+BootWindow)
	s.Restart(s.from - back)
	return nil
}

// anchorOnOffer falls back to a peer's snapshot when the log holds none.
func (s *State) anchorOnOffer() []Event {
	o := s.offered
	if o == nil || o.Base > s.next || (len(s.waiting) > 0 && o.Base < s.waiting[0].Offset) {
		return nil
	}
	if len(s.waiting) == 0 && o.Base != s.next {
		return nil
	}
	events := s.anchor(o)
	s.cover = cover{}
	return events
}

// apply decides about one record of an anchored reader.
func (s *State) apply(r Record) Event {
	v, err := decode(r.Data)
	if err != nil {
		return Event{Kind: EventRejected, Offset: r.Offset, Err: err}
	}
	switch rec := v.(type) {
	case *Publish:
		return s.applyPublish(rec, r)
	case *Snapshot:
		return s.applySnapshot(rec, r)
	}
	return Event{Kind: EventRejected, Offset: r.Offset, Err: ErrFormat}
}

func (s *State) applyPublish(p *Publish, r Record) Event {
	next, err := s.confirmed.follow(p, r.Offset, r.Data)
	if err != nil {
		s.fates.refuse(p.Nonce, s.confirmed.head, err)
		return Event{Kind: EventRejected, Offset: r.Offset, Err: err, Entry: p.entry(r.Offset)}
	}
	s.cover.publish(s.confirmed.head.Version.Hash == "", r)
	s.confirmed = next
	s.fates.accept(p.Nonce, next.head)
	return Event{Kind: EventAccepted, Offset: r.Offset, Entry: next.head}
}

// applySnapshot changes no version. It checks that the snapshot's author saw
// the same history.
func (s *State) applySnapshot(snapshot *Snapshot, r Record) Event {
	if _, err := snapshot.documents(); err != nil || snapshot.Base > r.Offset {
		return Event{Kind: EventRejected, Offset: r.Offset, Err: fmt.Errorf("%w: snapshot", ErrContent)}
	}
	if head, known := s.confirmed.headAt(snapshot.Base); known && head != snapshot.Head.Version {
		return Event{
			Kind: EventDiverged, Offset: r.Offset, Entry: snapshot.Head,
			Err: fmt.Errorf("version %d: %w", snapshot.Head.Version.Offset, ErrConflict),
		}
	}
	s.cover.snapshot(snapshot, r)
	return Event{Kind: EventAnchored, Offset: r.Offset, Entry: snapshot.Head}
}
