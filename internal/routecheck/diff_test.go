package routecheck_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/routecheck"
)

// base returns a configuration that tests change.
func base() *routing.Config {
	to := func(names ...fleet.Service) (out []routing.WeightedService) {
		for _, n := range names {
			out = append(out, routing.WeightedService{Service: n, Weight: 1})
		}
		return out
	}
	return &routing.Config{
		Version: 1, Keyed: true,
		Routes: []routing.Route{
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: routing.Stream, Resumable: true, Services: to("a", "b")},
			{Name: "order", Host: "h", Prefix: "/order/", Services: to("c"), Timeout: time.Minute, Attempts: 2},
			{Name: "other", Host: "h", Prefix: "/", Kind: routing.Safe, Public: true, Services: to("c"), Attempts: 2},
		},
		Services: []routing.Service{{Name: "a"}, {Name: "b"}, {Name: "c"}},
		Accounts: []routing.Account{
			{Name: "x", Keys: []string{"secret1", "secret2"}}, {Name: "y", Keys: []string{"secret3"}},
		},
	}
}

// TestDiff guards against a change whose effect on callers is missing or wrong, and
// against keys among the changes.
func TestDiff(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *routing.Config)
		want   []string
	}{
		"nothing":                 {func(*routing.Config) {}, nil},
		"order of rows":           {func(c *routing.Config) { c.Routes[0], c.Routes[1] = c.Routes[1], c.Routes[0] }, nil},
		"moved route":             {func(c *routing.Config) { c.Routes = c.Routes[:2] }, []string{"route h/ removed gets_404"}},
		"order as safe":           {func(c *routing.Config) { c.Routes[1].Kind = routing.Safe }, []string{"route h/order/ changed may_run_twice"}},
		"safe, one attempt":       {func(c *routing.Config) { c.Routes[1].Kind, c.Routes[1].Attempts = routing.Safe, 1 }, []string{"route h/order/ changed"}},
		"more attempts":           {func(c *routing.Config) { c.Routes[0].Attempts = 2 }, []string{"route h/chat/ changed may_run_twice"}},
		"shorter limit":           {func(c *routing.Config) { c.Routes[1].Timeout = time.Second }, []string{"route h/order/ changed time_limit"}},
		"limit above the default": {func(c *routing.Config) { c.Routes[2].Timeout = 2 * time.Minute }, []string{"route h/ changed"}},
		"moved to a shorter limit": {func(c *routing.Config) {
			c.Routes = append(c.Routes, routing.Route{Host: "h", Prefix: "/order/x/", Services: c.Routes[1].Services, Timeout: time.Second})
		}, []string{"route h/order/x/ added moved time_limit"}},
		"not public":    {func(c *routing.Config) { c.Routes[2].Public = false }, []string{"route h/ changed gets_401"}},
		"public":        {func(c *routing.Config) { c.Routes[1].Public = true }, []string{"route h/order/ changed admitted"}},
		"one service":   {func(c *routing.Config) { c.Routes[0].Services = c.Routes[0].Services[:1] }, []string{"route h/chat/ changed streams_end"}},
		"not resumable": {func(c *routing.Config) { c.Routes[0].Resumable = false }, []string{"route h/chat/ changed streams_end"}},
		"service":       {func(c *routing.Config) { c.Services = c.Services[1:] }, []string{"route h/chat/ changed gets_503", "service a removed streams_end"}},
		"keys not used": {func(c *routing.Config) { c.Keyed = false }, []string{"account * changed admitted"}},
		"body":          {func(c *routing.Config) { c.Limits.BodyBytes = 9 }, []string{"limits  changed gets_413_or_431"}},
		"default body":  {func(c *routing.Config) { c.Limits.BodyBytes = 4 << 20 }, []string{"limits  changed"}},
		"one key":       {func(c *routing.Config) { c.Accounts[0].Keys = c.Accounts[0].Keys[1:] }, []string{"account x changed -1 gets_401"}},
		"other key":     {func(c *routing.Config) { c.Accounts[1].Keys = []string{"secret4"} }, []string{"account y changed +1 -1 access_lost"}},
		"account":       {func(c *routing.Config) { c.Accounts = c.Accounts[:1] }, []string{"account y removed -1 access_lost"}},
		"key moves": {func(c *routing.Config) {
			c.Accounts[0].Keys, c.Accounts[1].Keys = nil, []string{"secret1", "secret2", "secret3"}
		}, []string{"account x changed -2 moved", "account y changed +2"}},
		"hidden row": {func(c *routing.Config) {
			c.Routes = append([]routing.Route{{Name: "z", Host: "h", Prefix: "/"}}, c.Routes...)
		}, nil},
		"narrower route":      {func(c *routing.Config) { c.Routes[2].Prefix = "/other/" }, []string{"route h/ removed gets_404", "route h/other/ added moved"}},
		"route without slash": {func(c *routing.Config) { c.Routes = append(c.Routes, routing.Route{Host: "h", Prefix: "/z"}) }, []string{"route h/z added"}},
		"route with port":     {func(c *routing.Config) { c.Routes = append(c.Routes, routing.Route{Host: "h:80", Prefix: "/z/"}) }, []string{"route h:80/z/ added"}},
		"route to no service": {func(c *routing.Config) { c.Routes = append(c.Routes, routing.Route{Host: "i", Prefix: "/"}) }, []string{"route i/ added gets_503"}},
		"removed order":       {func(c *routing.Config) { c.Routes = append(c.Routes[:1:1], c.Routes[2]) }, []string{"route h/order/ removed moved admitted may_run_twice"}},
	} {
		after := base()
		c.change(after)
		var have []string
		for _, change := range routecheck.Diff(routecheck.NewView(base(), []byte("salt")), routecheck.NewView(after, []byte("salt"))) {
			must.StrNotContains(t, fmt.Sprint(change), "secret")
			text := fmt.Sprintf("%s %s %s", change.Kind, change.Name, change.Action)
			if change.KeysAdded > 0 {
				text += fmt.Sprintf(" +%d", change.KeysAdded)
			}
			if change.KeysRemoved > 0 {
				text += fmt.Sprintf(" -%d", change.KeysRemoved)
			}
			for _, e := range change.Effects {
				text += " " + e.Code
			}
			have = append(have, text)
		}
		must.Eq(t, c.want, have, must.Sprint(name))
	}
}

