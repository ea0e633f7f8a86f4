package loadtable_test

import (
	"cmp"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

func sorted(loads []loadtable.Load) []loadtable.Load {
	out := slices.DeleteFunc(slices.Clone(loads), func(l loadtable.Load) bool { return l.Running == 0 })
	slices.SortFunc(out, func(a, b loadtable.Load) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// TestDecoderResolvesTargetsDespiteLoss drops random messages: whatever a decoder
// resolves must equal what was encoded, and one message in 16 must contain all
// targets, from which a decoder recovers.
func TestDecoderResolvesTargetsDespiteLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, d := loadtable.NewEncoder(7<<32), loadtable.NewDecoder()
		sinceFull := 0
		for range rapid.IntRange(1, 600).Draw(t, "messages") {
			e.Begin()
			var loads []loadtable.Load
			for ref := range uint32(12) {
				n := rapid.Uint32Range(0, 40).Draw(t, "running")
				if n < 20 {
					loads = append(loads, loadtable.Load{Target: fleet.Ref(ref * 1000), Running: n})
				}
			}
			at, ok := e.Index(fleet.Ref(77_000))
			must.True(t, ok)
			m := e.Encode(loads)
			sinceFull++
			if m.First == 0 {
				sinceFull = 0
			}
			must.Less(t, 16, sinceFull)
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue
			}
			refs, ok := d.Targets(&m)
			if !ok {
				must.Positive(t, m.First)
				continue
			}
			got, ok := m.Loads(refs)
			must.True(t, ok)
			must.True(t, slices.Equal(sorted(loads), sorted(got)))
			must.Eq(t, fleet.Ref(77_000), refs[at])
		}
	})
}

// TestMessageSize checks the half byte per target at the planned size of 1,200
// targets.
func TestMessageSize(t *testing.T) {
	e := loadtable.NewEncoder(1)
	var loads []loadtable.Load
	for ref := range uint32(1200) {
		loads = append(loads, loadtable.Load{Target: fleet.Ref(ref * 3_000_000), Running: ref % 9})
	}
	for i := range 8 {
		e.Begin()
		m := e.Encode(loads)
		must.Eq(t, 600, len(m.Counts))
		must.Eq(t, i == 0, len(m.Targets) > 0)
	}
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	d := loadtable.NewDecoder()
	m := loadtable.Message{Table: 1, Counts: []byte{0x1f}}
	_, ok := m.Loads([]fleet.Ref{1, 2})
	must.False(t, ok, must.Sprint("large count missing"))
	m = loadtable.Message{Table: 1, Counts: []byte{0x11}}
	_, ok = m.Loads([]fleet.Ref{1})
	must.False(t, ok, must.Sprint("more counts than targets"))
	_, ok = d.Targets(&loadtable.Message{Table: 1, First: 1})
	must.False(t, ok, must.Sprint("part of the table missing"))
}

// TestDecoderEvictsOldTables checks that a decoder keeps a limited number of tables.
func TestDecoderEvictsOldTables(t *testing.T) {
	d := loadtable.NewDecoder()
	for table := range uint64(2000) {
		_, ok := d.Targets(&loadtable.Message{Table: table, Targets: []byte{1, 0, 0, 0}})
		must.True(t, ok)
	}
	_, ok := d.Targets(&loadtable.Message{Table: 0, First: 1})
	must.False(t, ok)
	_, ok = d.Targets(&loadtable.Message{Table: 1999, First: 1})
	must.True(t, ok)
}

// TestDecoderKeepsTablesOfLargeDataCentre decodes the messages of 390 encoders in
// turn, as a hub does.
func TestDecoderKeepsTablesOfLargeDataCentre(t *testing.T) {
	d := loadtable.NewDecoder()
	var all []*loadtable.Encoder
	for i := range uint64(390) {
		all = append(all, loadtable.NewEncoder(i<<32))
	}
	for round := range 20 {
		for i, e := range all {
			e.Begin()
			m := e.Encode([]loadtable.Load{{Target: fleet.Ref(i), Running: uint32(round + 1)}})
			refs, ok := d.Targets(&m)
			must.True(t, ok)
			got, ok := m.Loads(refs)
			must.True(t, ok)
			must.Eq(t, []loadtable.Load{{Target: fleet.Ref(i), Running: uint32(round + 1)}}, got)
		}
	}
}

// TestFullMessagesAreRateLimited requests all targets before every message, as
// happens while routers come and go.
func TestFullMessagesAreRateLimited(t *testing.T) {
	e := loadtable.NewEncoder(1)
	full := 0
	for range 100 {
		e.SendAllTargets()
		e.Begin()
		if m := e.Encode([]loadtable.Load{{Target: 7, Running: 1}}); len(m.Targets) > 0 {
			full++
		}
	}
	must.Eq(t, 25, full)
}
