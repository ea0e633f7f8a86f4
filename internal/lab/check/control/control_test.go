package control_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/check/control"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func samples(vm fleet.VM, rates ...float64) []history.ControlSample {
	var out []history.ControlSample
	for i, rate := range rates {
		out = append(out, history.ControlSample{VM: vm, At: start.Add(time.Duration(2*i) * time.Second), Bytes: rate})
	}
	return out
}

func TestCheck(t *testing.T) {
	cases := []struct {
		name string
		in   []history.ControlSample
		rate float64
		over bool
	}{
		{"within", samples("a", 1000, 1000, 1000), 1000, false},
		{"over", samples("a", 5000, 5000), 5000, true},
		{"a short peak is averaged", samples("a", 1000, 1000, 1000, 1000, 6000, 1000), 2000, false},
		{"one router of two", append(samples("a", 1), samples("b", 4000)...), 4000, true},
		{"none", nil, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rate, violations := control.Check(&history.History{Control: c.in}, 3000)
			must.Eq(t, c.rate, rate)
			must.Eq(t, c.over, len(violations) > 0)
		})
	}
}
