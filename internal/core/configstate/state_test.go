package configstate

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// kinds returns the kinds of the events.
func kinds(events []Event) []EventKind {
	out := make([]EventKind, 0, len(events))
	for _, e := range events {
		out = append(out, e.Kind)
	}
	return out
}

// text returns the current document of scope.
func text(s *State, scope Scope) string {
	_, docs := s.Current()
	out, _ := docs.Text(scope)
	return out
}

// TestFirstChildIsAccepted publishes two changes with the same parent. Every
// reader must accept the first in log order and reject the second.
func TestFirstChildIsAccepted(t *testing.T) {
	log, ada, bo := newFakeLog(), New(), New()
	mustPublish(log, ada, Base, "a = 0\n", "genesis")
	log.catchUp(bo)
	first, err := log.publish(ada, Base, "a = 1\n", "first")
	must.NoError(t, err)
	second, err := log.publish(bo, Overlay("gent"), "a = 2\n", "second")
	must.NoError(t, err)
	for _, s := range []*State{ada, bo} {
		must.Eq(t, []EventKind{EventAccepted, EventRejected}, kinds(log.catchUp(s)))
		must.Eq(t, "a = 1\n", text(s, Base))
		step, outcome := first.Next(s, log.now())
		must.Eq(t, StepAccepted, step)
		must.Eq(t, uint64(1), outcome.Entry.Version.Offset)
		step, outcome = second.Next(s, log.now())
		must.Eq(t, StepRejected, step)
		must.ErrorIs(t, outcome.Err, ErrConflict)
		must.Eq(t, "first", outcome.Entry.Nonce)
	}
}

// TestProposals covers proposals that are refused before anything is appended.
func TestProposals(t *testing.T) {
	log, s := newFakeLog(), New()
	mustPublish(log, s, Base, "a = 0\n", "genesis")
	old, _ := s.Current()
	mustPublish(log, s, Base, "a = 1\n", "one")
	cases := []struct {
		name string
		p    Proposal
		want error
	}{
		{"stale parent", Proposal{Scope: Base, Text: "a = 2\n", Nonce: "n", Parent: &old.Version}, ErrStaleParent},
		{"no change", Proposal{Scope: Base, Text: "a = 1\n", Nonce: "n"}, ErrUnchanged},
		{"no nonce", Proposal{Scope: Base, Text: "a = 2\n"}, ErrContent},
		{"unknown scope", Proposal{Scope: "site/", Text: "a = 2\n", Nonce: "n"}, ErrContent},
		{"too large", Proposal{Scope: Base, Text: string(make([]byte, MaxDocumentBytes+1)), Nonce: "n"}, ErrContent},
		{"long comment", Proposal{Scope: Base, Text: "a = 2\n", Nonce: "n", Comment: string(make([]byte, maxMetadataBytes+1))}, ErrContent},
	}
	for _, c := range cases {
		_, err := s.Propose(c.p)
		must.ErrorIs(t, err, c.want, must.Sprint(c.name))
	}
}

// TestUnansweredAppend covers an append without an answer whose record did or
// did not reach the log, with and without a competing change. The retry must
// neither publish the change twice nor report a wrong outcome.
func TestUnansweredAppend(t *testing.T) {
	cases := []struct {
		name      string
		appended  bool
		competing bool
		want      Step
		accepted  int
	}{
		{"effect", true, false, StepAccepted, 2},
		{"no effect", false, false, StepAccepted, 2},
		{"effect, then a competing change", true, true, StepAccepted, 2},
		{"no effect, a competing change first", false, true, StepRejected, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log, s, other := newFakeLog(), New(), New()
			mustPublish(log, s, Base, "a = 0\n", "genesis")
			log.catchUp(other)
			p, err := s.Propose(Proposal{Scope: Base, Text: "a = 1\n", Author: "ada", Nonce: "mine"})
			must.NoError(t, err)
			if c.appended {
				log.append(p.Record())
			}
			p.AppendUnanswered(log.now())
			step, _ := p.Next(s, log.now())
			must.Eq(t, StepWait, step)
			if c.competing {
				_, err := log.publish(other, Base, "a = 9\n", "rival")
				must.NoError(t, err)
			}
			// The record is appended again while its outcome is unknown.
			later := log.now().Add(maxRetryDelay)
			if step, _ := p.Next(s, later); step == StepAppend {
				log.append(p.Record())
			}
			log.catchUp(s)
			step, _ = p.Next(s, later)
			must.Eq(t, c.want, step)
			must.Eq(t, c.accepted, len(s.History()))
		})
	}
}

