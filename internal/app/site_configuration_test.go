package app

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/routecheck"
)

// TestRouterServesItsConfiguration guards against a router that serves another
// configuration than the one in force, or one with keys.
func TestRouterServesItsConfiguration(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.publish(2, "plain")
		b.wait(3 * time.Second)
		must.Zero(t, b.lines.of("1", "The configuration has errors. Run zfctl check on it."))
		got := b.get("10.0.0.1:83", routecheck.ViewPath)
		view, _, err := routecheck.ParseView([]byte(got.body))
		must.NoError(t, err)
		must.Eq(t, int64(2), view.Configuration.Version)
		must.Len(t, 4, view.Configuration.Routes)
		must.Len(t, 1, view.Configuration.Accounts[0].Keys)
		must.NotEq(t, "key", view.Configuration.Accounts[0].Keys[0])
	})
}
