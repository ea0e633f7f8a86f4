// Package configstate decides which version of the configuration is the current
// one.
//
// Routers publish changes as records of an append-only log, the configuration
// stream. Every reader applies the same rule to the same records, so all of
// them accept the same versions without any coordination: the first valid
// record that names the current version as its parent becomes the next version.
// Snapshot records let new readers start late in the log and let the log drop
// old records. While the log is slow or unavailable, routers fetch newer
// versions from peers and check them against the log later.
package configstate

import (
	"strings"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Scope names one document of the configuration: the shared base or the overlay
// of one site.
type Scope string

// Base is the scope of the base document, which all sites share.
const Base Scope = "base"

const overlayPrefix = "site/"

// Overlay returns the scope of a site's overlay document.
func Overlay(site fleet.Site) Scope { return Scope(overlayPrefix + string(site)) }

// Site returns the site of an overlay scope, and false for the base.
func (s Scope) Site() (fleet.Site, bool) {
	site, ok := strings.CutPrefix(string(s), overlayPrefix)
	return fleet.Site(site), ok
}

// Valid reports whether the scope is the base or the overlay of a named site.
func (s Scope) Valid() bool {
	site, ok := s.Site()
	return s == Base || (ok && site != "")
}

// Version identifies one accepted state of all documents. The zero value means
// that there is none.
type Version struct {
	// Offset is the log offset of the record that created the version.
	Offset uint64 `json:"offset" msgpack:"o"`
	// Hash covers the documents and, through the parent, all earlier versions.
	Hash string `json:"hash" msgpack:"h"`
}
