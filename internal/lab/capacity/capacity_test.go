package capacity

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestFit(t *testing.T) {
	line := Fit([]Point{{Size: 3, Value: 16}, {Size: 9, Value: 28}, {Size: 30, Value: 70}})
	must.InDelta(t, 10, line.Base, 1e-9)
	must.InDelta(t, 2, line.Slope, 1e-9)
	must.InDelta(t, 790, line.At(PlannedRouters), 1e-9)
	must.Eq(t, Line{Slope: 2}, Fit([]Point{{Size: 4, Value: 8}}))
	must.Eq(t, Line{}, Fit(nil))
}

func TestRowThatDoesNotFitSaysSo(t *testing.T) {
	points := []Point{{Size: 10, Value: 1000}, {Size: 20, Value: 2000}, {Size: 30, Value: 3000}}
	rows := []Row{
		fitted("VM", "small", "routers", points, 100, UnitBytesPerSec, LimitTraffic, "m"),
		fitted("VM", "large", "routers", points, PlannedRouters, UnitBytesPerSec, LimitTraffic, "m"),
		fitted("VM", "free", "routers", points, PlannedRouters, UnitBytesPerSec, 0, "m"),
	}
	must.True(t, rows[0].Fits())
	must.False(t, rows[1].Fits())
	var out strings.Builder
	must.NoError(t, Print(&out, rows))
	must.StrContains(t, out.String(), "10 KB/s | 14 KB/s | yes |")
	must.StrContains(t, out.String(), "39 KB/s | 14 KB/s | **no** |")
	must.StrContains(t, out.String(), "39 KB/s |  |  |")
}

func TestDocumentGrowsWithTargets(t *testing.T) {
	c := document(PlannedTargets)
	must.Len(t, PlannedTargets, c.Targets)
	must.Len(t, PlannedAccounts, c.Accounts)
}

func TestDecisionRowsAreMeasured(t *testing.T) {
	if testing.Short() {
		t.Skip("times decisions")
	}
	rows, err := decisionRows()
	must.NoError(t, err)
	for _, r := range rows {
		must.Positive(t, r.Planned, must.Sprint(r.Role, r.Resource))
	}
	var out strings.Builder
	must.NoError(t, Print(&out, rows))
	t.Log("\n" + out.String())
}
