package suite_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/lab/scenario"
	"github.com/zinniafork/zinniafork/internal/lab/suite"
)

func TestRunNamesTheBadScenario(t *testing.T) {
	_, err := suite.Run(t.Context(), suite.Options{
		Scenarios: []string{"absent"},
		Sites:     []string{"gent"},
		Seeds:     []uint64{7},
	})
	must.ErrorContains(t, err, "absent on gent, seed 7")
}

func TestPrintAndFailed(t *testing.T) {
	results := []scenario.Result{
		{Scenario: "steady", Site: "gent", Seed: 1, Pass: true},
		{Scenario: "chaos", Site: "gent", Seed: 2, Measures: scenario.Measures{OrdersDuplicated: 3}},
	}
	must.Eq(t, 1, suite.Failed(results))
	var out strings.Builder
	suite.Print(&out, results)
	must.StrContains(t, out.String(), "| gent | chaos | 2 | false |")
	must.StrContains(t, out.String(), "3/0/0")
}
