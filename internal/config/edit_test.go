package config

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

func TestSetMark(t *testing.T) {
	text := "# kept\n[[data_centres]]\nname = \"dc1\" # near\nregion = \"r\"\n\n[[targets]]\nname = \"e1\"\nmark = \"\"\nslots = 3"
	cases := []struct {
		section Markable
		name    string
		want    string
	}{
		{MarkDataCentre, "dc1", strings.Replace(text, "# near\n", "# near\nmark = \"drain\"\n", 1)},
		{MarkTarget, "e1", strings.Replace(text, "mark = \"\"", "mark = \"drain\"", 1)},
		{MarkVM, "vm7", text + "\n\n[[vms]]\nname = \"vm7\"\nmark = \"drain\"\n"},
	}
	for _, c := range cases {
		got, err := SetMark(Document{Text: []byte(text)}, c.section, c.name, fleet.MarkDrain)
		must.NoError(t, err)
		must.Eq(t, c.want, got)
		back, err := SetMark(Document{Text: []byte(got)}, c.section, c.name, fleet.MarkNone)
		must.NoError(t, err)
		must.StrContains(t, back, "mark = \"\"")
	}
	_, err := SetMark(Document{Text: []byte("vms = [{name = \"v\"}]")}, MarkVM, "v", fleet.MarkDrain)
	must.ErrorContains(t, err, "inline table")
}

func TestCompareAndCapacity(t *testing.T) {
	effect := func(overlay string) *Effective {
		e, err := Effect("gent", configstate.Version{}, docs(testBase, overlay))
		must.NoError(t, err)
		return e
	}
	before := effect("")
	after := effect("[[data_centres]]\nname = \"dc1\"\nmark = \"drain\"\n[deadlines]\nchat = \"30s\"")
	must.Eq(t, []Change{
		{Site: "gent", Key: "data_centres[dc1].mark", After: "drain"},
		{Site: "gent", Key: "deadlines.chat", Before: "1m0s", After: "30s"},
	}, Compare(before.Config, after.Config))
	must.SliceEmpty(t, Compare(before.Config, before.Config))
	must.Eq(t, []Capacity{{Kind: "model", Name: "design", Slots: 8, InService: 8, Targets: 1, TargetsInService: 1}}, before.Capacities())
	must.Eq(t, 0.0, after.Capacities()[0].Share())
	must.Eq(t, before.RulesHash(), after.RulesHash())
}

func TestKeysAreNotShown(t *testing.T) {
	hash := strings.Repeat("a", 64)
	must.StrContains(t, testBase, hash)
	must.StrNotContains(t, HideKeys(testBase), hash)
	for _, v := range mergeGent(t, "").Values() {
		must.StrNotContains(t, v.Value, hash[:16])
	}
}

func TestWithDrains(t *testing.T) {
	e, err := Effect("gent", configstate.Version{Offset: 4, Hash: "h"}, docs(testBase, ""))
	must.NoError(t, err)
	must.True(t, e == e.WithDrains(nil))
	out := e.WithDrains([]Drained{{MarkTarget, "engine-1"}, {MarkVM, "vm7"}, {MarkDataCentre, "nowhere"}})
	must.True(t, out.TargetDrained(out.Target("engine-1")))
	must.True(t, out.VMDrained("vm7", "dc1"))
	must.False(t, out.VMDrained("vm8", "dc1"))
	must.Eq(t, uint64(4), out.Offset)
	must.False(t, e.TargetDrained(e.Target("engine-1")))
	must.False(t, e.VMDrained("vm7", "dc1"))
}