// TestDamagedRecordsChangeNothing flips a bit of every byte of a record and
// truncates it at every length. All results must be rejected.
func TestDamagedRecordsChangeNothing(t *testing.T) {
	log, s := newFakeLog(), New()
	mustPublish(log, s, Base, "a = 0\n", "genesis")
	p, err := s.Propose(Proposal{Scope: Base, Text: "a = 1\n", Author: "ada", Nonce: "n"})
	must.NoError(t, err)
	for i := range p.Record() {
		flipped := slices.Clone(p.Record())
		flipped[i] ^= 0x40
		log.append(flipped)
		log.append(p.Record()[:i])
	}
	log.append([]byte("a = 1\n"))
	for _, e := range log.catchUp(s) {
		must.Eq(t, EventRejected, e.Kind)
		must.ErrorIs(t, e.Err, ErrFormat)
	}
	must.Eq(t, 1, len(s.History()))
}

// TestInvalidChanges covers children of the head that decode but are invalid.
// They must not block a valid change that follows.
func TestInvalidChanges(t *testing.T) {
	cases := map[string]func(p *Publish){
		"splice beyond the end": func(p *Publish) { p.Change.End = 100 },
		"negative splice":       func(p *Publish) { p.Change.Start = -1 },
		"other root":            func(p *Publish) { p.Change.Text = "a = 7\n" },
		"scope":                 func(p *Publish) { p.Scope = "else" },
		"nonce":                 func(p *Publish) { p.Nonce = "" },
		"parent hash":           func(p *Publish) { p.Parent.Hash = "00" },
		"parent in the future":  func(p *Publish) { p.Parent.Offset = 50 },
	}
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			log, s := newFakeLog(), New()
			mustPublish(log, s, Base, "a = 0\n", "genesis")
			head, docs := s.Current()
			p := &Publish{
				Scope: Base, Parent: head.Version, Nonce: "n",
				Change: Difference("a = 0\n", "a = 1\n"), Root: docs.With(Base, "a = 1\n").Root(),
			}
			corrupt(p)
			data, err := EncodePublish(p)
			must.NoError(t, err)
			log.append(data)
			must.Eq(t, []EventKind{EventRejected}, kinds(log.catchUp(s)))
			mustPublish(log, s, Base, "a = 1\n", "good")
			must.Eq(t, "a = 1\n", text(s, Base))
		})
	}
}

// TestPageOutOfOrder checks that records in the wrong order are not applied but
// read again.
func TestPageOutOfOrder(t *testing.T) {
	log, s := newFakeLog(), New()
	writer := New()
	for _, v := range []string{"a = 0\n", "a = 1\n", "a = 2\n"} {
		mustPublish(log, writer, Base, v, v)
	}
	page := log.page(0, 10)
	page.Records = slices.Clone(page.Records)
	slices.Reverse(page.Records)
	s.ApplyPage(page, log.now(), log.now())
	must.Eq(t, uint64(0), s.Position())
	log.catchUp(s)
	must.Eq(t, "a = 2\n", text(s, Base))
}

