package configstate

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// UnconfirmedTimeout is the time for which a version that only peers know outlives
// reads of the log that should show it and do not.
const UnconfirmedTimeout = 5 * time.Second

const maxDisproved = 32

// Errors of offers.
var (
	// ErrNotNewer means that the offered version is not newer.
	ErrNotNewer = errors.New("offered version is not newer")
	// ErrNeverAccepted means that the log showed the version was never accepted.
	ErrNeverAccepted = errors.New("the log disproved this version")
)

// ahead is a version that peers know and the log has not shown yet.
type ahead struct {
	line line
	// pending are its versions above the confirmed one, the oldest first. A
	// snapshot gives only the last, then chained is false.
	pending []Entry
	chained bool
	// at is the time of the last offer taken.
	at time.Time
	// doubted is the time of the first read of the log that should have shown
	// the version, zero when there was none.
	doubted time.Time
}

// Offer is what one router gives another that is behind: the records after
// the version that the other has, or a snapshot.
type Offer struct {
	Records  []Record `msgpack:"r,omitempty"`
	Snapshot []byte   `msgpack:"s,omitempty"`
}

// OfferTo returns what brings a reader at version have up to date. A reader
// that knows nothing gets a snapshot, which it can also read on from.
func (s *State) OfferTo(have Version) (Offer, error) {
	l := s.current()
	if l.head.Version.Hash == "" || l.head.Version.Offset <= have.Offset && have.Hash != "" {
		return Offer{}, ErrNotNewer
	}
	if records, ok := l.since(have); ok && have.Hash != "" {
		return Offer{Records: records}, nil
	}
	data, err := EncodeSnapshot(l.snapshot(s.offerBase(), ""))
	if err != nil {
		return Offer{}, err
	}
	return Offer{Snapshot: data}, nil
}

// offerBase returns the log position that the current version belongs to.
func (s *State) offerBase() uint64 {
	if s.ahead == nil && s.anchored {
		return s.next
	}
	if s.offered != nil && s.offered.Head.Version == s.current().head.Version {
		return s.offered.Base
	}
	return s.current().head.Version.Offset + 1
}

// ApplyOffer takes what a peer gave. Records must follow the current version one
// by one; a snapshot must agree with its own hashes and be newer. An offer
// with any fault changes nothing.
func (s *State) ApplyOffer(o Offer, now time.Time) ([]Event, error) {
	if len(o.Snapshot) > 0 {
		return s.offerSnapshot(o.Snapshot, now)
	}
	return s.offerRecords(o.Records, now)
}

func (s *State) offerRecords(records []Record, now time.Time) ([]Event, error) {
	l := s.current()
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
		if l, err = l.follow(p, r.Offset, r.Data); err != nil {
			return nil, fmt.Errorf("offered record %d: %w", r.Offset, err)
		}
		entries = append(entries, l.head)
	}
	if err := s.admissible(entries); err != nil {
		return nil, err
	}
	a := &ahead{line: l, pending: entries, chained: true, at: now}
	if s.ahead != nil {
		a.pending = append(slices.Clip(s.ahead.pending), entries...)
		a.chained = s.ahead.chained
	}
	return s.adopt(a), nil
}

func (s *State) offerSnapshot(data []byte, now time.Time) ([]Event, error) {
	v, err := decode(data)
	if err != nil {
		return nil, fmt.Errorf("offered snapshot: %w", err)
	}
	snapshot, ok := v.(*Snapshot)
	if !ok {
		return nil, fmt.Errorf("offered snapshot: %w", ErrFormat)
	}
	l, err := lineOf(snapshot)
	if err != nil {
		return nil, fmt.Errorf("offered %w", err)
	}
	entries := []Entry{l.head}
	if err := s.admissible(entries); err != nil {
		return nil, err
	}
	s.offered = snapshot
	return s.adopt(&ahead{line: l, pending: entries, at: now}), nil
}

// admissible checks that the offered versions, the oldest first, are newer
// than the current one and were not disproved by the log.
func (s *State) admissible(entries []Entry) error {
	current := s.current().head.Version
	if len(entries) == 0 || current.Hash != "" && entries[0].Version.Offset <= current.Offset {
		return ErrNotNewer
	}
	for _, e := range entries {
		// An anchored reader has seen every record below its position.
		passed := s.anchored && e.Version.Offset < s.next
		if passed || slices.Contains(s.disproved, e.Version) {
			return fmt.Errorf("version %d: %w", e.Version.Offset, ErrNeverAccepted)
		}
	}
	return nil
}

func (s *State) adopt(a *ahead) []Event {
	s.ahead = a
	head := a.line.head
	return []Event{{Kind: EventUnconfirmed, Offset: head.Version.Offset, Entry: head}}
}

// settle compares the version ahead with what the log has shown by now.
func (s *State) settle(page Page, began, now time.Time) []Event {
	if s.ahead == nil || !s.anchored {
		return nil
	}
	a := s.ahead
	for len(a.pending) > 0 && a.pending[0].Version.Offset < s.next {
		v := a.pending[0].Version
		if yes, known := s.confirmed.includes(v); known && !yes {
			return s.disprove()
		}
		a.pending = a.pending[1:]
	}
	if len(a.pending) == 0 {
		s.ahead = nil
		return nil
	}
	if a.chained && a.pending[0].Parent != s.confirmed.head.Version {
		// The log shows another first child.
		return s.disprove()
	}
	if !s.missing(page, began) {
		a.doubted = time.Time{}
		return nil
	}
	if a.doubted.IsZero() {
		a.doubted = now
	}
	if now.Sub(a.doubted) < UnconfirmedTimeout {
		return nil
	}
	return s.disprove()
}

// missing reports whether a read that began after the offer reached the end of
// the log below the next version ahead. A replica of the log that lags gives
// such reads for a while too.
func (s *State) missing(page Page, began time.Time) bool {
	a := s.ahead
	return began.After(a.at) && s.next >= page.Next && page.Next <= a.pending[0].Version.Offset
}

func (s *State) disprove() []Event {
	dropped := s.ahead.line.head
	for _, e := range s.ahead.pending {
		s.disproved = append(s.disproved, e.Version)
	}
	s.disproved = s.disproved[max(0, len(s.disproved)-maxDisproved):]
	s.ahead = nil
	s.offered = nil
	return []Event{{
		Kind: EventCorrected, Offset: s.confirmed.head.Version.Offset, Entry: s.confirmed.head,
		Err: fmt.Errorf("version %d of a peer: %w", dropped.Version.Offset, ErrNeverAccepted),
	}}
}
