package zfctl

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

type compareCommand struct {
	A string `arg:"" name:"site-a" help:"One site." predictor:"site"`
	B string `arg:"" name:"site-b" help:"The other site." predictor:"site"`
}

// comparison is what differs between two sites.
type comparison struct {
	A admin.SiteSummary `json:"a"`
	B admin.SiteSummary `json:"b"`
	// Rules are the rules that differ.
	Rules []ruleDifference `json:"rules"`
	// SameRules is false when a rule differs that all sites share, or when the
	// sites use other versions.
	SameRules   bool `json:"same_rules"`
	SameVersion bool `json:"same_version"`
}

// ruleDifference is one rule with its value at each site.
type ruleDifference struct {
	Key string `json:"key"`
	A   string `json:"a"`
	B   string `json:"b"`
}

// Run compares the sites. It ends with ExitRefused when rules differ.
func (c *compareCommand) Run(ctx context.Context, g *Globals) error {
	out, err := c.compare(ctx, g)
	if err != nil {
		return err
	}
	if err := g.show(out, func() { c.print(g, out) }); err != nil {
		return err
	}
	if !out.SameRules {
		return &codedError{errors.New("the sites do not have the same rules in force"), ExitRefused}
	}
	return nil
}

func (c *compareCommand) compare(ctx context.Context, g *Globals) (*comparison, error) {
	sites, err := get[admin.Sites](ctx, g, admin.PathSites, nil)
	if err != nil {
		return nil, err
	}
	out := &comparison{Rules: []ruleDifference{}}
	if out.A, err = summaryOf(sites, c.A); err != nil {
		return nil, err
	}
	if out.B, err = summaryOf(sites, c.B); err != nil {
		return nil, err
	}
	a, err := rulesOf(ctx, g, out.A)
	if err != nil {
		return nil, err
	}
	b, err := rulesOf(ctx, g, out.B)
	if err != nil {
		return nil, err
	}
	out.Rules = differences(a, b)
	out.SameVersion = out.A.Version == out.B.Version
	out.SameRules = out.A.RulesHash == out.B.RulesHash
	return out, nil
}

func summaryOf(all *admin.Sites, name string) (admin.SiteSummary, error) {
	known := make([]fleet.Site, 0, len(all.Sites))
	for _, s := range all.Sites {
		if string(s.Site) == name {
			return s, nil
		}
		known = append(known, s.Site)
	}
	return admin.SiteSummary{}, fmt.Errorf("site %q has given no summary\n  next: choose one of: %s", name, dash(join(known, shownNames)))
}

// rulesOf reads the rules of the version that the site says it uses.
func rulesOf(ctx context.Context, g *Globals, s admin.SiteSummary) (map[string]string, error) {
	e, err := get[admin.Effective](ctx, g, admin.PathEffective,
		admin.EffectiveQuery{Site: s.Site, Version: &s.Version.Offset})
	if err != nil {
		return nil, err
	}
	return ruleMap(e.Rules), nil
}

func ruleMap(rules []config.Rule) map[string]string {
	out := make(map[string]string, len(rules))
	for _, r := range rules {
		out[r.Key] = r.Value
	}
	return out
}

func differences(a, b map[string]string) []ruleDifference {
	keys := maps.Clone(a)
	maps.Copy(keys, b)
	out := []ruleDifference{}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if a[key] != b[key] {
			out = append(out, ruleDifference{Key: key, A: a[key], B: b[key]})
		}
	}
	return out
}

func (c *compareCommand) print(g *Globals, out *comparison) {
	g.table(table.Row{"", c.A, c.B}, []table.Row{
		{"version in force", versionText(out.A.Version), versionText(out.B.Version)},
		{"rules", out.A.RulesHash, out.B.RulesHash},
		{"routers", out.A.Routers, out.B.Routers},
		{"routers that lag", len(out.A.Lagging), len(out.B.Lagging)},
		{"age of the summary", out.A.Age.Std(), out.B.Age.Std()},
	})
	if len(out.Rules) == 0 {
		g.printf("all rules are the same\n")
	} else {
		var rows []table.Row
		for _, r := range out.Rules {
			rows = append(rows, table.Row{r.Key, dash(r.A), dash(r.B)})
		}
		g.table(table.Row{"Rule that differs", c.A, c.B}, rows)
	}
	for _, s := range []admin.SiteSummary{out.A, out.B} {
		g.printf("service of the last minutes at %s, by member and by client account:\n", s.Site)
		g.members(s.Members)
		var rows []table.Row
		for _, f := range s.Accounts {
			rows = append(rows, append(table.Row{f.Account, f.Member}, countsRow(f.Counts, f.Share)...))
		}
		g.table(append(table.Row{"Account", "Member"}, countsHeader...), rows)
	}
}
