package quarantine_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/quarantine"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// TestCrashesThatComeTogether lets requests with one part break off at five engines within
// a millisecond. It is the part if the engines are down afterwards, unless the part was
// served before, since a rack that fails breaks off what its engines ran.
func TestCrashesThatComeTogether(t *testing.T) {
	const part = uint64(7)
	for _, c := range []struct {
		name               string
		served, down, want bool
	}{
		{"engines are down", false, true, true},
		{"connections broke", false, false, false},
		{"a part that was served", true, true, false},
	} {
		for _, downFirst := range []bool{false, true} {
			tracker := quarantine.New()
			now := time.Unix(1_700_000_000, 0)
			serve := func(parts ...uint64) {
				tracker.Served(now, parts, quarantine.Engine{Target: 99, Service: "llm"}, now)
			}
			if c.served {
				serve(part)
			}
			now = now.Add(10 * time.Second)
			serve(555)
			engine := func(i int) quarantine.Engine { return quarantine.Engine{Target: fleet.Ref(i), Service: "llm"} }
			for i := range 5 {
				if c.down && downFirst {
					tracker.EngineDown(now, engine(i))
				}
				tracker.Crashed(now, quarantine.Crash{Engine: engine(i), Parts: []uint64{part}, Content: uint64(100 + i)})
			}
			now = now.Add(5 * time.Millisecond)
			serve(556)
			for i := range 5 {
				if c.down && !downFirst {
					_, crashed := tracker.EngineDown(now, engine(i))
					must.True(t, crashed)
				}
			}
			_, refused := tracker.Refuses(now, []uint64{part, 1}, func(uint64) bool { return false })
			must.Eq(t, c.want, refused, must.Sprintf("%s, known before: %t", c.name, downFirst))
		}
	}
	_, crashed := quarantine.New().EngineDown(time.Unix(1_700_000_000, 0), quarantine.Engine{Target: 1})
	must.False(t, crashed)
}
