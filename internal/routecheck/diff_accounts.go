package routecheck

import (
	"maps"
	"slices"
	"strconv"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Account is an account for a comparison: rows with the same name together.
type Account struct {
	Priority string
	// Keys are the hashes of the keys that count as the account's own.
	Keys map[string]bool
}

// keyed compares whether requests need a key.
func (d *differ) keyed() {
	was, is := d.before.Config.Keyed, d.after.Config.Keyed
	if was == is {
		return
	}
	c := Change{Kind: "account", Name: "*", Action: Changed}
	c.Field("keys needed", was, is)
	if is {
		c.Effect(EffectUnauthorized, "requests without a key get 401 at all routes that are not public")
	} else {
		c.Effect(EffectAdmitted, "requests without a key are served at all routes")
	}
	d.add(c)
}

// accounts compares the accounts by name and their keys by hash.
func (d *differ) accounts() {
	d.changes = append(d.changes, DiffAccounts(accountsOf(d.before), accountsOf(d.after), d.after.Config.Keyed)...)
}

// accountsOf returns the accounts by name, without keys that count as those of
// another account.
func accountsOf(t *routing.Table) map[fleet.Account]Account {
	out := make(map[fleet.Account]Account, len(t.Config.Accounts))
	for i := range t.Config.Accounts {
		a := &t.Config.Accounts[i]
		sum, ok := out[a.Name]
		if !ok {
			sum = Account{Priority: "that of the route", Keys: make(map[string]bool, len(a.Keys))}
		}
		if a.Ranked {
			sum.Priority = strconv.Itoa(a.Priority)
		}
		for _, key := range a.Keys {
			if owner, found := t.Account(key); found && owner.Name == a.Name {
				sum.Keys[key] = true
			}
		}
		out[a.Name] = sum
	}
	return out
}

// DiffAccounts returns what differs between accounts. Keys are counted and never
// shown. needed tells whether requests need a key afterwards.
func DiffAccounts(before, after map[fleet.Account]Account, needed bool) []Change {
	d := new(differ)
	owners := make(map[string]fleet.Account)
	for _, name := range slices.Sorted(maps.Keys(after)) {
		for key := range after[name].Keys {
			owners[key] = name
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		is, ok := after[name]
		action := Changed
		if !ok {
			action = Removed
		}
		d.account(name, action, before[name], is, owners, needed)
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if _, known := before[name]; !known {
			c := Change{Kind: "account", Name: string(name), Action: Added}
			c.KeysAdded = len(after[name].Keys)
			d.add(c)
		}
	}
	return d.changes
}

// account compares one account.
func (d *differ) account(name fleet.Account, action Action, was, is Account, owners map[string]fleet.Account, needed bool) {
	c := Change{Kind: "account", Name: string(name), Action: action}
	if action == Changed {
		c.Field("priority", was.Priority, is.Priority)
	}
	removed, lost, kept := 0, 0, 0
	moved := make(map[fleet.Account]int)
	for key := range was.Keys {
		switch owner, ok := owners[key]; {
		case ok && owner == name:
			kept++
		case ok:
			removed++
			moved[owner]++
		default:
			removed++
			lost++
		}
	}
	c.KeysAdded, c.KeysRemoved = len(is.Keys)-kept, removed
	for _, owner := range slices.Sorted(maps.Keys(moved)) {
		c.Effect(EffectMoved, "requests with %d of its keys count as those of the account %q", moved[owner], string(owner))
	}
	switch {
	case !needed || lost == 0:
	case kept == 0 && len(moved) == 0:
		c.Effect(EffectAccessLost, "the account loses all its keys (%d): requests with them get 401", lost)
	default:
		c.Effect(EffectUnauthorized, "requests with %d of its %d keys get 401", lost, len(was.Keys))
	}
	d.add(c)
}
