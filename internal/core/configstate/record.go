package configstate

import (
	"errors"
	"strconv"
	"time"
)

// Limits of records. A record beyond them is refused everywhere alike, so
// they may only be changed together with the record format.
const (
	// MaxDocumentBytes limits one document, in bytes.
	MaxDocumentBytes = 4 << 20
	// MaxTotalBytes limits all documents together, in bytes.
	MaxTotalBytes = 16 << 20
	// maxNote limits the author, the nonce and the comment, in bytes.
	maxNote = 1024
)

// Errors that say why a record was refused.
var (
	// ErrFormat means that the record is cut, damaged or of another format.
	ErrFormat = errors.New("record cannot be decoded")
	// ErrConflict means that another child of the parent came first, or that the
	// parent is no version that was accepted.
	ErrConflict = errors.New("the parent is not the newest version")
	// ErrContent means that the change does not fit the parent's documents.
	ErrContent = errors.New("change does not fit the parent's documents")
)

// Publish is the record of one change of one document.
type Publish struct {
	Scope   Scope   `msgpack:"s"`
	Parent  Version `msgpack:"p"`
	Author  string  `msgpack:"a"`
	Nonce   string  `msgpack:"n"`
	Comment string  `msgpack:"c"`
	// At is the time on the author's clock. It is shown and decides nothing.
	At time.Time `msgpack:"t"`
	// Change turns the parent's document into the new one.
	Change Splice `msgpack:"d"`
	// Root is the hash of all documents after the change.
	Root string `msgpack:"r"`
}

// Snapshot is the record of the state after all log records below Base. It is
// true at whatever offset it lands, since that state never changes.
type Snapshot struct {
	Base uint64 `msgpack:"b"`
	Head Entry  `msgpack:"h"`
	// Documents are sorted by scope.
	Documents []SnapshotDocument `msgpack:"d"`
	// History holds the newest entries, the oldest first and Head last.
	History []Entry `msgpack:"y"`
	Nonce   string  `msgpack:"n"`
}

// SnapshotDocument is one document of a snapshot.
type SnapshotDocument struct {
	Scope Scope  `msgpack:"s"`
	Text  string `msgpack:"t"`
}

// Entry describes one accepted version.
type Entry struct {
	Version Version   `json:"version" msgpack:"v"`
	Parent  Version   `json:"parent" msgpack:"p"`
	Scope   Scope     `json:"scope" msgpack:"s"`
	Author  string    `json:"author" msgpack:"a"`
	Nonce   string    `json:"nonce" msgpack:"n"`
	Comment string    `json:"comment,omitempty" msgpack:"c"`
	At      time.Time `json:"at" msgpack:"t"`
	// Root is the hash of all documents of this version.
	Root string `json:"root" msgpack:"r"`
}

// hash returns the version hash: it covers the documents, who published them
// where in the log, and through the parent all versions before.
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

// entry returns the entry of the publish record once accepted at offset.
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

// documents checks the snapshot against its own hashes.
func (s *Snapshot) documents() (Documents, error) {
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
	if n := len(s.History); n == 0 || n > maxOlder || s.History[n-1].Version != s.Head.Version {
		return Documents{}, ErrContent
	}
	return docs, nil
}

// Splice replaces the bytes from Start to End of a document by Text.
type Splice struct {
	Start int    `msgpack:"s"`
	End   int    `msgpack:"e"`
	Text  string `msgpack:"t"`
}

// Difference returns the splice that turns before into after.
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

// Apply returns text with the splice made.
func (s Splice) Apply(text string) (string, error) {
	if s.Start < 0 || s.End < s.Start || s.End > len(text) {
		return "", ErrContent
	}
	return text[:s.Start] + s.Text + text[s.End:], nil
}
