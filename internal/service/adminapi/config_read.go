package adminapi

import (
	"slices"

	"github.com/pmezard/go-difflib/difflib"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

const (
	defaultLimit = 50
	maxLimit     = 500
	// diffContext is the number of unchanged lines around each change.
	diffContext = 3
)

func limitOf(asked int) int {
	if asked <= 0 {
		return defaultLimit
	}
	return min(asked, maxLimit)
}

func (s *Service) configInfo(*request, none) (*admin.ConfigInfo, error) {
	entry, docs := s.config.Newest()
	out := &admin.ConfigInfo{Newest: entry, Scopes: docs.Scopes(), Sites: config.SitesOf(docs)}
	if e := s.config.Current(); e != nil {
		out.InForce = configstate.Version{Offset: e.Offset, Hash: e.Hash}
		out.RulesHash = e.RulesHash()
	}
	return out, nil
}

// version returns the version at an offset, the newest for nil.
func (s *Service) version(offset *uint64) (configstate.Entry, configstate.Documents, error) {
	if offset == nil {
		entry, docs := s.config.Newest()
		return entry, docs, nil
	}
	entry, docs, err := s.config.At(*offset)
	if err != nil {
		return entry, docs, &admin.Error{
			Code: admin.CodeNotFound, Message: err.Error(), Next: "see zfctl history for the versions that are kept",
		}
	}
	return entry, docs, nil
}

func (s *Service) readDocument(c *request, in admin.DocumentQuery) (*admin.Document, error) {
	if in.Scope == "" {
		in.Scope = configstate.Base
	}
	entry, docs, err := s.version(in.Version)
	if err != nil {
		return nil, err
	}
	text, ok := docs.Text(in.Scope)
	if !ok {
		return nil, notFound("version %d has no document %q", entry.Version.Offset, in.Scope)
	}
	return &admin.Document{Scope: in.Scope, Version: entry, Text: shown(c, text)}, nil
}

// shown hides the hashes of keys from viewers.
func shown(c *request, text string) string {
	if c.operator.Role == config.RoleViewer {
		return config.HideKeys(text)
	}
	return text
}

func (s *Service) effective(_ *request, in admin.EffectiveQuery) (*admin.Effective, error) {
	if in.Site == "" {
		in.Site = s.identity.Self().Site
	}
	entry, docs, err := s.version(in.Version)
	if err != nil {
		return nil, err
	}
	if len(docs.Scopes()) == 0 {
		return nil, notFound("no configuration has been published yet")
	}
	merged, err := config.Merge(in.Site, config.DocumentsOf(in.Site, docs, ""))
	if err != nil {
		return nil, err
	}
	return &admin.Effective{
		Site: in.Site, Version: entry, Values: merged.Values(),
		RulesHash: merged.Config.RulesHash(), Rules: merged.Config.Rules(),
	}, nil
}

func (s *Service) history(_ *request, in admin.HistoryQuery) (*admin.History, error) {
	all := s.config.History()
	slices.Reverse(all)
	return &admin.History{Versions: all[:min(len(all), limitOf(in.Limit))]}, nil
}

func (s *Service) diff(c *request, in admin.DiffQuery) (*admin.Diff, error) {
	from, before, err := s.version(&in.From)
	if err != nil {
		return nil, err
	}
	to, after, err := s.version(in.To)
	if err != nil {
		return nil, err
	}
	out := &admin.Diff{From: from, To: to, Documents: []admin.DocumentDiff{}, Changes: changes(before, after)}
	for _, scope := range scopesOf(before, after) {
		a, _ := before.Text(scope)
		b, _ := after.Text(scope)
		if a == b {
			continue
		}
		text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
			A:        difflib.SplitLines(shown(c, a)),
			B:        difflib.SplitLines(shown(c, b)),
			FromFile: string(scope), ToFile: string(scope),
			Context: diffContext,
		})
		if err != nil {
			return nil, err
		}
		out.Documents = append(out.Documents, admin.DocumentDiff{Scope: scope, Unified: text})
	}
	return out, nil
}

// scopesOf returns the scopes of both versions, sorted.
func scopesOf(a, b configstate.Documents) []configstate.Scope {
	all := append(a.Scopes(), b.Scopes()...)
	slices.Sort(all)
	return slices.Compact(all)
}

// changes compares the configurations of all sites of two versions. A site
// whose configuration cannot be merged counts as empty.
func changes(before, after configstate.Documents) []config.Change {
	out := []config.Change{}
	seen := make(map[config.Change]bool)
	for _, site := range sitesOf(before, after) {
		for _, change := range config.Compare(merge(site, before), merge(site, after)) {
			shared := change
			shared.Site = ""
			if seen[shared] {
				continue
			}
			seen[shared] = true
			out = append(out, change)
		}
	}
	return out
}

func sitesOf(a, b configstate.Documents) []fleet.Site {
	all := config.SitesOf(b)
	if len(a.Scopes()) > 0 {
		all = append(all, config.SitesOf(a)...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func merge(site fleet.Site, docs configstate.Documents) *config.Config {
	if len(docs.Scopes()) == 0 {
		return nil
	}
	m, err := config.Merge(site, config.DocumentsOf(site, docs, ""))
	if err != nil {
		return nil
	}
	return m.Config
}

func (s *Service) publication(_ *request, in admin.PublicationQuery) (*admin.Publication, error) {
	fate, ok := s.config.Outcome(in.Nonce)
	for try := 2; try <= publishTries && !fate.Accepted; try++ {
		if later, found := s.config.Outcome(retryNonce(in.Nonce, try)); found {
			fate, ok = later, true
		}
	}
	switch {
	case !ok:
		return &admin.Publication{State: "unknown"}, nil
	case fate.Accepted:
		return &admin.Publication{State: "accepted", Entry: &fate.Entry}, nil
	}
	return &admin.Publication{State: "refused", Entry: &fate.Entry, Reason: fate.Err.Error()}, nil
}

func (s *Service) spread(c *request, _ none) (*admin.Spread, error) {
	out := s.siteSpread(c)
	return &out, nil
}

func (s *Service) siteSpread(c *request) admin.Spread {
	out := admin.Spread{Status: s.config.Status(c.Context()), Lagging: []fleet.VM{}, Sites: []admin.SiteSpread{}}
	for _, r := range out.Routers {
		if r.InForce != out.Newest.Version {
			out.Lagging = append(out.Lagging, r.VM)
		}
	}
	summaries, err := s.figures.Summaries(c.Context())
	if err != nil {
		s.logger.WithError(err).Debug("Summaries of the sites are not fresh.")
	}
	for _, sum := range summaries {
		out.Sites = append(out.Sites, admin.SiteSpread{
			Site: sum.Site, At: sum.At, Version: sum.Version, Routers: sum.Routers, Lagging: sum.Lagging,
		})
	}
	return out
}
