package configstate

import (
	"errors"
	"strconv"
	"time"
)

// Limits of records. Every reader must reject the same records, so the limits
// may only change together with the record format.
const (
	// MaxDocumentBytes limits the length of one document.
	MaxDocumentBytes = 4 << 20
	// MaxTotalBytes limits the total length of all documents.
	MaxTotalBytes = 16 << 20
	// maxMetadataBytes limits the author, the nonce and the comment, each.
	maxMetadataBytes = 1024
)

// Reasons why a record is rejected.
var (
	// ErrFormat means that the record is truncated, damaged or in an unknown
	// format.
	ErrFormat = errors.New("record cannot be decoded")
	// ErrConflict means that another child of the parent came first in the log,
	// or that the parent was never accepted.
	ErrConflict = errors.New("the parent is not the newest version")
	// ErrContent means that the change is invalid for the parent's documents.
	ErrContent = errors.New("change does not fit the parent's documents")
)

// Publish is the log record that changes one document.
type Publish struct {
	// Scope names the changed document.
	Scope Scope `msgpack:"s"`
	// Parent is the version that the change applies to.
	Parent Version `msgpack:"p"`
	// Author is the operator or program that made the change.
	Author string `msgpack:"a"`
	// Nonce identifies the publication; see [State.Outcome].
	Nonce   string `msgpack:"n"`
	Comment string `msgpack:"c"`
	// At is the time on the author's clock. It is informational only.
	At time.Time `msgpack:"t"`
	// Change turns the parent's document into the new one.
	Change Splice `msgpack:"d"`
	// Root is the root hash of all documents after the change.
	Root string `msgpack:"r"`
}

// Snapshot is the log record of the state after all log records below Base. It
// is valid at any offset, since that state never changes.
type Snapshot struct {
	// Base is the log position that the snapshot describes.
	Base uint64 `msgpack:"b"`
	// Head is the newest version below Base.
	Head Entry `msgpack:"h"`
	// Documents are the documents of Head, sorted by scope.
	Documents []SnapshotDocument `msgpack:"d"`
	// History holds the most recent entries, the oldest first and Head last.
	History []Entry `msgpack:"y"`
	// Nonce identifies the snapshot record.
	Nonce string `msgpack:"n"`
}

// SnapshotDocument is one document of a snapshot.
type SnapshotDocument struct {
	Scope Scope  `msgpack:"s"`
	Text  string `msgpack:"t"`
}

// Entry describes one accepted version: who changed which document, when and
// why.
type Entry struct {
	Version Version `json:"version" msgpack:"v"`
	Parent  Version `json:"parent" msgpack:"p"`
	Scope   Scope   `json:"scope" msgpack:"s"`
	Author  string  `json:"author" msgpack:"a"`
	Nonce   string  `json:"nonce" msgpack:"n"`
	Comment string  `json:"comment,omitempty" msgpack:"c"`
	// At is the time on the author's clock. It is informational only.
	At time.Time `json:"at" msgpack:"t"`
	// Root is the root hash of all documents of this version.
	Root string `json:"root" msgpack:"r"`
}

// hash returns the version hash. It covers the documents, the author and the
// log offset, and through the parent all earlier versions.
func (e *Entry) hash() string {
	var h hasher
	h.add(
		e.Parent.Hash, strconv.FormatUint(e.Parent.Offset, 10),
		strconv.FormatUint(e.Version.Offset, 10),
		string(e.Scope), e.Author, e.Nonce, e.Comment,
		strconv.FormatInt(e.At.UnixMilli(), 10), e.Root,
	)
	return h.sum()
}

// entry returns the version that the record becomes when accepted at offset.
func (p *Publish) entry(offset uint64) Entry {
	e := Entry{
		Version: Version{Offset: offset},
		Parent:  p.Parent,
		Scope:   p.Scope,
		Author:  p.Author,
		Nonce:   p.Nonce,
		Comment: p.Comment,
		At:      p.At.UTC(),
		Root:    p.Root,
	}
	e.Version.Hash = e.hash()
	return e
}

// verify checks the snapshot against its own hashes and returns its documents.
// The error is ErrContent.
func (s *Snapshot) verify() (Documents, error) {
	var docs Documents
	for _, d := range s.Documents {
		if !d.Scope.Valid() {
			return Documents{}, ErrContent
		}
		docs = docs.With(d.Scope, d.Text)
	}
	if docs.Root() != s.Head.Root || s.Head.hash() != s.Head.Version.Hash || s.Head.Version.Offset >= s.Base {
		return Documents{}, ErrContent
	}
	if n := len(s.History); n == 0 || n > maxOlderEntries || s.History[n-1].Version != s.Head.Version {
		return Documents{}, ErrContent
	}
	return docs, nil
}

// Splice replaces the bytes from Start up to End of a document with Text.
type Splice struct {
	Start int    `msgpack:"s"`
	End   int    `msgpack:"e"`
	Text  string `msgpack:"t"`
}

// Difference returns the splice that turns before into after. It leaves out the
// common start and end of the two.
func Difference(before, after string) Splice {
	limit := min(len(before), len(after))
	start := 0
	for start < limit && before[start] == after[start] {
		start++
	}
	tail := 0
	for tail < limit-start && before[len(before)-1-tail] == after[len(after)-1-tail] {
		tail++
	}
	return Splice{Start: start, End: len(before) - tail, Text: after[start : len(after)-tail]}
}

// Apply returns text with the splice applied, or ErrContent if the splice is
// out of range.
func (s Splice) Apply(text string) (string, error) {
	if s.Start < 0 || s.End < s.Start || s.End > len(text) {
		return "", ErrContent
	}
	return text[:s.Start] + s.Text + text[s.End:], nil
}
