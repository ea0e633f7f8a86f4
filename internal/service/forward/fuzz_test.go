package forward

import (
	"testing"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// FuzzDigest decodes arbitrary bytes as a digest of another router. Entries that can't
// be resolved are dropped; nothing may panic.
func FuzzDigest(f *testing.F) {
	u := updates{
		prompts:  []balance.Placement{{Prompt: 7, Target: 5}},
		outcomes: map[fleet.Ref]outlier.Counts{5: {OK: 1, Failed: 2}},
		leaving:  []leavingTarget{{target: 5, born: 9}},
	}
	payload, err := wire.Marshal(newDigest(loadtable.NewEncoder(1), []balance.Load{{Target: 5, Running: 20}, {Target: 6, Running: 1}}, u))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(payload)
	f.Fuzz(func(t *testing.T, payload []byte) {
		var d digest
		if wire.Unmarshal(payload, &d) != nil {
			return
		}
		decoder := loadtable.NewDecoder()
		for range 2 {
			refs, _ := decoder.Targets(&d.Loads)
			for _, l := range d.leaving(refs) {
				if len(refs) == 0 {
					t.Fatalf("leaving target %v of an empty table", l)
				}
			}
			_, _ = d.Loads.Loads(refs)
			_, _ = d.prompts(refs), d.outcomes(refs)
		}
	})
}