// TestSnapshotsReplaceDroppedRecords covers when a snapshot is due, and a log
// that then drops all records below it. A new reader must derive the same
// version from the snapshot.
func TestSnapshotsReplaceDroppedRecords(t *testing.T) {
	const retention = 24 * time.Hour
	log, s := newFakeLog(), New()
	mustPublish(log, s, Base, "a = 0\n", "genesis")
	mustPublish(log, s, Overlay("gent"), "b = 1\n", "overlay")
	want, _ := s.Current()
	published := log.now()
	must.False(t, s.SnapshotDue(published.Add(retention/4-time.Minute), retention, 0))
	must.True(t, s.SnapshotDue(published.Add(retention/4), retention, 0))
	must.False(t, s.SnapshotDue(published.Add(retention/4), retention, 3))
	must.True(t, s.SnapshotDue(published.Add(retention*3/4), retention, 100))

	offset := mustSnapshot(log, s)
	log.catchUp(s)
	must.False(t, s.SnapshotDue(log.now(), retention, 0))
	log.earliest = offset
	fresh := New()
	must.Eq(t, []EventKind{EventAnchored, EventAnchored}, kinds(log.catchUp(fresh)))
	got, _ := fresh.Current()
	must.Eq(t, want.Version, got.Version)
	must.Eq(t, 2, len(fresh.History()))
	must.Eq(t, "b = 1\n", text(fresh, Overlay("gent")))
	mustPublish(log, fresh, Base, "a = 5\n", "next")
	log.catchUp(s)
	must.Eq(t, "a = 5\n", text(s, Base))
}

// TestDelayedSnapshot appends a snapshot of an old state after a newer version.
// A reader that starts there must not return to the old state.
func TestDelayedSnapshot(t *testing.T) {
	log, s := newFakeLog(), New()
	mustPublish(log, s, Base, "a = 0\n", "genesis")
	late, err := s.Snapshot("late")
	must.NoError(t, err)
	mustPublish(log, s, Base, "a = 1\n", "one")
	log.earliest = log.append(late)
	fresh := New()
	log.catchUp(fresh)
	must.False(t, fresh.Anchored())
	head, _ := fresh.Current()
	must.Eq(t, "", head.Version.Hash)
	log.catchUp(s)
	mustSnapshot(log, s)
	log.catchUp(fresh)
	must.Eq(t, "a = 1\n", text(fresh, Base))
}

// TestDivergedSnapshotIsDetected appends a snapshot whose author derived
// another version. Readers must report it and keep theirs.
func TestDivergedSnapshotIsDetected(t *testing.T) {
	log, s := newFakeLog(), New()
	mustPublish(log, s, Base, "a = 0\n", "genesis")
	other := newFakeLog()
	o := New()
	mustPublish(other, o, Base, "a = 9\n", "other")
	data, err := o.Snapshot("")
	must.NoError(t, err)
	log.append(data)
	must.Eq(t, []EventKind{EventDiverged}, kinds(log.catchUp(s)))
	must.Eq(t, "a = 0\n", text(s, Base))
}

// TestStartFromPeers starts readers from peers while the log is unavailable.
// They must continue with the log when it is back, even if it has lost every
// record.
func TestStartFromPeers(t *testing.T) {
	log, s := newFakeLog(), New()
	mustPublish(log, s, Base, "a = 0\n", "genesis")
	mustPublish(log, s, Base, "a = 1\n", "one")
	fresh, second := New(), New()
	transferOffer(t, s, fresh, log.now())
	transferOffer(t, fresh, second, log.now())
	must.Eq(t, "a = 1\n", text(second, Base))
	must.Eq(t, Version{}, second.Confirmed())

	log.earliest = log.next()
	log.catchUp(second)
	must.True(t, second.Anchored())
	must.True(t, second.SnapshotDue(log.now(), time.Hour, 8))
	mustPublish(log, second, Base, "a = 2\n", "two")
	log.catchUp(s)
	must.Eq(t, "a = 2\n", text(s, Base))
}

// transferOffer lets one reader offer its version to another.
func transferOffer(t *testing.T, from, to *State, now time.Time) {
	t.Helper()
	have, _ := to.Current()
	o, err := from.OfferTo(have.Version)
	must.NoError(t, err)
	_, err = to.ApplyOffer(o, now)
	must.NoError(t, err)
}

