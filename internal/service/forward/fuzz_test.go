package forward

import (
	"testing"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/core/quarantine"
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
		parts: quarantine.Notices{
			Crashes: []quarantine.Crash{{Engine: quarantine.Engine{Target: 5, Born: 9}, Parts: []uint64{1, 2}}},
			Cleared: []uint64{3}, Familiar: []uint64{4}, Quarantined: []uint64{5},
		},
	}
	payload, err := wire.Marshal(newDigest(start, loadtable.NewEncoder(1), []balance.Load{{Target: 5, Running: 20}, {Target: 6, Running: 1}}, u))
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
			n := d.parts(start, refs)
			if len(refs) == 0 && len(n.Crashes) > 0 {
				t.Fatalf("crashes %v of an empty table", n.Crashes)
			}
			for _, c := range n.Crashes {
				quarantine.New().CrashedElsewhere(start, c)
			}
			_, _ = d.Loads.Loads(refs)
			_, _ = d.prompts(refs), d.outcomes(refs)
		}
	})
}
