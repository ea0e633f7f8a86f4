package configstate

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
)

// hashLength is the number of hex digits of a hash in versions and roots.
const hashLength = 32

// Documents is an immutable set of the configuration's documents.
type Documents struct {
	byScope map[Scope]document
}

type document struct {
	text string
	sum  string
}

// Text returns the document of scope and whether there is one.
func (d Documents) Text(scope Scope) (string, bool) {
	doc, ok := d.byScope[scope]
	return doc.text, ok
}

// Scopes returns the scopes that have a document, sorted.
func (d Documents) Scopes() []Scope {
	return slices.Sorted(maps.Keys(d.byScope))
}

// With returns the set with the document of scope replaced by text.
func (d Documents) With(scope Scope, text string) Documents {
	next := maps.Clone(d.byScope)
	if next == nil {
		next = make(map[Scope]document, 1)
	}
	next[scope] = document{text: text, sum: sum(text)}
	return Documents{byScope: next}
}

// Root returns the hash of all documents.
func (d Documents) Root() string {
	var h hasher
	for _, scope := range d.Scopes() {
		h.add(string(scope), d.byScope[scope].sum)
	}
	return h.sum()
}

// Size returns the length of all documents in bytes.
func (d Documents) Size() int {
	var n int
	for _, doc := range d.byScope {
		n += len(doc.text)
	}
	return n
}

func sum(text string) string {
	s := sha256.Sum256([]byte(text))
	return hex.EncodeToString(s[:])[:hashLength]
}

// hasher hashes a list of strings so that no two lists share an input.
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

// without returns the set without the document of scope.
func (d Documents) without(scope Scope) Documents {
	next := maps.Clone(d.byScope)
	delete(next, scope)
	return Documents{byScope: next}
}
