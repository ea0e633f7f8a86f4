// Package configstate decides which version of the configuration is the
// current one, from the records of the configuration stream and from what
// peers offer.
package configstate

import (
	"strings"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Scope names one document of the configuration: the shared base or the
// overlay of one site.
type Scope string

// Base is the scope of the shared base document.
const Base Scope = "base"

const overlayPrefix = "site/"

// Overlay returns the scope of a site's overlay document.
func Overlay(site fleet.Site) Scope { return Scope(overlayPrefix + string(site)) }

// Site returns the site of an overlay, and false for the base.
func (s Scope) Site() (fleet.Site, bool) {
	site, ok := strings.CutPrefix(string(s), overlayPrefix)
	return fleet.Site(site), ok
}

// Valid reports whether the scope is the base or names a site.
func (s Scope) Valid() bool {
	site, ok := s.Site()
	return s == Base || (ok && site != "")
}

// Version identifies one accepted state of all documents.
type Version struct {
	// Offset is the log offset at which the version was accepted.
	Offset uint64 `json:"offset" msgpack:"o"`
	// Hash covers the documents and, through the parent, all versions before.
	Hash string `json:"hash" msgpack:"h"`
}
