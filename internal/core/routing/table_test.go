package routing_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

func table(routes ...routing.Route) *routing.Table {
	return routing.Compile(&routing.Config{Routes: routes})
}

func TestLongestPrefixOfWholeSegmentsMatches(t *testing.T) {
	tab := table(
		routing.Route{Name: "short", Host: "a.example", Prefix: "/x/"},
		routing.Route{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		routing.Route{Name: "other", Host: "b.example", Prefix: "/x/"},
	)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x/", "short"},
		{"a.example", "/x/yy/1", "short"},
		{"A.Example:8080", "/x/1", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"a.example", "", ""},
		{"c.example", "/x/1", ""},
	} {
		r, ok := tab.Match(c.host, c.path)
		must.Eq(t, c.want != "", ok, must.Sprint(c))
		if ok {
			must.Eq(t, c.want, r.Name, must.Sprint(c))
		}
	}
}

// TestMatchEqualsLinearSearch compares Match with a search over all routes.
func TestMatchEqualsLinearSearch(t *testing.T) {
	path := rapid.StringMatching(`/([ab]/){0,3}[ab]{0,2}`)
	prefix := rapid.StringMatching(`/([ab]/){0,3}`)
	rapid.Check(t, func(t *rapid.T) {
		var routes []routing.Route
		for _, p := range rapid.SliceOfDistinct(prefix, rapid.ID).Draw(t, "prefixes") {
			routes = append(routes, routing.Route{Host: "h", Prefix: p})
		}
		p := path.Draw(t, "path")
		want := ""
		for _, r := range routes {
			if strings.HasPrefix(p, r.Prefix) && len(r.Prefix) > len(want) {
				want = r.Prefix
			}
		}
		got, ok := table(routes...).Match("h", p)
		must.Eq(t, want != "", ok)
		if ok {
			must.Eq(t, want, got.Prefix)
		}
	})
}

func TestServiceIsPickedByWeight(t *testing.T) {
	r := routing.Route{Services: []routing.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := make(map[fleet.Service]int)
	for i := range 1000 {
		counts[r.PickService(float64(i)/1000)]++
	}
	must.Eq(t, map[fleet.Service]int{"a": 900, "b": 100}, counts)
}

func TestAccountPriorityOverridesRoute(t *testing.T) {
	r := routing.Route{Priority: 1}
	must.Eq(t, 1, r.PriorityFor(nil))
	must.Eq(t, 1, r.PriorityFor(&routing.Account{Priority: 3}))
	must.Eq(t, 0, r.PriorityFor(&routing.Account{Priority: 0, Ranked: true}))
}

func TestIdempotentKinds(t *testing.T) {
	must.True(t, (&routing.Route{Kind: routing.Safe}).Idempotent())
	must.True(t, (&routing.Route{Kind: routing.Stream, Resumable: true}).Idempotent())
	must.False(t, (&routing.Route{Kind: routing.Stream}).Idempotent())
	must.False(t, (&routing.Route{Kind: routing.Unsafe, Resumable: true}).Idempotent())
}
