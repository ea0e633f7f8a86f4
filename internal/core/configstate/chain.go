package configstate

import (
	"fmt"
	"slices"
)

// Limits of what a chain keeps for history, offers to peers and rollback.
const (
	maxChanges      = 512
	maxChangeBytes  = 4 << 20
	maxOlderEntries = 64
)

// chain is a sequence of accepted versions that ends in its head. It is
// immutable: adding a version returns a new chain.
type chain struct {
	head Entry
	// docs are the documents of head.
	docs Documents
	// changes led to head, the oldest first. They need not reach back to the
	// first version.
	changes []change
	// changeBytes is the total size of changes.
	changeBytes int
	// olderEntries are the entries before the first change, without the changes
	// themselves. If there are no changes, the last of them is the head.
	olderEntries []Entry
}

// change is one accepted change and its inverse.
type change struct {
	entry Entry
	// data is the publish record as read from the log.
	data []byte
	// undo turns the document after the change into the one before it.
	undo Splice
	// created is true when the change created the document.
	created bool
}

// size returns the number of bytes that count against maxChangeBytes.
func (ch *change) size() int { return len(ch.data) + len(ch.undo.Text) }

// extend checks that p, read at offset, is a valid child of the head, and
// returns the chain with p as its head. Errors wrap ErrConflict if p has
// another parent, else ErrContent.
func (c chain) extend(p *Publish, offset uint64, data []byte) (chain, error) {
	if p.Parent != c.head.Version {
		return chain{}, fmt.Errorf("%w: parent %d, newest %d", ErrConflict, p.Parent.Offset, c.head.Version.Offset)
	}
	if c.head.Version.Hash != "" && offset <= c.head.Version.Offset {
		return chain{}, fmt.Errorf("%w: offset %d is not above the parent's offset", ErrContent, offset)
	}
	if err := p.validate(); err != nil {
		return chain{}, err
	}
	before, existed := c.docs.Text(p.Scope)
	after, err := p.Change.Apply(before)
	if err != nil {
		return chain{}, err
	}
	docs := c.docs.With(p.Scope, after)
	if len(after) > MaxDocumentBytes || docs.Size() > MaxTotalBytes {
		return chain{}, fmt.Errorf("%w: documents exceed their size limit", ErrContent)
	}
	if docs.Root() != p.Root {
		return chain{}, fmt.Errorf("%w: root hash does not match the documents", ErrContent)
	}
	ch := change{entry: p.entry(offset), data: data, undo: Difference(after, before), created: !existed}
	return c.push(ch, docs), nil
}

// validate checks the limits that do not depend on the parent.
func (p *Publish) validate() error {
	switch {
	case !p.Scope.Valid():
		return fmt.Errorf("%w: invalid scope %q", ErrContent, p.Scope)
	case p.Nonce == "" || len(p.Nonce) > maxMetadataBytes:
		return fmt.Errorf("%w: nonce is empty or too long", ErrContent)
	case len(p.Author) > maxMetadataBytes || len(p.Comment) > maxMetadataBytes:
		return fmt.Errorf("%w: author or comment longer than %d bytes", ErrContent, maxMetadataBytes)
	}
	return nil
}

// push adds a change and moves the oldest changes beyond the limits to
// olderEntries.
func (c chain) push(ch change, docs Documents) chain {
	next := chain{head: ch.entry, docs: docs, olderEntries: c.olderEntries, changeBytes: c.changeBytes + ch.size()}
	next.changes = append(slices.Clip(c.changes), ch)
	for len(next.changes) > maxChanges || (next.changeBytes > maxChangeBytes && len(next.changes) > 1) {
		dropped := next.changes[0]
		next.changes = next.changes[1:]
		next.changeBytes -= dropped.size()
		next.olderEntries = appendOlderEntry(next.olderEntries, dropped.entry)
	}
	return next
}

// appendOlderEntry returns a copy of older with e added, cut to the newest
// maxOlderEntries.
func appendOlderEntry(older []Entry, e Entry) []Entry {
	out := append(slices.Clip(older), e)
	return out[max(0, len(out)-maxOlderEntries):]
}

