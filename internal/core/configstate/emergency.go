package configstate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Terms of emergency drains.
const (
	// MaxEmergencyDuration is the longest time for which an emergency drain holds.
	MaxEmergencyDuration = 4 * time.Hour
	// maxEmergencies limits the marks that routers pass on.
	maxEmergencies = 64
)

// EmergencyMark takes a thing of one site out while the log is away, or lifts
// that again. It can only take out; it is no part of any version.
type EmergencyMark struct {
	Site fleet.Site `json:"site" msgpack:"s"`
	// Section is the configuration section of the thing, such as
	// "data_centres".
	Section string `json:"section" msgpack:"k"`
	Name    string `json:"name" msgpack:"n"`
	// Drain is false for a mark that lifts an earlier one.
	Drain  bool      `json:"drain" msgpack:"d"`
	Author string    `json:"author" msgpack:"a"`
	At     time.Time `json:"at" msgpack:"t"`
	// Until is the time at which the mark ends by itself.
	Until time.Time `json:"until" msgpack:"u"`
}

// emergencyKey names what a mark concerns.
type emergencyKey struct {
	site    fleet.Site
	section string
	name    string
}

func (m *EmergencyMark) key() emergencyKey { return emergencyKey{m.Site, m.Section, m.Name} }

// EmergencyMarks holds the newest emergency mark of each thing. Routers that pass
// all their marks on to each other come to the same set in any order.
type EmergencyMarks struct {
	marks map[emergencyKey]EmergencyMark
}

// Merge takes marks and reports whether the set changed. The later mark of a
// thing wins, by the time that its author's router gave it. Marks that have
// ended, or that would last too long, are not taken.
func (e *EmergencyMarks) Merge(now time.Time, marks ...EmergencyMark) bool {
	changed := e.prune(now)
	for _, m := range marks {
		if !m.Until.After(now) || m.Until.After(now.Add(MaxEmergencyDuration+time.Hour)) {
			continue
		}
		old, ok := e.marks[m.key()]
		if ok && !later(m, old) || !ok && len(e.marks) >= maxEmergencies {
			continue
		}
		if e.marks == nil {
			e.marks = make(map[emergencyKey]EmergencyMark)
		}
		e.marks[m.key()] = m
		changed = true
	}
	return changed
}

// later orders two marks of one thing; equal times are ordered by content.
func later(a, b EmergencyMark) bool {
	return cmp.Or(
		a.At.Compare(b.At), cmp.Compare(a.Author, b.Author), a.Until.Compare(b.Until), boolCompare(a.Drain, b.Drain),
	) > 0
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Timestamp gives a mark a time that makes it later than the present one of the
// same thing, also when the router that set that one has a faster clock.
func (e *EmergencyMarks) Timestamp(m EmergencyMark, now time.Time) EmergencyMark {
	m.At = now.UTC()
	if old, ok := e.marks[m.key()]; ok && !m.At.After(old.At) {
		m.At = old.At.Add(time.Millisecond)
	}
	return m
}

// prune drops marks that have ended and reports whether there were any.
func (e *EmergencyMarks) prune(now time.Time) bool {
	before := len(e.marks)
	maps.DeleteFunc(e.marks, func(_ emergencyKey, m EmergencyMark) bool { return !m.Until.After(now) })
	return len(e.marks) != before
}

// All returns all marks, those that lift others included, in a fixed order.
func (e *EmergencyMarks) All() []EmergencyMark {
	return slices.SortedFunc(maps.Values(e.marks), func(a, b EmergencyMark) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Section, b.Section), cmp.Compare(a.Name, b.Name))
	})
}

// Drains returns the marks that take something of a site out now.
func (e *EmergencyMarks) Drains(site fleet.Site, now time.Time) []EmergencyMark {
	var out []EmergencyMark
	for _, m := range e.All() {
		if m.Site == site && m.Drain && m.Until.After(now) {
			out = append(out, m)
		}
	}
	return out
}
