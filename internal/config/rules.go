package config

import (
	"crypto/sha256"
	"encoding/hex"
	"reflect"
	"slices"
	"strings"
)

// Rule is one value that decides how members and client accounts are treated.
type Rule struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// ruleSections are the sections whose values are rules. Those of accounts may
// belong to one site alone.
var ruleSections = []string{"load", "retry", "orders", "members", "accounts"}

// Rules returns the rules in force, sorted by key.
func (c *Config) Rules() []Rule {
	out := []Rule{}
	flatten(reflect.ValueOf(c).Elem(), "", func(key, text string) {
		section := key[:strings.IndexAny(key+".", ".[")]
		if slices.Contains(ruleSections, section) && !strings.HasSuffix(key, ".key_hashes") {
			out = append(out, Rule{Key: key, Value: text})
		}
	})
	slices.SortFunc(out, func(a, b Rule) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// rulesHashDigits is the length of a rules hash in hex digits.
const rulesHashDigits = 16

// RulesHash identifies the rules that all sites share: sites with the same
// hash treat members alike. Accounts are left out, since a site may have some
// of its own; they are compared one by one.
func (c *Config) RulesHash() string {
	h := sha256.New()
	for _, r := range c.Rules() {
		if !strings.HasPrefix(r.Key, "accounts[") {
			h.Write([]byte(r.Key + "=" + r.Value + "\n"))
		}
	}
	return hex.EncodeToString(h.Sum(nil))[:rulesHashDigits]
}