// TestInvalidOffers covers offers that are old, damaged, or do not extend the
// reader's version. They must change nothing.
func TestInvalidOffers(t *testing.T) {
	log, s := newFakeLog(), New()
	mustPublish(log, s, Base, "a = 0\n", "genesis")
	older := New()
	log.catchUp(older)
	olderOffer, err := older.OfferTo(Version{})
	must.NoError(t, err)
	mustPublish(log, s, Base, "a = 1\n", "one")
	head, _ := s.Current()

	unrelated, private := New(), newFakeLog()
	for _, v := range []string{"a = 7\n", "a = 8\n", "a = 9\n"} {
		mustPublish(private, unrelated, Base, v, v)
	}
	chain := Offer{Records: private.records}
	corrupted := snapshotOf(t, unrelated, func(s *Snapshot) { s.Documents[0].Text = "a = 6\n" })
	renumbered := snapshotOf(t, unrelated, func(s *Snapshot) { s.Head.Version.Offset = 1000 })
	cases := []struct {
		name  string
		offer Offer
		want  error
	}{
		{"nothing", Offer{}, ErrNotNewer},
		{"older snapshot", olderOffer, ErrNotNewer},
		{"chain from another parent", chain, ErrConflict},
		{"snapshot that its hashes contradict", corrupted, ErrContent},
		{"snapshot with another offset", renumbered, ErrContent},
		{"garbage", Offer{Snapshot: []byte("zfc1s12345678")}, ErrFormat},
		{"snapshot as record", Offer{Records: []Record{{Offset: 9, Data: olderOffer.Snapshot}}}, ErrFormat},
	}
	for _, c := range cases {
		_, err := s.ApplyOffer(c.offer, log.now())
		must.ErrorIs(t, err, c.want, must.Sprint(c.name))
		got, _ := s.Current()
		must.Eq(t, head.Version, got.Version)
	}
}

// snapshotOf returns an offer with a snapshot of s that corrupt has modified.
func snapshotOf(t *testing.T, s *State, corrupt func(*Snapshot)) Offer {
	t.Helper()
	snapshot := s.current().snapshot(100, "")
	corrupt(snapshot)
	data, err := EncodeSnapshot(snapshot)
	must.NoError(t, err)
	return Offer{Snapshot: data}
}

// TestForgedVersion covers the ways in which the log refutes an invented
// version that matches its own hashes.
func TestForgedVersion(t *testing.T) {
	cases := []struct {
		name     string
		snapshot bool
		honest   int
	}{
		{"chain, another first child", false, 1},
		{"snapshot, its offset holds another record", true, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log, victim := newFakeLog(), New()
			mustPublish(log, victim, Base, "a = 0\n", "genesis")
			private, forger := newFakeLog(), New()
			private.records = slices.Clone(log.records)
			private.catchUp(forger)
			mustPublish(private, forger, Base, "forged = 1\n", "f1")
			mustPublish(private, forger, Base, "forged = 2\n", "f2")
			offer := snapshotOf(t, forger, func(*Snapshot) {})
			if !c.snapshot {
				offer = Offer{Records: private.records[1:]}
			}
			events, err := victim.ApplyOffer(offer, log.now())
			must.NoError(t, err)
			must.Eq(t, []EventKind{EventUnconfirmed}, kinds(events))
			must.Eq(t, "forged = 2\n", text(victim, Base))

			honest := New()
			log.catchUp(honest)
			for i := range c.honest {
				mustPublish(log, honest, Base, "honest = "+string(rune('0'+i)), string(rune('0'+i)))
			}
			must.SliceContains(t, kinds(log.catchUp(victim)), EventCorrected)
			must.Eq(t, text(honest, Base), text(victim, Base))
			_, err = victim.ApplyOffer(offer, log.now())
			must.Error(t, err)
		})
	}
}

// TestUnconfirmedVersionIsConfirmed checks that versions from a peer are used
// at once and confirmed one by one as they are read from the log.
func TestUnconfirmedVersionIsConfirmed(t *testing.T) {
	log, s := newFakeLog(), New()
	mustPublish(log, s, Base, "a = 0\n", "genesis")
	slow := New()
	log.catchUp(slow)
	mustPublish(log, s, Base, "a = 1\n", "one")
	mustPublish(log, s, Base, "a = 2\n", "two")
	transferOffer(t, s, slow, log.now())
	must.Eq(t, "a = 2\n", text(slow, Base))
	must.Eq(t, uint64(0), slow.Confirmed().Offset)
	// A read from a lagging replica shows neither version. That does not refute them.
	now := log.now().Add(time.Second)
	stale := Page{Next: 1}
	must.SliceEmpty(t, slow.ApplyPage(stale, now, now))
	must.Eq(t, []EventKind{EventAccepted}, kinds(log.read(slow, 1)))
	must.Eq(t, "a = 2\n", text(slow, Base))
	log.catchUp(slow)
	must.Eq(t, uint64(2), slow.Confirmed().Offset)
	must.Nil(t, slow.unconfirmed)
}

