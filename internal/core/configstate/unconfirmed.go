package configstate

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// UnconfirmedTimeout is how long an unconfirmed version stays in use while
// reads of the log that should contain it do not. A lagging replica of the log
// gives such reads for a while too.
const UnconfirmedTimeout = 5 * time.Second

// maxNeverAccepted limits the number of remembered versions that the log has
// refuted.
const maxNeverAccepted = 32

// Errors returned by [State.ApplyOffer] and [State.OfferTo].
var (
	// ErrNotNewer means that the offered version is not newer than the
	// receiver's.
	ErrNotNewer = errors.New("offered version is not newer")
	// ErrNeverAccepted means that the log shows that the version was never
	// accepted.
	ErrNeverAccepted = errors.New("the log shows that this version was never accepted")
)

// unconfirmedChain ends in a version that was fetched from a peer and has not
// been read from the log yet.
type unconfirmedChain struct {
	chain chain
	// pending are the versions above the confirmed one, the oldest first. An
	// offered snapshot contributes only its head; contiguous is then false.
	pending    []Entry
	contiguous bool
	// offeredAt is the time at which the last offer was applied.
	offeredAt time.Time
	// missingSince is the time of the first read of the log that should have
	// contained the version but did not, zero if there was none.
	missingSince time.Time
}

// Offer is what a router sends to a peer with an older version: either the
// records after the peer's version or a snapshot.
type Offer struct {
	// Records are the publish records after the peer's version, in log order.
	Records []Record `msgpack:"r,omitempty"`
	// Snapshot is an encoded snapshot record, set when the sender no longer
	// keeps all records after the peer's version.
	Snapshot []byte `msgpack:"s,omitempty"`
}

// OfferTo returns what a reader at version have needs to reach the current
// version, or ErrNotNewer. A reader without a version gets a snapshot, because
// it can also start reading the log from its base.
func (s *State) OfferTo(have Version) (Offer, error) {
	c := s.current()
	if c.head.Version.Hash == "" || c.head.Version.Offset <= have.Offset && have.Hash != "" {
		return Offer{}, ErrNotNewer
	}
	if records, ok := c.recordsAfter(have); ok && have.Hash != "" {
		return Offer{Records: records}, nil
	}
	data, err := EncodeSnapshot(c.snapshot(s.snapshotBase(), ""))
	if err != nil {
		return Offer{}, err
	}
	return Offer{Snapshot: data}, nil
}

// snapshotBase returns the log position for which the current version is known
// to be the newest, used as the base of an offered snapshot.
func (s *State) snapshotBase() uint64 {
	if s.unconfirmed == nil && s.anchored {
		return s.next
	}
	if s.offeredSnapshot != nil && s.offeredSnapshot.Head.Version == s.current().head.Version {
		return s.offeredSnapshot.Base
	}
	return s.current().head.Version.Offset + 1
}

// ApplyOffer makes the version offered by a peer the current one. Records must
// extend the current version one by one; a snapshot must match its own hashes
// and be newer. An invalid offer returns an error and changes nothing.
func (s *State) ApplyOffer(o Offer, now time.Time) ([]Event, error) {
	if len(o.Snapshot) > 0 {
		return s.applyOfferedSnapshot(o.Snapshot, now)
	}
	return s.applyOfferedRecords(o.Records, now)
}

func (s *State) applyOfferedRecords(records []Record, now time.Time) ([]Event, error) {
	c := s.current()
	var entries []Entry
	for _, r := range records {
		v, err := decode(r.Data)
		if err != nil {
			return nil, fmt.Errorf("offered record %d: %w", r.Offset, err)
		}
		p, ok := v.(*Publish)
		if !ok {
			return nil, fmt.Errorf("offered record %d: %w", r.Offset, ErrFormat)
		}
		if c, err = c.extend(p, r.Offset, r.Data); err != nil {
			return nil, fmt.Errorf("offered record %d: %w", r.Offset, err)
		}
		entries = append(entries, c.head)
	}
	if err := s.checkOffered(entries); err != nil {
		return nil, err
	}
	u := &unconfirmedChain{chain: c, pending: entries, contiguous: true, offeredAt: now}
	if s.unconfirmed != nil {
		u.pending = append(slices.Clip(s.unconfirmed.pending), entries...)
		u.contiguous = s.unconfirmed.contiguous
	}
	return s.setUnconfirmed(u), nil
}

