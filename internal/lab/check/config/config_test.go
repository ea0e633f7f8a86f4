package config_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/check/config"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

func view(vm fleet.VM, s int, offset uint64, hash string) history.ConfigView {
	return history.ConfigView{VM: vm, At: at(s), Offset: offset, Hash: hash, Boot: 1}
}

func TestCheck(t *testing.T) {
	rebooted := view("a", 20, 1, "x")
	rebooted.Boot = 2
	cases := []struct {
		name  string
		views []history.ConfigView
		rule  string
		took  time.Duration
	}{
		{"in time", []history.ConfigView{view("a", 0, 1, "x"), view("a", 12, 5, "y")}, "", 2 * time.Second},
		{"by a later version", []history.ConfigView{view("a", 0, 1, "x"), view("a", 11, 6, "z")}, "", time.Second},
		{"late", []history.ConfigView{view("a", 0, 1, "x"), view("a", 15, 5, "y")}, config.RuleConverge, 5 * time.Second},
		{"never", []history.ConfigView{view("a", 0, 1, "x")}, config.RuleConverge, 90 * time.Second},
		{"back", []history.ConfigView{view("a", 0, 1, "x"), view("a", 11, 5, "y"), view("a", 12, 1, "x")}, config.RuleBack, time.Second},
		{"new process starts lower", []history.ConfigView{view("a", 11, 5, "y"), rebooted}, "", time.Second},
		{"two contents", []history.ConfigView{view("a", 11, 5, "y"), view("b", 11, 5, "other")}, config.RuleDiffers, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &history.History{
				Start:     start,
				End:       at(100),
				Views:     c.views,
				Published: []history.Publish{{Offset: 5, At: at(10)}},
				UpVMs:     map[fleet.VM][]history.Span{"a": {{From: start}}},
			}
			took, violations := config.Check(h)
			must.Eq(t, c.took, took)
			if c.rule == "" {
				must.Len(t, 0, violations)
				return
			}
			must.Eq(t, c.rule, violations[0].Rule)
		})
	}
}

func TestRouterThatWasDown(t *testing.T) {
	h := &history.History{
		Start:     start,
		End:       at(100),
		Views:     []history.ConfigView{view("a", 0, 1, "x"), view("a", 32, 5, "y")},
		Published: []history.Publish{{Offset: 5, At: at(10)}},
		UpVMs:     map[fleet.VM][]history.Span{"a": {{From: start, To: at(11)}, {From: at(30)}}},
	}
	took, violations := config.Check(h)
	must.Eq(t, 2*time.Second, took)
	must.Len(t, 0, violations)
	h.UpVMs["a"][1].From = at(20)
	_, violations = config.Check(h)
	must.Len(t, 1, violations)
}