// TestEarlierVersions checks that the documents of earlier versions are
// restored.
func TestEarlierVersions(t *testing.T) {
	log, s := newFakeLog(), New()
	for _, v := range []string{"a = 0\n", "a = 1\nb = 1\n", "b = 1\n"} {
		mustPublish(log, s, Base, v, v)
	}
	mustPublish(log, s, Overlay("gent"), "c = 1\n", "gent")
	for offset, want := range []string{"a = 0\n", "a = 1\nb = 1\n", "b = 1\n", "b = 1\n"} {
		entry, docs, err := s.At(uint64(offset))
		must.NoError(t, err)
		got, _ := docs.Text(Base)
		must.Eq(t, want, got)
		must.Eq(t, entry.Root, docs.Root())
	}
	_, _, err := s.At(17)
	must.Error(t, err)
}

// TestPeerVersions covers the choice of the peer to fetch from, the detection
// of divergence and the encoding of digests.
func TestPeerVersions(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	own := Version{Offset: 5, Hash: hashText("own")}
	newer := DigestOf(Version{Offset: 7, Hash: hashText("newer")}, 5)
	s := NewPeerVersions()
	s.Observe("vm-1", DigestOf(own, 5), at)
	s.Observe("vm-2", newer, at)
	_, ok := s.StartFetch(own, at)
	must.False(t, ok, must.Sprint("the log has the first chance"))
	vm, ok := s.StartFetch(own, at.Add(FetchDelay))
	must.True(t, ok)
	must.Eq(t, fleet.VM("vm-2"), vm)
	_, ok = s.StartFetch(own, at.Add(FetchDelay))
	must.False(t, ok, must.Sprint("one peer at a time"))
	s.EndFetch("vm-2", false, at.Add(FetchDelay))
	_, ok = s.StartFetch(own, at.Add(FetchDelay))
	must.False(t, ok, must.Sprint("not the same peer at once"))
	_, ok = s.StartFetch(own, at.Add(FetchDelay+fetchBackoff))
	must.True(t, ok)
	_, ok = NewPeerVersions().StartFetch(Version{}, at)
	must.False(t, ok)

	_, ok = s.Diverged(own)
	must.False(t, ok)
	s.Observe("vm-3", DigestOf(Version{Offset: 5, Hash: hashText("other")}, 5), at)
	vm, ok = s.Diverged(own)
	must.True(t, ok)
	must.Eq(t, fleet.VM("vm-3"), vm)

	must.MapLen(t, 3, s.Digests(at.Add(digestMaxAge)))
	must.MapEmpty(t, s.Digests(at.Add(digestMaxAge+1)))

	decoded, err := DecodeDigest(newer.Encode())
	must.NoError(t, err)
	must.Eq(t, newer, decoded)
	_, err = DecodeDigest([]byte("short"))
	must.ErrorIs(t, err, ErrDigest)
}

// TestUnreadRecordsAreDropped lets the log drop records that a reader has not
// read. It must keep its version until a snapshot brings it up to date.
func TestUnreadRecordsAreDropped(t *testing.T) {
	log, s := newFakeLog(), New()
	mustPublish(log, s, Base, "a = 0\n", "genesis")
	behind := New()
	log.catchUp(behind)
	mustPublish(log, s, Base, "a = 1\n", "one")
	log.earliest = log.next()
	must.Eq(t, []EventKind{EventGap}, kinds(log.catchUp(behind)))
	must.False(t, behind.Anchored())
	must.Eq(t, "a = 0\n", text(behind, Base))
	mustSnapshot(log, s)
	log.catchUp(behind)
	must.Eq(t, "a = 1\n", text(behind, Base))
}
