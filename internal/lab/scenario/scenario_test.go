package scenario_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/lab/scenario"
)

func TestNames(t *testing.T) {
	for _, name := range scenario.Names() {
		s, err := scenario.ByName(name)
		must.NoError(t, err)
		must.Eq(t, name, s.Name)
	}
	_, err := scenario.ByName("absent")
	must.ErrorContains(t, err, "steady")
}

func TestSeedFixesTheFaults(t *testing.T) {
	for _, name := range scenario.Names() {
		first, err := scenario.Preview(name, "gent", 3, time.Minute)
		must.NoError(t, err)
		again, err := scenario.Preview(name, "gent", 3, time.Minute)
		must.NoError(t, err)
		must.Eq(t, first, again)
	}
	a, err := scenario.Preview("chaos", "gent", 1, time.Minute)
	must.NoError(t, err)
	b, err := scenario.Preview("chaos", "gent", 2, time.Minute)
	must.NoError(t, err)
	must.NotEq(t, a, b)
}

// TestSmallRun plays a tiny site. Only rules that do not depend on the speed
// of the machine are judged.
func TestSmallRun(t *testing.T) {
	var progress strings.Builder
	out, err := scenario.Run(t.Context(), scenario.Options{
		Scenario: "config-race",
		Site:     "trinidad",
		Seed:     1,
		Routers:  3,
		Targets:  4,
		Duration: time.Second,
		Progress: &progress,
	})
	must.NoError(t, err)
	t.Log(progress.String())
	m := out.Result.Measures
	must.Positive(t, m.Requests)
	must.Positive(t, m.Service)
	must.Zero(t, m.OrdersDuplicated)
	must.Zero(t, m.OrdersLost)
	must.Zero(t, m.FalseNotRun)
	must.Zero(t, m.AnswersWrong)
}
