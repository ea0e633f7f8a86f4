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

// TestReadersNeverMistakeATarget loses any messages on the way to a reader:
// what it resolves is what was written, and it resolves all again with the next
// message that tells all targets, which is one in 16.
func TestReadersNeverMistakeATarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, r := loadtable.NewEncoder(7<<32), loadtable.NewDecoder()
		sinceAll := 0
		for range rapid.IntRange(1, 600).Draw(t, "messages") {
			w.Begin()
			var loads []loadtable.Load
			for ref := range uint32(12) {
				n := rapid.Uint32Range(0, 40).Draw(t, "running")
				if n < 20 {
					loads = append(loads, loadtable.Load{Target: fleet.Ref(ref * 1000), Running: n})
				}
			}
			at, ok := w.Index(fleet.Ref(77_000))
			must.True(t, ok)
			m := w.Encode(loads)
			sinceAll++
			if m.First == 0 {
				sinceAll = 0
			}
			must.Less(t, 16, sinceAll)
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue
			}
			refs, ok := r.Targets(&m)
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

// TestAMessageTakesHalfAByteForEachTarget is the planned size: 1,200 targets.
func TestAMessageTakesHalfAByteForEachTarget(t *testing.T) {
	w := loadtable.NewEncoder(1)
	var loads []loadtable.Load
	for ref := range uint32(1200) {
		loads = append(loads, loadtable.Load{Target: fleet.Ref(ref * 3_000_000), Running: ref % 9})
	}
	for i := range 8 {
		w.Begin()
		m := w.Encode(loads)
		must.Eq(t, 600, len(m.Counts))
		must.Eq(t, i == 0, len(m.Targets) > 0)
	}
}

func TestBrokenMessagesAreDropped(t *testing.T) {
	r := loadtable.NewDecoder()
	m := loadtable.Message{Table: 1, Counts: []byte{0x1f}}
	_, ok := m.Loads([]fleet.Ref{1, 2})
	must.False(t, ok, must.Sprint("no large count"))
	m = loadtable.Message{Table: 1, Counts: []byte{0x11}}
	_, ok = m.Loads([]fleet.Ref{1})
	must.False(t, ok, must.Sprint("more counts than targets"))
	_, ok = r.Targets(&loadtable.Message{Table: 1, First: 1})
	must.False(t, ok, must.Sprint("a part was missed"))
}

// TestReadersForgetOldTables bounds what a reader keeps.
func TestReadersForgetOldTables(t *testing.T) {
	r := loadtable.NewDecoder()
	for table := range uint64(2000) {
		_, ok := r.Targets(&loadtable.Message{Table: table, Targets: []byte{1, 0, 0, 0}})
		must.True(t, ok)
	}
	_, ok := r.Targets(&loadtable.Message{Table: 0, First: 1})
	must.False(t, ok)
	_, ok = r.Targets(&loadtable.Message{Table: 1999, First: 1})
	must.True(t, ok)
}

// TestAHubFollowsAllItsMembers has 390 routers write in turn.
func TestAHubFollowsAllItsMembers(t *testing.T) {
	r := loadtable.NewDecoder()
	var all []*loadtable.Encoder
	for i := range uint64(390) {
		all = append(all, loadtable.NewEncoder(i<<32))
	}
	for round := range 20 {
		for i, w := range all {
			w.Begin()
			m := w.Encode([]loadtable.Load{{Target: fleet.Ref(i), Running: uint32(round + 1)}})
			refs, ok := r.Targets(&m)
			must.True(t, ok)
			got, ok := m.Loads(refs)
			must.True(t, ok)
			must.Eq(t, []loadtable.Load{{Target: fleet.Ref(i), Running: uint32(round + 1)}}, got)
		}
	}
}

// TestTablesAreNotToldWithoutEnd asks for all targets before every message, as
// while routers come and go.
func TestTablesAreNotToldWithoutEnd(t *testing.T) {
	w := loadtable.NewEncoder(1)
	full := 0
	for range 100 {
		w.SendAllTargets()
		w.Begin()
		if m := w.Encode([]loadtable.Load{{Target: 7, Running: 1}}); len(m.Targets) > 0 {
			full++
		}
	}
	must.Eq(t, 25, full)
}
