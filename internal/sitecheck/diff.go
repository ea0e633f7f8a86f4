package sitecheck

import (
	"maps"
	"slices"
	"strings"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/routecheck"
)

// Diff returns what differs between the documents of a fleet, site by site. Sites
// whose documents can't be read are left out; whole tells whether there are none.
func Diff(before, after configstate.Documents) (changes []routecheck.Change, whole bool) {
	whole = true
	sites := config.SitesOf(after)
	for _, site := range config.SitesOf(before) {
		if !slices.Contains(sites, site) {
			sites = append(sites, site)
		}
	}
	for _, site := range sites {
		was, err := config.Merge(site, config.DocumentsOf(site, before, ""))
		if err != nil {
			whole = false
			continue
		}
		is, err := config.Merge(site, config.DocumentsOf(site, after, ""))
		if err != nil {
			whole = false
			continue
		}
		for _, c := range diffSite(was.Config, is.Config) {
			if site != "" {
				c.Name = string(site) + ": " + c.Name
			}
			changes = append(changes, c)
		}
	}
	return changes, whole
}

// diffSite compares the configuration of one site.
func diffSite(before, after *config.Config) []routecheck.Change {
	out := diffNames("model", modelNames(before), modelNames(after), "chats that ask for it get 404")
	out = append(out, diffNames("service", serviceNames(before), serviceNames(after), "calls of it get 404")...)
	out = append(out, routecheck.DiffAccounts(accountsOf(before), accountsOf(after), true)...)
	out = append(out, diffOperators(operatorsOf(before), operatorsOf(after))...)
	return append(out, diffValues(before, after, out)...)
}

// diffNames compares what callers may ask for by name.
func diffNames(kind string, before, after map[string]bool, effect string) []routecheck.Change {
	var out []routecheck.Change
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if !after[name] {
			c := routecheck.Change{Kind: kind, Name: name, Action: routecheck.Removed}
			c.Effect(routecheck.EffectNotFound, "%s", effect)
			out = append(out, c)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if !before[name] {
			out = append(out, routecheck.Change{Kind: kind, Name: name, Action: routecheck.Added})
		}
	}
	return out
}

func modelNames(c *config.Config) map[string]bool {
	out := make(map[string]bool, len(c.Models))
	for i := range c.Models {
		out[string(c.Models[i].Name)] = true
	}
	return out
}

func serviceNames(c *config.Config) map[string]bool {
	out := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		out[string(c.Services[i].Name)] = true
	}
	return out
}

// accountsOf returns the accounts with the hashes of their keys.
func accountsOf(c *config.Config) map[fleet.Account]routecheck.Account {
	out := make(map[fleet.Account]routecheck.Account, len(c.Accounts))
	for i := range c.Accounts {
		a := routecheck.Account{Keys: make(map[string]bool)}
		for _, hash := range c.Accounts[i].KeyHashes {
			a.Keys[hash] = true
		}
		out[c.Accounts[i].Name] = a
	}
	return out
}

// operatorsOf returns the operators with the hashes of their keys.
func operatorsOf(c *config.Config) map[string][]string {
	out := make(map[string][]string, len(c.Operators))
	for i := range c.Operators {
		out[c.Operators[i].Name] = c.Operators[i].KeyHashes
	}
	return out
}

// diffOperators compares the operators by name. Their keys are counted and never
// shown.
func diffOperators(before, after map[string][]string) []routecheck.Change {
	var out []routecheck.Change
	for _, name := range slices.Sorted(maps.Keys(before)) {
		is, ok := after[name]
		c := routecheck.Change{
			Kind: "operator", Name: name, Action: routecheck.Changed,
			KeysAdded: countMissing(is, before[name]), KeysRemoved: countMissing(before[name], is),
		}
		if !ok {
			c.Action = routecheck.Removed
		}
		if !ok || c.KeysAdded+c.KeysRemoved > 0 {
			out = append(out, c)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if _, known := before[name]; !known {
			out = append(out, routecheck.Change{Kind: "operator", Name: name, Action: routecheck.Added, KeysAdded: len(after[name])})
		}
	}
	return out
}

// countMissing returns the number of hashes that a list lacks.
func countMissing(hashes, list []string) int {
	n := 0
	for _, h := range hashes {
		if !slices.Contains(list, h) {
			n++
		}
	}
	return n
}

// diffValues compares the other values. Rows that came or went are among the
// changes that are known.
func diffValues(before, after *config.Config, known []routecheck.Change) []routecheck.Change {
	whole := make(map[string]bool)
	for _, c := range known {
		if c.Action != routecheck.Changed {
			whole[c.Kind+"s["+c.Name+"]"] = true
		}
	}
	var out []routecheck.Change
	for _, v := range config.Compare(before, after) {
		i := strings.LastIndex(v.Key, "].")
		if strings.HasSuffix(v.Key, "key_hashes") || i >= 0 && whole[v.Key[:i+1]] {
			continue
		}
		c := routecheck.Change{Kind: "value", Name: v.Key, Action: routecheck.Changed}
		c.Field("value", v.Before, v.After)
		out = append(out, c)
	}
	return out
}
