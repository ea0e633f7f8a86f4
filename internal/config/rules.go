package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/zinniafork/zinniafork/internal/core/fleet"
)

// Rules are the parts of a site's configuration that must be the same for
// every member, so that sites can be compared.
type Rules struct {
	Load     Load          `json:"load"`
	Retry    Retry         `json:"retry"`
	Orders   Orders        `json:"orders"`
	Members  []Member      `json:"members"`
	Accounts []AccountRule `json:"accounts"`
}

// AccountRule is the share that a client account of the base has.
type AccountRule struct {
	Account       fleet.Account `json:"account"`
	Member        fleet.Member  `json:"member"`
	Weight        float64       `json:"weight"`
	MaxConcurrent int           `json:"max_concurrent,omitempty"`
}

// Rules returns the rules in force.
func (c *Config) Rules() Rules {
	r := Rules{Load: c.Load, Retry: c.Retry, Orders: c.Orders, Members: slices.Clone(c.Members)}
	slices.SortFunc(r.Members, func(a, b Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	for _, a := range c.Accounts {
		r.Accounts = append(r.Accounts, AccountRule{
			Account: a.Name, Member: a.Member, Weight: a.Weight, MaxConcurrent: a.MaxConcurrent,
		})
	}
	slices.SortFunc(r.Accounts, func(a, b AccountRule) int { return strings.Compare(string(a.Account), string(b.Account)) })
	return r
}

// rulesHashDigits is the length of a rules hash in hex digits.
const rulesHashDigits = 16

// Hash identifies the rules that all sites share. Accounts are left out, since
// a site may have some of its own; they are compared one by one.
func (r Rules) Hash() string {
	r.Accounts = nil
	data, err := json.Marshal(r)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])[:rulesHashDigits]
}