func (s *State) applyOfferedSnapshot(data []byte, now time.Time) ([]Event, error) {
	v, err := decode(data)
	if err != nil {
		return nil, fmt.Errorf("offered snapshot: %w", err)
	}
	snapshot, ok := v.(*Snapshot)
	if !ok {
		return nil, fmt.Errorf("offered snapshot: %w", ErrFormat)
	}
	c, err := chainOf(snapshot)
	if err != nil {
		return nil, fmt.Errorf("offered %w", err)
	}
	entries := []Entry{c.head}
	if err := s.checkOffered(entries); err != nil {
		return nil, err
	}
	s.offeredSnapshot = snapshot
	return s.setUnconfirmed(&unconfirmedChain{chain: c, pending: entries, offeredAt: now}), nil
}

// checkOffered checks that the offered versions, the oldest first, are newer
// than the current one and that the log has not refuted any of them.
func (s *State) checkOffered(entries []Entry) error {
	current := s.current().head.Version
	if len(entries) == 0 || current.Hash != "" && entries[0].Version.Offset <= current.Offset {
		return ErrNotNewer
	}
	for _, e := range entries {
		// An anchored reader has seen every record below its position.
		passed := s.anchored && e.Version.Offset < s.next
		if passed || slices.Contains(s.neverAccepted, e.Version) {
			return fmt.Errorf("version %d: %w", e.Version.Offset, ErrNeverAccepted)
		}
	}
	return nil
}

// setUnconfirmed makes the head of u the current version.
func (s *State) setUnconfirmed(u *unconfirmedChain) []Event {
	s.unconfirmed = u
	head := u.chain.head
	return []Event{{Kind: EventUnconfirmed, Offset: head.Version.Offset, Entry: head}}
}

// checkUnconfirmed compares the unconfirmed versions with the page just read.
// It confirms those that the log contains, and drops all of them if the log
// contradicts one or has not shown the next one for UnconfirmedTimeout.
func (s *State) checkUnconfirmed(page Page, began, now time.Time) []Event {
	if s.unconfirmed == nil || !s.anchored {
		return nil
	}
	u := s.unconfirmed
	for len(u.pending) > 0 && u.pending[0].Version.Offset < s.next {
		v := u.pending[0].Version
		if yes, known := s.confirmed.contains(v); known && !yes {
			return s.dropUnconfirmed()
		}
		u.pending = u.pending[1:]
	}
	if len(u.pending) == 0 {
		s.unconfirmed = nil
		return nil
	}
	if u.contiguous && u.pending[0].Parent != s.confirmed.head.Version {
		// The log accepted another child of the confirmed version.
		return s.dropUnconfirmed()
	}
	if !s.missingFromLog(page, began) {
		u.missingSince = time.Time{}
		return nil
	}
	if u.missingSince.IsZero() {
		u.missingSince = now
	}
	if now.Sub(u.missingSince) < UnconfirmedTimeout {
		return nil
	}
	return s.dropUnconfirmed()
}

// missingFromLog reports whether a read that began after the offer reached the
// end of the log below the next unconfirmed version. Reads from a lagging
// replica of the log look the same, hence UnconfirmedTimeout.
func (s *State) missingFromLog(page Page, began time.Time) bool {
	u := s.unconfirmed
	return began.After(u.offeredAt) && s.next >= page.Next && page.Next <= u.pending[0].Version.Offset
}

// dropUnconfirmed returns to the confirmed version and remembers the dropped
// versions, so that peers cannot offer them again.
func (s *State) dropUnconfirmed() []Event {
	dropped := s.unconfirmed.chain.head
	for _, e := range s.unconfirmed.pending {
		s.neverAccepted = append(s.neverAccepted, e.Version)
	}
	s.neverAccepted = s.neverAccepted[max(0, len(s.neverAccepted)-maxNeverAccepted):]
	s.unconfirmed = nil
	s.offeredSnapshot = nil
	return []Event{{
		Kind: EventCorrected, Offset: s.confirmed.head.Version.Offset, Entry: s.confirmed.head,
		Err: fmt.Errorf("version %d from a peer: %w", dropped.Version.Offset, ErrNeverAccepted),
	}}
}
