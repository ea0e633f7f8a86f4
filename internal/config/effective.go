package config

import (
	"errors"
	"fmt"
	"sync"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Effective is a configuration in force, with the version it came from.
type Effective struct {
	*Config
	// Offset is the log offset of the newest record that it includes.
	Offset uint64
	// Hash identifies the version.
	Hash string

	once  sync.Once
	index *index
}

// Effect derives the effective configuration of a site from the documents of
// a version and checks it.
func Effect(site fleet.Site, v configstate.Version, docs configstate.Documents) (*Effective, error) {
	merged, err := Merge(site, DocumentsOf(site, docs, fmt.Sprintf("@%d", v.Offset)))
	if err != nil {
		return nil, err
	}
	if err := merged.Validate(); err != nil {
		return nil, err
	}
	e := &Effective{Config: merged.Config, Offset: v.Offset, Hash: v.Hash}
	e.lookup()
	return e, nil
}

// Pair holds the documents that make one site's configuration. Overlay is nil
// for a site that has none.
type Pair struct {
	Base    Document
	Overlay *Document
}

// DocumentsOf returns the documents of a site. Their names are the scopes
// with suffix.
func DocumentsOf(site fleet.Site, docs configstate.Documents, suffix string) Pair {
	base, _ := docs.Text(configstate.Base)
	p := Pair{Base: Document{Name: string(configstate.Base) + suffix, Text: []byte(base)}}
	scope := configstate.Overlay(site)
	if text, ok := docs.Text(scope); ok {
		p.Overlay = &Document{Name: string(scope) + suffix, Text: []byte(text)}
	}
	return p
}

// Merge puts the overlay of a site over the base. The result still has to be
// validated.
func Merge(site fleet.Site, p Pair) (*Merged, error) {
	base, err := p.Base.parse(Defaults())
	if err != nil {
		return nil, err
	}
	m := newMerged(base)
	m.Config.Site = site
	if p.Overlay == nil {
		return m, nil
	}
	overlay, err := p.Overlay.parse(new(Config))
	if err != nil {
		return nil, err
	}
	if named := overlay.content.Site; named != "" && named != site {
		return nil, Problems{{
			File: overlay.name, Line: overlay.at.Line("site"), Key: "site",
			Message: fmt.Sprintf("the overlay of site %q names site %q", site, named),
			Next:    "publish it for the other site, or correct the key",
		}}
	}
	overlay.content.Site = site
	if problems := m.put(overlay); len(problems) > 0 {
		return nil, problems
	}
	return m, nil
}

// Check validates the configuration of every site that the documents name:
// those with an overlay and those that the base lists.
func Check(docs configstate.Documents, suffix string) error {
	var all Problems
	seen := make(map[string]bool)
	all = append(all, unknownSites(docs, suffix)...)
	for _, site := range SitesOf(docs) {
		merged, err := Merge(site, DocumentsOf(site, docs, suffix))
		if err == nil {
			err = merged.Validate()
		}
		var problems Problems
		if err != nil && !errors.As(err, &problems) {
			return err
		}
		for _, p := range problems {
			if text := p.Error(); !seen[text] {
				seen[text] = true
				all = append(all, p)
			}
		}
	}
	return all.Err()
}

// unknownSites refuses overlays of sites that the base does not list.
func unknownSites(docs configstate.Documents, suffix string) Problems {
	sites := listedSites(docs)
	if len(sites) == 0 {
		return nil
	}
	listed := setOf(sites, func(s *SiteRow) fleet.Site { return s.Name })
	var out Problems
	for _, scope := range docs.Scopes() {
		if site, ok := scope.Site(); ok && !listed[site] {
			out = append(out, &Problem{
				File: string(scope) + suffix, Key: "site", Message: fmt.Sprintf("the base lists no site %q", string(site)),
				Next: "add it to [[sites]] of the base first, or correct the name",
			})
		}
	}
	return out
}

// listedSites returns the sites of the base, none when it cannot be decoded.
func listedSites(docs configstate.Documents) []SiteRow {
	text, _ := docs.Text(configstate.Base)
	if base, err := Decode(string(configstate.Base), []byte(text)); err == nil {
		return base.Sites
	}
	return nil
}

// SitesOf returns the sites that the documents name, or one site without a
// name when they name none.
func SitesOf(docs configstate.Documents) []fleet.Site {
	var sites []fleet.Site
	seen := make(map[fleet.Site]bool)
	add := func(s fleet.Site) {
		if s != "" && !seen[s] {
			seen[s] = true
			sites = append(sites, s)
		}
	}
	for _, scope := range docs.Scopes() {
		if site, ok := scope.Site(); ok {
			add(site)
		}
	}
	text, _ := docs.Text(configstate.Base)
	if base, err := Decode(string(configstate.Base), []byte(text)); err == nil {
		add(base.Site)
		for _, s := range base.Sites {
			add(s.Name)
		}
	}
	if len(sites) == 0 {
		sites = append(sites, "")
	}
	return sites
}
