package configstate

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
)

// hashLength is the number of hex digits of version, root and document hashes:
// half a SHA-256 hash.
const hashLength = 32

// Documents is an immutable set of configuration documents, at most one for
// each scope. The zero value is empty.
type Documents struct {
	byScope map[Scope]document
}

// document is the text of a document and the hash of that text.
type document struct {
	text string
	hash string
}

// Text returns the document of scope and whether it exists.
func (d Documents) Text(scope Scope) (string, bool) {
	doc, ok := d.byScope[scope]
	return doc.text, ok
}

// Scopes returns the scopes that have a document, sorted.
func (d Documents) Scopes() []Scope {
	return slices.Sorted(maps.Keys(d.byScope))
}

// With returns a copy of the set in which text is the document of scope.
func (d Documents) With(scope Scope, text string) Documents {
	next := maps.Clone(d.byScope)
	if next == nil {
		next = make(map[Scope]document, 1)
	}
	next[scope] = document{text: text, hash: hashText(text)}
	return Documents{byScope: next}
}

// Root returns the root hash, which covers the scope and text of every
// document.
func (d Documents) Root() string {
	var h hasher
	for _, scope := range d.Scopes() {
		h.add(string(scope), d.byScope[scope].hash)
	}
	return h.sum()
}

// Size returns the total length of all documents in bytes.
func (d Documents) Size() int {
	var n int
	for _, doc := range d.byScope {
		n += len(doc.text)
	}
	return n
}

// hashText returns the hash of a document's text in hex.
func hashText(text string) string {
	s := sha256.Sum256([]byte(text))
	return hex.EncodeToString(s[:])[:hashLength]
}

// hasher hashes a list of strings. Each string is preceded by its length, so
// that two different lists never give the same input.
type hasher struct {
	buf []byte
}

func (h *hasher) add(parts ...string) {
	for _, p := range parts {
		n := uint32(len(p))
		h.buf = append(h.buf, byte(n>>24), byte(n>>16), byte(n>>8), byte(n))
		h.buf = append(h.buf, p...)
	}
}

func (h *hasher) sum() string {
	s := sha256.Sum256(h.buf)
	return hex.EncodeToString(s[:])[:hashLength]
}

// without returns a copy of the set that lacks the document of scope.
func (d Documents) without(scope Scope) Documents {
	next := maps.Clone(d.byScope)
	delete(next, scope)
	return Documents{byScope: next}
}
