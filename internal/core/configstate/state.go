package configstate

import (
	"fmt"
	"time"
)

// Record is one record of the configuration stream.
type Record struct {
	// Offset is the position of the record in the log.
	Offset uint64 `msgpack:"o"`
	// Time is the time at which the log stored the record. Records from peers
	// have none.
	Time time.Time `msgpack:"-"`
	// Data is the encoded record.
	Data []byte `msgpack:"d"`
}

// Page is the result of one read of the configuration stream.
type Page struct {
	// Records are the records read, in the order of their offsets.
	Records []Record
	// Earliest is the oldest offset that the log still holds; Next is the
	// offset of the record that will be appended next.
	Earliest, Next uint64
}

// EventKind is the kind of an [Event].
type EventKind string

// Values of [EventKind].
const (
	// EventAccepted: the record at Offset became the newest version.
	EventAccepted EventKind = "accepted"
	// EventRejected: the record at Offset changed nothing; Err is the reason.
	EventRejected EventKind = "rejected"
	// EventGap: the log no longer holds the records after those read.
	EventGap EventKind = "gap"
	// EventAnchored: a valid snapshot was read, for a reader that is not
	// anchored the one it starts from.
	EventAnchored EventKind = "anchored"
	// EventUnconfirmed: a version from a peer is used before it was read from
	// the log.
	EventUnconfirmed EventKind = "ahead"
	// EventCorrected: the log shows that a version from a peer was never
	// accepted; Entry is the version in use now.
	EventCorrected EventKind = "corrected"
	// EventDiverged: another router derived another version from the same log.
	EventDiverged EventKind = "diverged"
)

// Event describes one change or fault caused by an input.
type Event struct {
	Kind   EventKind
	Offset uint64
	// Entry is the version concerned, as far as it is known.
	Entry Entry
	// Err is the reason of a rejection, correction or divergence.
	Err error
}

// State follows the configuration stream for one reader. It is not safe for
// concurrent use.
//
// A reader is anchored when it knows the state at the position it reads from:
// at offset zero, or after a snapshot whose base is not below the first record
// it has read. From there on it needs neither a clock nor a peer: the first
// valid child of the head becomes the new head. A reader that is not anchored
// collects records until it finds such a snapshot.
//
// A version that is known only from peers is used at once, but is kept apart as
// unconfirmed until it is read from the log. The confirmed version never moves
// backwards.
type State struct {
	// next is the offset to read from next, readFrom the one at which the
	// present pass over the log began.
	next      uint64
	readFrom  uint64
	anchored  bool
	confirmed chain
	// buffered are the records read while not anchored.
	buffered []Record
	// unconfirmed is the chain taken from peers, nil if the confirmed one is
	// the newest known.
	unconfirmed *unconfirmedChain
	// offeredSnapshot is the last snapshot taken from a peer, from which the
	// reader can start when the log holds none.
	offeredSnapshot *Snapshot
	// neverAccepted are versions from peers that the log refuted; they are not
	// taken again.
	neverAccepted []Version
	outcomes      outcomeLog
	replay        replayLength
}

// BootWindow is the number of records at the end of the log that a new reader
// reads first; it exceeds the usual distance between two snapshots. If these
// records hold no usable snapshot, each further attempt adds lookBackFactor
// times the length read so far, plus BootWindow.
const (
	BootWindow     = 2 * snapshotVersions
	lookBackFactor = 3
)

// New returns a State that has read nothing. It reads the log from offset zero
// unless [State.Restart] is called.
func New() *State { return &State{anchored: true} }

// Position returns the offset to read from next.
func (s *State) Position() uint64 { return s.next }

// Anchored reports whether the state at Position is known.
func (s *State) Anchored() bool { return s.anchored }

// Current returns the newest known version, confirmed or not, and its
// documents. The version's hash is empty if no version is known.
func (s *State) Current() (Entry, Documents) {
	c := s.current()
	return c.head, c.docs
}

// current returns the chain of the newest known version.
func (s *State) current() chain {
	if s.unconfirmed != nil {
		return s.unconfirmed.chain
	}
	return s.confirmed
}

// Confirmed returns the newest version that was read from the log.
func (s *State) Confirmed() Version { return s.confirmed.head.Version }

// History returns the known versions, the oldest first.
func (s *State) History() []Entry { return s.current().history() }

// At returns the version accepted at offset and its documents, or an error if
// that version is not kept.
func (s *State) At(offset uint64) (Entry, Documents, error) { return s.current().versionAt(offset) }

