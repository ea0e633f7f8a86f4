package configstate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// emergency returns a mark of an item in section data_centres of site gent.
func emergency(name string, drain bool, at, until time.Time) EmergencyMark {
	return EmergencyMark{Site: "gent", Section: "data_centres", Name: name, Drain: drain, Author: "ada", At: at, Until: until}
}

// TestEmergencyMarks covers merging, expiry, cancellation and the limit on the
// duration of emergency marks.
func TestEmergencyMarks(t *testing.T) {
	now := time.Unix(1_800_000_000, 0).UTC()
	var e EmergencyMarks
	must.True(t, e.Merge(now, emergency("dc1", true, now, now.Add(time.Hour))))
	must.False(t, e.Merge(now, emergency("dc1", true, now, now.Add(time.Hour))))
	must.Len(t, 1, e.Drains("gent", now))
	must.SliceEmpty(t, e.Drains("trinidad", now))
	must.False(t, e.Merge(now, emergency("dc1", false, now.Add(-time.Second), now.Add(time.Hour))))
	must.False(t, e.Merge(now, emergency("dc2", true, now, now)))
	must.False(t, e.Merge(now, emergency("dc2", true, now, now.Add(24*time.Hour))))

	// A router whose clock is a minute behind can still cancel the drain.
	cancel := e.Timestamp(emergency("dc1", false, time.Time{}, now.Add(time.Hour)), now.Add(-time.Minute))
	must.True(t, e.Merge(now, cancel))
	must.SliceEmpty(t, e.Drains("gent", now))
	must.Len(t, 1, e.All())

	must.True(t, e.Merge(now, emergency("dc3", true, now, now.Add(time.Minute))))
	must.Len(t, 1, e.Drains("gent", now.Add(time.Minute-1)))
	must.SliceEmpty(t, e.Drains("gent", now.Add(time.Minute)))
	must.True(t, e.Merge(now.Add(2*time.Hour)))
	must.SliceEmpty(t, e.All())
}

// TestEmergencyMarksConverge checks that routers that receive the same marks in
// another order, some of them repeatedly, hold the same set.
func TestEmergencyMarksConverge(t *testing.T) {
	now := time.Unix(1_800_000_000, 0).UTC()
	rapid.Check(t, func(t *rapid.T) {
		marks := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) EmergencyMark {
			at := now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "at")) * time.Second)
			m := emergency(rapid.SampledFrom([]string{"dc1", "dc2"}).Draw(t, "name"), rapid.Bool().Draw(t, "drain"), at, now.Add(time.Hour))
			m.Author = rapid.SampledFrom([]string{"ada", "bo"}).Draw(t, "author")
			return m
		}), 1, 12).Draw(t, "marks")
		var a, b EmergencyMarks
		for _, m := range marks {
			a.Merge(now, m)
		}
		for _, m := range rapid.Permutation(append(marks, marks...)).Draw(t, "order") {
			b.Merge(now, m)
		}
		must.Eq(t, a.All(), b.All())
		must.False(t, a.Merge(now, b.All()...))
	})
}
