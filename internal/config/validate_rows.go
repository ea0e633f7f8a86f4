package config

import (
	"net/url"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

func (k *checker) targets() {
	names(k, "targets", namesOf(k.c.Targets, func(t *Target) fleet.Target { return t.Name }))
	refs := references{
		centres:  setOf(k.c.DataCentres, func(d *DataCentre) fleet.DataCentre { return d.Name }),
		models:   setOf(k.c.Models, func(m *Model) fleet.Model { return m.Name }),
		services: setOf(k.c.Services, func(s *Service) fleet.Service { return s.Name }),
	}
	for i := range k.c.Targets {
		k.target(&k.c.Targets[i], refs)
	}
}

// references are the names that targets may refer to.
type references struct {
	centres  map[fleet.DataCentre]bool
	models   map[fleet.Model]bool
	services map[fleet.Service]bool
}

func setOf[T any, N comparable](rows []T, name func(*T) N) map[N]bool {
	out := make(map[N]bool, len(rows))
	for i := range rows {
		out[name(&rows[i])] = true
	}
	return out
}

func (k *checker) target(t *Target, refs references) {
	key := row("targets", string(t.Name))
	if !refs.centres[t.DataCentre] {
		k.fail(key+".data_centre", nextDeclareOrEdit, "no data centre %q", string(t.DataCentre))
	}
	if u, err := url.Parse(t.URL); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		k.fail(key+".url", nextCorrectValue, "want a URL such as \"http://10.1.0.7:8000\", have %q", t.URL)
	}
	switch {
	case len(t.Models) == 0 && t.Service == "":
		k.fail(key, "set models for an engine or service for a worker", "the target serves nothing")
	case len(t.Models) > 0 && t.Service != "":
		k.fail(key, "remove one of them", "the target has both models and a service")
	case t.Service != "" && !refs.services[t.Service]:
		k.fail(key+".service", nextDeclareOrEdit, "no service %q", string(t.Service))
	}
	for _, m := range t.Models {
		if !refs.models[m] {
			k.fail(key+".models", nextDeclareOrEdit, "no model %q", string(m))
		}
	}
	k.atLeast(key+".slots", t.Slots, 1)
	if t.ColdSlots < 1 || t.ColdSlots > t.Slots {
		k.fail(key+".cold_slots", nextCorrectValue, "want from 1 to the %d slots, have %d", t.Slots, t.ColdSlots)
	}
	k.mark(key, t.Mark)
}

func (k *checker) accounts() {
	names(k, "accounts", namesOf(k.c.Accounts, func(a *Account) fleet.Account { return a.Name }))
	for i := range k.c.Accounts {
		a := &k.c.Accounts[i]
		key := row("accounts", string(a.Name))
		k.memberRef(key+".member", a.Member)
		if a.Weight <= 0 {
			k.fail(key+".weight", nextCorrectValue, "want a weight above zero, have %v", a.Weight)
		}
		k.atLeast(key+".max_concurrent", a.MaxConcurrent, 0)
	}
}

func (k *checker) operators() {
	names(k, "operators", namesOf(k.c.Operators, func(o *Operator) string { return o.Name }))
	sites := setOf(k.c.Sites, func(s *SiteRow) fleet.Site { return s.Name })
	for i := range k.c.Operators {
		o := &k.c.Operators[i]
		key := row("operators", o.Name)
		k.memberRef(key+".member", o.Member)
		switch o.Role {
		case RoleViewer, RoleAdmin:
		case RoleOperator:
			if len(o.Sites) == 0 {
				k.fail(key+".sites", "list the sites that the operator may change", "an operator without sites can change nothing")
			}
		default:
			k.fail(key+".role", nextCorrectValue, "want %q, %q or %q, have %q", RoleViewer, RoleOperator, RoleAdmin, string(o.Role))
		}
		for _, s := range o.Sites {
			if len(sites) > 0 && !sites[s] {
				k.fail(key+".sites", nextDeclareOrEdit, "no site %q", string(s))
			}
		}
	}
}

// keys checks the hashes of all keys: one key must not open two doors.
func (k *checker) keys() {
	owner := make(map[string]string)
	check := func(key string, hashes []string) {
		for _, h := range hashes {
			switch {
			case !hashPattern.MatchString(h):
				k.fail(key+".key_hashes", "run zfctl key new", "want the SHA-256 hash of a key as %d hex digits", keyHashDigits)
			case owner[h] != "":
				k.fail(key+".key_hashes", "give each of them a key of its own", "%s has the same key", owner[h])
			}
			owner[h] = key
		}
	}
	for i := range k.c.Accounts {
		check(row("accounts", string(k.c.Accounts[i].Name)), k.c.Accounts[i].KeyHashes)
	}
	for i := range k.c.Operators {
		check(row("operators", k.c.Operators[i].Name), k.c.Operators[i].KeyHashes)
	}
}
