package configstate

import (
	"fmt"
	"slices"
)

// Limits of what a line keeps for history, offers to peers and rollback.
const (
	maxSteps     = 512
	maxStepBytes = 4 << 20
	maxOlder     = 64
)

// line is a run of accepted versions up to its head.
type line struct {
	head Entry
	docs Documents
	// steps led to head, the oldest first. They may not reach back to the
	// first version.
	steps     []step
	stepBytes int
	// older are the entries before the first step, without their changes. When
	// there is no step, the last of them is the head.
	older []Entry
}

// step is one accepted change with the way back.
type step struct {
	entry Entry
	// data is the log record.
	data []byte
	undo Splice
	// created is true when the document did not exist before.
	created bool
}

func (s *step) size() int { return len(s.data) + len(s.undo.Text) }

// follow checks that p, read at offset, is a child of the head, and returns
// the line with p as its head.
func (l line) follow(p *Publish, offset uint64, data []byte) (line, error) {
	if p.Parent != l.head.Version {
		return line{}, fmt.Errorf("%w: parent %d, newest %d", ErrConflict, p.Parent.Offset, l.head.Version.Offset)
	}
	if l.head.Version.Hash != "" && offset <= l.head.Version.Offset {
		return line{}, fmt.Errorf("%w: offset %d is not above its parent", ErrContent, offset)
	}
	if err := p.check(); err != nil {
		return line{}, err
	}
	before, existed := l.docs.Text(p.Scope)
	after, err := p.Change.Apply(before)
	if err != nil {
		return line{}, err
	}
	docs := l.docs.With(p.Scope, after)
	if len(after) > MaxDocumentBytes || docs.Size() > MaxTotalBytes {
		return line{}, fmt.Errorf("%w: documents too large", ErrContent)
	}
	if docs.Root() != p.Root {
		return line{}, fmt.Errorf("%w: hash of the documents differs", ErrContent)
	}
	s := step{entry: p.entry(offset), data: data, undo: Difference(after, before), created: !existed}
	return l.push(s, docs), nil
}

// check holds the limits of a publish record that need no parent.
func (p *Publish) check() error {
	switch {
	case !p.Scope.Valid():
		return fmt.Errorf("%w: scope %q", ErrContent, p.Scope)
	case p.Nonce == "" || len(p.Nonce) > maxNote:
		return fmt.Errorf("%w: length of the nonce", ErrContent)
	case len(p.Author) > maxNote || len(p.Comment) > maxNote:
		return fmt.Errorf("%w: author or comment longer than %d bytes", ErrContent, maxNote)
	}
	return nil
}

func (l line) push(s step, docs Documents) line {
	next := line{head: s.entry, docs: docs, older: l.older, stepBytes: l.stepBytes + s.size()}
	next.steps = append(slices.Clip(l.steps), s)
	for len(next.steps) > maxSteps || (next.stepBytes > maxStepBytes && len(next.steps) > 1) {
		dropped := next.steps[0]
		next.steps = next.steps[1:]
		next.stepBytes -= dropped.size()
		next.older = appendOlder(next.older, dropped.entry)
	}
	return next
}

func appendOlder(older []Entry, e Entry) []Entry {
	out := append(slices.Clip(older), e)
	return out[max(0, len(out)-maxOlder):]
}

// includes reports whether v is the head or a version before it, and whether
// the line reaches back far enough to tell.
func (l line) includes(v Version) (yes, known bool) {
	entries := l.history()
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].Version == v {
			return true, true
		}
		if entries[i].Version.Offset < v.Offset {
			return false, true
		}
	}
	return false, len(entries) > 0 && entries[0].Parent.Hash == ""
}

// passed reports whether the line is known to hold a child of v, the version
// before the first one included.
func (l line) passed(v Version) bool {
	if l.head.Version == v {
		return false
	}
	for _, e := range l.history() {
		if e.Parent == v {
			return true
		}
	}
	return false
}

// history returns the known entries, the oldest first, the head last.
func (l line) history() []Entry {
	out := slices.Clone(l.older)
	for _, s := range l.steps {
		out = append(out, s.entry)
	}
	return out
}

// headAt returns the version that was the head for a reader of all records
// below base, and whether the line reaches back far enough to tell.
func (l line) headAt(base uint64) (head Version, known bool) {
	entries := l.history()
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].Version.Offset < base {
			return entries[i].Version, true
		}
	}
	return Version{}, false
}

// at returns the documents of the version accepted at offset.
func (l line) at(offset uint64) (Entry, Documents, error) {
	entry, docs := l.head, l.docs
	for i := len(l.steps) - 1; i >= 0 && entry.Version.Offset > offset; i-- {
		docs = l.steps[i].back(docs)
		entry = l.entryBefore(i)
	}
	if entry.Version.Offset != offset || entry.Version.Hash == "" {
		return Entry{}, Documents{}, fmt.Errorf("no version at offset %d is kept", offset)
	}
	return entry, docs, nil
}

func (l line) entryBefore(i int) Entry {
	if i > 0 {
		return l.steps[i-1].entry
	}
	if n := len(l.older); n > 0 {
		return l.older[n-1]
	}
	return Entry{}
}

// back undoes the step.
func (s *step) back(docs Documents) Documents {
	if s.created {
		return docs.without(s.entry.Scope)
	}
	text, _ := docs.Text(s.entry.Scope)
	before, err := s.undo.Apply(text)
	if err != nil {
		return docs
	}
	return docs.With(s.entry.Scope, before)
}

// since returns the records of the versions after v, and false when the line
// does not keep all of them.
func (l line) since(v Version) ([]Record, bool) {
	if l.head.Version == v {
		return nil, true
	}
	for i := len(l.steps) - 1; i >= 0; i-- {
		if l.steps[i].entry.Parent != v {
			continue
		}
		var out []Record
		for _, s := range l.steps[i:] {
			out = append(out, Record{Offset: s.entry.Version.Offset, Data: s.data})
		}
		return out, true
	}
	return nil, false
}

// snapshot returns the record of the state after all log records below base.
func (l line) snapshot(base uint64, nonce string) *Snapshot {
	s := &Snapshot{Base: base, Head: l.head, Nonce: nonce}
	for _, scope := range l.docs.Scopes() {
		text, _ := l.docs.Text(scope)
		s.Documents = append(s.Documents, SnapshotDocument{Scope: scope, Text: text})
	}
	entries := l.history()
	s.History = entries[max(0, len(entries)-maxOlder):]
	return s
}

// lineOf returns the line that a snapshot describes.
func lineOf(s *Snapshot) (line, error) {
	docs, err := s.documents()
	if err != nil {
		return line{}, fmt.Errorf("snapshot of version %d: %w", s.Head.Version.Offset, err)
	}
	return line{head: s.Head, docs: docs, older: s.History}, nil
}
