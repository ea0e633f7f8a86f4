package forward

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// TestDigestRoundTrip checks that a digest decodes to the loads, placements
// and outcomes that were encoded, for targets with and without load.
func TestDigestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ref := rapid.Custom(func(t *rapid.T) fleet.Ref { return fleet.Ref(rapid.Uint32().Draw(t, "ref")) })
		loads := make(map[fleet.Ref]uint32)
		for range rapid.IntRange(0, 30).Draw(t, "loads") {
			loads[ref.Draw(t, "target")] = rapid.Uint32Range(1, 100).Draw(t, "running")
		}
		var running []balance.Load
		for id, n := range loads {
			running = append(running, balance.Load{Target: id, Running: n})
		}
		u := updates{outcomes: make(map[fleet.Ref]outlier.Counts)}
		for range rapid.IntRange(0, 30).Draw(t, "placements") {
			u.prompts = append(u.prompts, balance.Placement{Prompt: rapid.Uint64().Draw(t, "prompt"), Target: ref.Draw(t, "target")})
		}
		u.outcomes[ref.Draw(t, "target")] = outlier.Counts{OK: 3, Failed: 2}

		payload, err := wire.Marshal(newDigest(start, loadtable.NewEncoder(1), running, u))
		must.NoError(t, err)
		var d digest
		must.NoError(t, wire.Unmarshal(payload, &d))
		refs, ok := loadtable.NewDecoder().Targets(&d.Loads)
		must.True(t, ok)
		got, ok := d.Loads.Loads(refs)
		must.True(t, ok)
		must.Len(t, len(loads), got)
		for _, l := range got {
			must.Eq(t, loads[l.Target], l.Running)
		}
		must.SliceContainsAll(t, u.prompts, d.prompts(refs))
		must.Eq(t, u.outcomes, d.outcomes(refs))
	})
}

// TestDigestIgnoresTruncatedEntries decodes truncated entries and unknown target
// indexes, as a faulty sender may produce them: they must be ignored.
func TestDigestIgnoresTruncatedEntries(t *testing.T) {
	d := digest{Prompts: make([]byte, placementSize+3), Outcomes: []uint32{0, 1, 1, 9, 1, 1, 0, 1}}
	refs := []fleet.Ref{5}
	must.Eq(t, []balance.Placement{{Target: 5}}, d.prompts(refs))
	must.Eq(t, map[fleet.Ref]outlier.Counts{5: {OK: 1, Failed: 1}}, d.outcomes(refs))
	must.SliceEmpty(t, d.prompts(nil))
}

// TestOutcomeDistinguishesCallerLeft checks that a caller that left is not reported
// as a timeout or as a failed target, and the other way round.
func TestOutcomeDistinguishesCallerLeft(t *testing.T) {
	for _, c := range []struct {
		name  string
		cause error
		want  string
	}{
		{"the caller left", context.Canceled, "caller_left"},
		{"the deadline has passed", errDeadline, "failed"},
	} {
		ctx, cancel := context.WithCancelCause(t.Context())
		must.Eq(t, "failed", outcomeUnlessLeft(ctx, "failed"), must.Sprint(c.name))
		cancel(c.cause)
		must.Eq(t, c.want, outcomeUnlessLeft(ctx, "failed"), must.Sprint(c.name))
	}
}

// TestDigestHoldsTheNewestUpdates checks that what a hub passes on between two digests is
// bounded, whatever it receives.
func TestDigestHoldsTheNewestUpdates(t *testing.T) {
	var u updates
	for i := range 3 * maxPlacements {
		u.merge(updates{
			prompts: []balance.Placement{{Prompt: uint64(i), Target: 1}},
			leaving: []leavingTarget{{target: 1, born: uint32(i)}},
		})
	}
	out, dropped := u.take()
	must.Len(t, maxPlacements, out.prompts)
	must.Eq(t, 3*maxPlacements-1, int(out.prompts[maxPlacements-1].Prompt))
	must.Len(t, maxReports, out.leaving)
	must.Eq(t, 3*maxPlacements-1, int(out.leaving[maxReports-1].born))
	must.Eq(t, 2*maxPlacements+3*maxPlacements-maxReports, dropped)
	payload, err := wire.Marshal(newDigest(start, loadtable.NewEncoder(1), nil, out))
	must.NoError(t, err)
	must.Less(t, largeDigestBytes, len(payload))
	empty, _ := u.take()
	must.SliceEmpty(t, empty.prompts)
}