// TestDiffOfServiceWithoutStreams guards against streams that are said to end at a
// service that only a route without requests names.
func TestDiffOfServiceWithoutStreams(t *testing.T) {
	before := base()
	before.Services = append(before.Services, routing.Service{Name: "d"})
	hidden := before.Routes[0]
	hidden.Services = []routing.WeightedService{{Service: "d", Weight: 1}}
	before.Routes = append([]routing.Route{hidden}, before.Routes...)
	changes := routecheck.Diff(routecheck.NewView(before, nil), routecheck.NewView(base(), nil))
	must.Len(t, 1, changes)
	must.Eq(t, "service", changes[0].Kind)
	must.SliceEmpty(t, changes[0].Effects)
}

// TestDiffWithoutRequests guards against effects of the loss or change of a route that
// no request matched.
func TestDiffWithoutRequests(t *testing.T) {
	before := base()
	before.Routes = append(before.Routes,
		routing.Route{Host: "h", Prefix: "/z", Services: before.Routes[0].Services},
		routing.Route{Host: "h", Prefix: "/q", Timeout: time.Minute, Services: before.Routes[0].Services})
	after := base()
	after.Routes = append(after.Routes, routing.Route{Host: "h", Prefix: "/q", Kind: routing.Safe, Timeout: time.Second, Public: true})
	changes := routecheck.Diff(routecheck.NewView(before, nil), routecheck.NewView(after, nil))
	must.Len(t, 2, changes)
	for _, c := range changes {
		must.SliceEmpty(t, c.Effects, must.Sprint(c.Name))
	}
}

// TestDiffGrowsLinearly guards against work that grows with the product of services
// and routes.
func TestDiffGrowsLinearly(t *testing.T) {
	const n = 1000
	config := func(prefix string) *routecheck.View {
		c := new(routing.Config)
		for i := range n {
			name := fleet.Service(fmt.Sprint(prefix, i))
			c.Routes = append(c.Routes, routing.Route{
				Host: "h", Prefix: fmt.Sprintf("/%d/", i), Kind: routing.Stream, Services: []routing.WeightedService{{Service: name, Weight: 1}},
			})
			c.Services = append(c.Services, routing.Service{Name: name})
		}
		return routecheck.NewView(c, nil)
	}
	before, after := config("a"), config("b")
	must.Less(t, 100*n, testing.AllocsPerRun(1, func() { routecheck.Diff(before, after) }))
}

// TestDiffOfDefaultLimits guards against a default that is taken for no limit, or for a
// lower one.
func TestDiffOfDefaultLimits(t *testing.T) {
	wide := &routing.Config{Limits: routing.Limits{HeaderBytes: 1 << 20, BodyBytes: 64 << 20}}
	changes := routecheck.Diff(routecheck.NewView(wide, nil), routecheck.NewView(new(routing.Config), nil))
	must.Len(t, 1, changes)
	must.Len(t, 2, changes[0].Effects)
}