// Restart moves the reader to offset, for example further back to look for a
// snapshot. The confirmed version stays.
func (s *State) Restart(offset uint64) {
	s.next = offset
	s.readFrom = offset
	s.anchored = offset == 0 && s.confirmed.head.Version.Hash == ""
	s.buffered = nil
}

// ApplyPage applies a page that was read from Position. began is the time at
// which the read began, now the present time. The events tell what changed.
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
			// Records are out of order: the rest is read again from Position.
			break
		}
		s.next = r.Offset + 1
		events = append(events, s.handleRecord(r)...)
	}
	if !s.anchored && s.next >= page.Next {
		events = append(events, s.lookBack(page.Earliest)...)
	}
	return append(events, s.checkUnconfirmed(page, began, now)...)
}

// handleRecord applies the next record of the stream, or buffers it while the
// reader is not anchored.
func (s *State) handleRecord(r Record) []Event {
	if s.anchored {
		return []Event{s.applyRecord(r)}
	}
	s.buffered = append(s.buffered, r)
	v, err := decode(r.Data)
	snapshot, ok := v.(*Snapshot)
	if err != nil || !ok || snapshot.Base < s.buffered[0].Offset || snapshot.Base > r.Offset {
		return nil
	}
	return s.anchorAt(snapshot)
}

// anchorAt makes the snapshot the confirmed state and applies the buffered
// records from its base on. It does nothing if the snapshot is invalid or older
// than the confirmed version.
func (s *State) anchorAt(snapshot *Snapshot) []Event {
	c, err := chainOf(snapshot)
	if err != nil || c.head.Version.Offset < s.confirmed.head.Version.Offset {
		return nil
	}
	s.anchored = true
	s.confirmed = c
	events := []Event{{Kind: EventAnchored, Offset: snapshot.Base, Entry: c.head}}
	buffered := s.buffered
	s.buffered = nil
	for _, r := range buffered {
		if r.Offset >= snapshot.Base {
			events = append(events, s.applyRecord(r))
		}
	}
	return events
}

// lookBack moves the reader further back when it reached the end of the log
// without finding a usable snapshot.
func (s *State) lookBack(earliest uint64) []Event {
	if s.readFrom <= earliest {
		return s.anchorOnOfferedSnapshot()
	}
	back := min(s.readFrom-earliest, lookBackFactor*(s.next-s.readFrom)+BootWindow)
	s.Restart(s.readFrom - back)
	return nil
}

// anchorOnOfferedSnapshot starts from a peer's snapshot when the log holds
// none.
func (s *State) anchorOnOfferedSnapshot() []Event {
	o := s.offeredSnapshot
	if o == nil || o.Base > s.next || (len(s.buffered) > 0 && o.Base < s.buffered[0].Offset) {
		return nil
	}
	if len(s.buffered) == 0 && o.Base != s.next {
		return nil
	}
	events := s.anchorAt(o)
	s.replay = replayLength{}
	return events
}

// applyRecord applies one record for an anchored reader.
func (s *State) applyRecord(r Record) Event {
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

// applyPublish accepts the change as the new head or rejects it.
func (s *State) applyPublish(p *Publish, r Record) Event {
	next, err := s.confirmed.extend(p, r.Offset, r.Data)
	if err != nil {
		s.outcomes.reject(p.Nonce, s.confirmed.head, err)
		return Event{Kind: EventRejected, Offset: r.Offset, Err: err, Entry: p.entry(r.Offset)}
	}
	s.replay.addVersion(s.confirmed.head.Version.Hash == "", r)
	s.confirmed = next
	s.outcomes.accept(p.Nonce, next.head)
	return Event{Kind: EventAccepted, Offset: r.Offset, Entry: next.head}
}

// applySnapshot checks that the author of the snapshot derived the same version
// from the log. It changes no version.
func (s *State) applySnapshot(snapshot *Snapshot, r Record) Event {
	if _, err := snapshot.verify(); err != nil || snapshot.Base > r.Offset {
		return Event{Kind: EventRejected, Offset: r.Offset, Err: fmt.Errorf("%w: snapshot does not match its hashes or its base", ErrContent)}
	}
	if head, known := s.confirmed.headBefore(snapshot.Base); known && head != snapshot.Head.Version {
		return Event{
			Kind: EventDiverged, Offset: r.Offset, Entry: snapshot.Head,
			Err: fmt.Errorf("version %d: %w", snapshot.Head.Version.Offset, ErrConflict),
		}
	}
	s.replay.addSnapshot(snapshot, r)
	return Event{Kind: EventAnchored, Offset: r.Offset, Entry: snapshot.Head}
}
