package routecheck

import (
	"math"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// checkServices checks the services. Of services with the same name, the last one
// is in force.
func (k *checker) checkServices() {
	names := make(map[string]int, len(k.c.Services))
	for i := range k.c.Services {
		s := &k.c.Services[i]
		path := entry("Services", i)
		k.name(names, "Services", i, string(s.Name))
		if j := k.services[s.Name]; j != i {
			k.NeverMatches("service_hidden", path, "Services[%d] has the same name %q and replaces it", j, string(s.Name))
			continue
		}
		if len(k.users[s.Name]) == 0 {
			k.NeverMatches("service_unused", path, "no route sends requests to the service %q", string(s.Name))
		}
		k.connections(path, s)
		k.cold(path, s)
	}
}

// connections checks the number of connections that a target accepts.
func (k *checker) connections(path string, s *routing.Service) {
	k.notNegative(path+".MaxConns", "number of connections", int64(s.MaxConns))
	if s.MaxConns <= 0 {
		return
	}
	if vms := k.deployment.VMs; vms > s.MaxConns {
		k.Contradiction("connections_below_vms", path+".MaxConns",
			"a target accepts %d connections, which is less than one for each of %d VMs", s.MaxConns, vms)
	}
	if slots := k.deployment.Slots[string(s.Name)]; slots > s.MaxConns {
		k.Contradiction("slots_above_connections", path+".MaxConns",
			"a target has %d slots but accepts %d connections, each of which carries one request at a time", slots, s.MaxConns)
	}
}

// cold checks the limit of cold targets.
func (k *checker) cold(path string, s *routing.Service) {
	k.negativeTime(path+".ColdFor", "cold time", s.ColdFor)
	if s.ColdRate < 0 || math.IsNaN(s.ColdRate) {
		k.Error("number_negative", path+".ColdRate", "the cold rate is negative: %v", s.ColdRate)
	}
	switch {
	case s.ColdFor > 0 && s.ColdRate == 0:
		k.Contradiction("cold_rate_zero", path+".ColdRate", "targets are cold for %v, but a rate of zero means no limit", s.ColdFor)
	case s.ColdFor == 0 && s.ColdRate > 0:
		k.Contradiction("cold_rate_unused", path+".ColdRate", "the cold rate of %v a second has no effect without a cold time", s.ColdRate)
	case s.ColdFor > 0 && s.ColdRate > 0:
		k.coldRate(path, s)
	}
}

// coldRate compares the rate of a cold target with what one caller needs: one
// request within the timeout of each route.
func (k *checker) coldRate(path string, s *routing.Service) {
	period := time.Duration(math.Min(float64(time.Second)/s.ColdRate, math.MaxInt64/2))
	for _, i := range k.users[s.Name] {
		r := &k.c.Routes[i]
		if limit := r.TimeLimit(); period > limit {
			k.Contradiction("cold_rate_low", path+".ColdRate",
				"a cold target takes one request each %v, which is longer than the timeout of %v of route %q", period, limit, r.Name)
			return
		}
	}
}

// accounts checks the client accounts and their keys. Of accounts with the same
// key, the last one is in force.
func (k *checker) accounts() {
	if !k.c.Keyed {
		return
	}
	admitting := k.admittingRoutes()
	names := make(map[string]int, len(k.c.Accounts))
	owners := make(map[string]int)
	for i := range k.c.Accounts {
		for _, key := range k.c.Accounts[i].Keys {
			owners[key] = i
		}
	}
	usable := false
	for i := range k.c.Accounts {
		a := &k.c.Accounts[i]
		path := entry("Accounts", i)
		k.name(names, "Accounts", i, string(a.Name))
		k.notNegative(path+".Priority", "priority", int64(a.Priority))
		own := k.keys(i, a, owners)
		usable = usable || own > 0
		switch {
		case own == 0:
			k.NeverMatches("account_without_key", path, "the account %q has no key that works, so that its requests get 401", string(a.Name))
		case admitting == 0:
			k.NeverMatches("account_not_admitted", path, "no route asks for the key of the account %q", string(a.Name))
		}
	}
	if !usable && admitting > 0 {
		k.Error("no_account", "Accounts", "requests need a key, but no account has one that works: %d routes answer 401 to every request", admitting)
	}
}

// admittingRoutes counts the routes in force that ask for a key.
func (k *checker) admittingRoutes() int {
	n := 0
	for i := range k.c.Routes {
		if !k.c.Routes[i].Public && !k.hidden[i] {
			n++
		}
	}
	return n
}

// keys checks the keys of an account and returns the number of those that work.
// Messages never hold a key.
func (k *checker) keys(index int, a *routing.Account, owners map[string]int) int {
	own := 0
	seen := make(map[string]bool, len(a.Keys))
	for j, key := range a.Keys {
		path := entry("Accounts", index) + "." + entry("Keys", j)
		switch owner := owners[key]; {
		case key == "":
			k.Error("key_empty", path, "an empty key admits requests without a key as account %q", string(k.c.Accounts[owner].Name))
		case !isSendable(key):
			k.NeverMatches("key_not_sendable", path, "the key has spaces at its ends or control characters, which a header can't carry")
			continue
		case owner != index:
			k.NeverMatches("key_taken", path, "the account %q has the same key, which counts as its own", string(k.c.Accounts[owner].Name))
			k.sharedKey(path, a.Name, k.c.Accounts[owner].Name)
			continue
		case seen[key]:
			k.Contradiction("key_repeated", path, "the account has the key twice")
			continue
		}
		seen[key] = true
		own++
	}
	return own
}

// isSendable reports whether a request can carry a key: a header has no control
// characters but tabs, and routers cut off space around the key.
func isSendable(key string) bool {
	return strings.TrimSpace(key) == key && !strings.ContainsFunc(key, func(r rune) bool { return r != '\t' && isControl(r) })
}

// sharedKey reports a key of two accounts: one caller is taken for another.
func (k *checker) sharedKey(path string, a, owner fleet.Account) {
	if a != owner {
		k.Error("key_shared", path, "requests of the account %q with this key count as those of %q", string(a), string(owner))
	}
}