// contains reports whether v is the head or one of the versions before it;
// known is false if the chain does not reach back far enough to tell.
func (c chain) contains(v Version) (yes, known bool) {
	entries := c.history()
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

// hasChildOf reports whether the chain is known to contain a child of v. The
// zero version is the parent of the first one.
func (c chain) hasChildOf(v Version) bool {
	if c.head.Version == v {
		return false
	}
	for _, e := range c.history() {
		if e.Parent == v {
			return true
		}
	}
	return false
}

// history returns the known entries, the oldest first and the head last.
func (c chain) history() []Entry {
	out := slices.Clone(c.olderEntries)
	for _, ch := range c.changes {
		out = append(out, ch.entry)
	}
	return out
}

// headBefore returns the version that was the newest after all records below
// base; known is false if the chain does not reach back far enough to tell.
func (c chain) headBefore(base uint64) (head Version, known bool) {
	entries := c.history()
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].Version.Offset < base {
			return entries[i].Version, true
		}
	}
	return Version{}, false
}

// versionAt returns the version accepted at offset and its documents, which it
// restores by undoing later changes. It returns an error if that version is not
// kept.
func (c chain) versionAt(offset uint64) (Entry, Documents, error) {
	entry, docs := c.head, c.docs
	for i := len(c.changes) - 1; i >= 0 && entry.Version.Offset > offset; i-- {
		docs = c.changes[i].revert(docs)
		entry = c.entryBefore(i)
	}
	if entry.Version.Offset != offset || entry.Version.Hash == "" {
		return Entry{}, Documents{}, fmt.Errorf("version at offset %d is not kept", offset)
	}
	return entry, docs, nil
}

// entryBefore returns the entry before changes[i], the zero entry if it is not
// kept.
func (c chain) entryBefore(i int) Entry {
	if i > 0 {
		return c.changes[i-1].entry
	}
	if n := len(c.olderEntries); n > 0 {
		return c.olderEntries[n-1]
	}
	return Entry{}
}

// revert returns the documents before the change, given those after it.
func (ch *change) revert(docs Documents) Documents {
	if ch.created {
		return docs.without(ch.entry.Scope)
	}
	text, _ := docs.Text(ch.entry.Scope)
	before, err := ch.undo.Apply(text)
	if err != nil {
		return docs
	}
	return docs.With(ch.entry.Scope, before)
}

// recordsAfter returns the publish records of all versions after v, and false
// if the chain no longer keeps all of them.
func (c chain) recordsAfter(v Version) ([]Record, bool) {
	if c.head.Version == v {
		return nil, true
	}
	for i := len(c.changes) - 1; i >= 0; i-- {
		if c.changes[i].entry.Parent != v {
			continue
		}
		var out []Record
		for _, ch := range c.changes[i:] {
			out = append(out, Record{Offset: ch.entry.Version.Offset, Data: ch.data})
		}
		return out, true
	}
	return nil, false
}

// snapshot returns the snapshot of the head for log position base.
func (c chain) snapshot(base uint64, nonce string) *Snapshot {
	s := &Snapshot{Base: base, Head: c.head, Nonce: nonce}
	for _, scope := range c.docs.Scopes() {
		text, _ := c.docs.Text(scope)
		s.Documents = append(s.Documents, SnapshotDocument{Scope: scope, Text: text})
	}
	entries := c.history()
	s.History = entries[max(0, len(entries)-maxOlderEntries):]
	return s
}

// chainOf returns the chain described by a snapshot, without changes. It
// returns an error if the snapshot does not match its own hashes.
func chainOf(s *Snapshot) (chain, error) {
	docs, err := s.verify()
	if err != nil {
		return chain{}, fmt.Errorf("snapshot of version %d: %w", s.Head.Version.Offset, err)
	}
	return chain{head: s.Head, docs: docs, olderEntries: s.History}, nil
}
