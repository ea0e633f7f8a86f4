package zfctl

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/zinniafork/zinniafork/internal/routecheck"
)

// severityWords are the severities in the words of people.
var severityWords = map[routecheck.Severity]string{
	routecheck.Error:         "error",
	routecheck.NeverMatches:  "never matches",
	routecheck.Contradiction: "contradiction",
}

// print shows the findings, one a line, and the changes.
func (r *checkResult) print(g *Globals) {
	for i := range r.Findings {
		f := &r.Findings[i]
		place := cmp.Or(f.File, r.File)
		if f.Line > 0 {
			place = fmt.Sprintf("%s:%d", place, f.Line)
		}
		parts := []string{place, severityWords[f.Severity]}
		if f.Path != "" {
			parts = append(parts, f.Path)
		}
		g.printf("%s: %s [%s]\n", strings.Join(parts, ": "), f.Message, f.Code)
	}
	g.printf("%d errors, %d entries that never match, %d contradictions\n", r.Errors, r.NeverMatches, r.Contradictions)
	if r.Against != "" {
		r.printChanges(g)
	}
}

func (r *checkResult) printChanges(g *Globals) {
	if !r.Compared {
		g.printf("\nnot compared with %s where the configuration can't be read\n", r.Against)
	} else if len(r.Changes) == 0 {
		g.printf("\nno difference from %s\n", r.Against)
	}
	if len(r.Changes) == 0 {
		return
	}
	g.printf("\ndifferences from %s:\n", r.Against)
	for i := range r.Changes {
		c := &r.Changes[i]
		g.printf("%s: %s\n", strings.TrimSpace(c.Kind+" "+c.Name), c.Action)
		for _, f := range c.Fields {
			g.printf("  %s: %s -> %s\n", f.Field, dash(f.Before), dash(f.After))
		}
		if c.KeysAdded+c.KeysRemoved > 0 {
			g.printf("  keys: %d added, %d removed\n", c.KeysAdded, c.KeysRemoved)
		}
		for _, e := range c.Effects {
			g.printf("  effect: %s [%s]\n", e.Message, e.Code)
		}
	}
}
