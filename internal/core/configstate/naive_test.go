package configstate

import (
	"fmt"
	"time"
)

// referenceHead is the newest version and its documents at one log position.
type referenceHead struct {
	version Version
	texts   map[Scope]string
}

// referenceHeads derives the versions with whole documents and without
// snapshots, as a reference for the incremental reader. It returns the head
// before each offset; the last one is the head of the whole log.
func referenceHeads(records []Record) []referenceHead {
	head := referenceHead{texts: map[Scope]string{}}
	heads := []referenceHead{head}
	for _, r := range records {
		if next, ok := referenceChild(head, r); ok {
			head = next
		}
		heads = append(heads, head)
	}
	return heads
}

// referenceChild returns the head after r, and false if r is not a valid child
// of head.
func referenceChild(head referenceHead, r Record) (referenceHead, bool) {
	v, err := decode(r.Data)
	if err != nil {
		return head, false
	}
	p, ok := v.(*Publish)
	if !ok || p.Parent != head.version {
		return head, false
	}
	old := head.texts[p.Scope]
	if p.Change.Start < 0 || p.Change.End > len(old) || p.Change.Start > p.Change.End {
		return head, false
	}
	next := referenceHead{texts: map[Scope]string{}}
	for scope, text := range head.texts {
		next.texts[scope] = text
	}
	next.texts[p.Scope] = old[:p.Change.Start] + p.Change.Text + old[p.Change.End:]
	docs := Documents{}
	for scope, text := range next.texts {
		docs = docs.With(scope, text)
	}
	if docs.Root() != p.Root {
		return head, false
	}
	next.version = p.entry(r.Offset).Version
	return next, true
}

// fakeLog is an append-only log that can drop its oldest records.
type fakeLog struct {
	records  []Record
	earliest uint64
	start    time.Time
}

// newFakeLog returns an empty log.
func newFakeLog() *fakeLog { return &fakeLog{start: time.Unix(1_800_000_000, 0).UTC()} }

// next returns the offset of the next record.
func (l *fakeLog) next() uint64 { return uint64(len(l.records)) }

// now returns a time that advances by one second with each record.
func (l *fakeLog) now() time.Time { return l.start.Add(time.Duration(len(l.records)) * time.Second) }

// append stores a record and returns its offset.
func (l *fakeLog) append(data []byte) uint64 {
	offset := l.next()
	l.records = append(l.records, Record{Offset: offset, Time: l.now(), Data: data})
	return offset
}

// page returns up to limit records from an offset on.
func (l *fakeLog) page(from uint64, limit int) Page {
	from = min(max(from, l.earliest), l.next())
	end := min(l.next(), from+uint64(limit))
	return Page{Records: l.records[from:end], Earliest: l.earliest, Next: l.next()}
}

// read lets s read at most limit records.
func (l *fakeLog) read(s *State, limit int) []Event {
	now := l.now()
	return s.ApplyPage(l.page(s.Position(), limit), now, now)
}

// catchUp lets s read to the end of the log, including the passes that start
// further back.
func (l *fakeLog) catchUp(s *State) []Event {
	var events []Event
	for range 100 {
		events = append(events, l.read(s, 1000)...)
		if s.Position() == l.next() {
			break
		}
	}
	return events
}

// publish proposes text based on the current version of s and appends the
// record.
func (l *fakeLog) publish(s *State, scope Scope, text, nonce string) (*Publication, error) {
	p, err := s.Propose(Proposal{Scope: scope, Text: text, Author: "ada", Nonce: nonce, At: l.now()})
	if err != nil {
		return nil, err
	}
	l.append(p.Record())
	return p, nil
}

// mustPublish publishes text and lets s read to the end of the log.
func mustPublish(l *fakeLog, s *State, scope Scope, text, nonce string) {
	if _, err := l.publish(s, scope, text, nonce); err != nil {
		panic(fmt.Sprintf("publish %s: %v", nonce, err))
	}
	l.catchUp(s)
}

// mustSnapshot appends a snapshot of s and returns its offset.
func mustSnapshot(l *fakeLog, s *State) uint64 {
	data, err := s.Snapshot("snapshot")
	if err != nil {
		panic(err)
	}
	return l.append(data)
}
