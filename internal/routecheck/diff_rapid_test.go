package routecheck_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/routecheck"
)

// outcome is what a router does with a request, in the terms of effects; empty if
// it serves the request.
func outcome(t *routing.Table, host, path, key string, fraction float64) (effect string, account fleet.Account) {
	r, ok := t.Match(host, path)
	if !ok {
		return routecheck.EffectNotFound, ""
	}
	if t.Config.Keyed && !r.Public {
		a, ok := t.Account(key)
		if !ok {
			return routecheck.EffectUnauthorized, ""
		}
		account = a.Name
	}
	if t.Service(r.PickService(fraction)) == nil {
		return routecheck.EffectUnavailable, account
	}
	return "", account
}

// drawConfig draws a configuration of few words, so that entries collide often.
func drawConfig(t *rapid.T, label string) *routing.Config {
	service := rapid.SampledFrom([]fleet.Service{"", "a", "b", "c"})
	part := rapid.Custom(func(t *rapid.T) routing.WeightedService {
		return routing.WeightedService{Service: service.Draw(t, "service"), Weight: rapid.IntRange(0, 2).Draw(t, "weight")}
	})
	route := rapid.Custom(func(t *rapid.T) routing.Route {
		return routing.Route{
			Name: "r", Host: rapid.SampledFrom([]string{"g", "h"}).Draw(t, "host"),
			Prefix:   rapid.SampledFrom([]string{"/", "/x/", "/x/y/", "x"}).Draw(t, "prefix"),
			Kind:     routing.Kind(rapid.IntRange(0, 2).Draw(t, "kind")), //nolint:gosec // a small number
			Services: rapid.SliceOfN(part, 0, 2).Draw(t, "services"),
			Public:   rapid.Bool().Draw(t, "public"), Resumable: rapid.Bool().Draw(t, "resumable"),
		}
	})
	account := rapid.Custom(func(t *rapid.T) routing.Account {
		return routing.Account{
			Name: rapid.SampledFrom([]fleet.Account{"p", "q"}).Draw(t, "name"),
			Keys: rapid.SliceOfN(rapid.SampledFrom([]string{"", "k1", "k2", "k3"}), 0, 3).Draw(t, "keys"),
		}
	})
	c := &routing.Config{Routes: rapid.SliceOfN(route, 0, 5).Draw(t, label+" routes")}
	for _, name := range rapid.SliceOfN(service, 0, 4).Draw(t, label+" services") {
		c.Services = append(c.Services, routing.Service{Name: name})
	}
	if c.Keyed = rapid.IntRange(0, 3).Draw(t, label+" keyed") > 0; c.Keyed {
		c.Accounts = rapid.SliceOfN(account, 0, 3).Draw(t, label+" accounts")
	}
	return c
}

// TestEffectsCoverRequests sends drawn requests through the tables of two drawn
// configurations and guards against a request that fares worse, or counts as that of
// another account, without an effect that says so.
func TestEffectsCoverRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawConfig(t, "before"), drawConfig(t, "after")
		effects := make(map[string]bool)
		for _, c := range routecheck.Diff(routecheck.NewView(before, nil), routecheck.NewView(after, nil)) {
			for _, e := range c.Effects {
				effects[e.Code] = true
			}
		}
		effects[routecheck.EffectUnauthorized] = effects[routecheck.EffectUnauthorized] || effects[routecheck.EffectAccessLost]
		was, is := routing.Compile(before), routing.Compile(after)
		for _, host := range []string{"g", "h"} {
			for _, path := range []string{"/", "/x/", "/x/z", "/x/y/z"} {
				for _, key := range []string{"", "k1", "k2", "k3", "unknown"} {
					for _, fraction := range []float64{0, 0.4, 0.6, 0.99} {
						had, owner := outcome(was, host, path, key, fraction)
						has, newOwner := outcome(is, host, path, key, fraction)
						if had == "" && has != "" {
							must.True(t, effects[has], must.Sprintf("%s%s with key %q now %s", host, path, key, has))
						}
						if owner != newOwner && owner != "" && newOwner != "" {
							must.True(t, effects[routecheck.EffectMoved], must.Sprintf("key %q moves from %s to %s", key, owner, newOwner))
						}
					}
				}
			}
		}
	})
}
