package configstate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Limits of emergency marks.
const (
	// MaxEmergencyDuration is the longest time for which an emergency drain may
	// be requested.
	MaxEmergencyDuration = 4 * time.Hour
	// maxEmergencyMarks limits the number of marks that a router keeps and
	// passes on.
	maxEmergencyMarks = 64
)

// EmergencyMark drains one item of a site's configuration, such as a data
// centre, while the log is unavailable, or cancels such a drain. A mark can
// only take an item out of service, and it belongs to no configuration version.
type EmergencyMark struct {
	Site fleet.Site `json:"site" msgpack:"s"`
	// Section is the configuration section of the item, such as "data_centres".
	Section string `json:"section" msgpack:"k"`
	// Name is the item's name within the section.
	Name string `json:"name" msgpack:"n"`
	// Drain is true for a drain and false for a mark that cancels an earlier
	// one.
	Drain bool `json:"drain" msgpack:"d"`
	// Author is the operator who set the mark.
	Author string `json:"author" msgpack:"a"`
	// At is the time at which the mark was set, on the clock of the router that
	// accepted it. See [EmergencyMarks.Timestamp].
	At time.Time `json:"at" msgpack:"t"`
	// Until is the time at which the mark expires.
	Until time.Time `json:"until" msgpack:"u"`
}

// markKey identifies the item that a mark applies to.
type markKey struct {
	site    fleet.Site
	section string
	name    string
}

// key returns the item that the mark applies to.
func (m *EmergencyMark) key() markKey { return markKey{m.Site, m.Section, m.Name} }

// EmergencyMarks holds the newest emergency mark of each item. Routers that
// exchange all their marks end up with the same set, in whatever order the
// marks arrive.
type EmergencyMarks struct {
	marks map[markKey]EmergencyMark
}

// Merge adds marks and reports whether the set changed. For each item the mark
// with the latest At wins. Marks that have expired, or that would last more
// than an hour longer than MaxEmergencyDuration, are ignored.
func (e *EmergencyMarks) Merge(now time.Time, marks ...EmergencyMark) bool {
	changed := e.prune(now)
	for _, m := range marks {
		if !m.Until.After(now) || m.Until.After(now.Add(MaxEmergencyDuration+time.Hour)) {
			continue
		}
		old, ok := e.marks[m.key()]
		if ok && !isLater(m, old) || !ok && len(e.marks) >= maxEmergencyMarks {
			continue
		}
		if e.marks == nil {
			e.marks = make(map[markKey]EmergencyMark)
		}
		e.marks[m.key()] = m
		changed = true
	}
	return changed
}

// isLater reports whether a replaces b, a mark of the same item. Marks with
// equal times are ordered by content, so that all routers choose the same one.
func isLater(a, b EmergencyMark) bool {
	return cmp.Or(
		a.At.Compare(b.At), cmp.Compare(a.Author, b.Author), a.Until.Compare(b.Until), compareBool(a.Drain, b.Drain),
	) > 0
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Timestamp returns m with At set to now, or to just after the present mark of
// the same item if that one is later because it was set by a router with a
// faster clock.
func (e *EmergencyMarks) Timestamp(m EmergencyMark, now time.Time) EmergencyMark {
	m.At = now.UTC()
	if old, ok := e.marks[m.key()]; ok && !m.At.After(old.At) {
		m.At = old.At.Add(time.Millisecond)
	}
	return m
}

// prune removes expired marks and reports whether there were any.
func (e *EmergencyMarks) prune(now time.Time) bool {
	before := len(e.marks)
	maps.DeleteFunc(e.marks, func(_ markKey, m EmergencyMark) bool { return !m.Until.After(now) })
	return len(e.marks) != before
}

// All returns all marks, cancelling ones included, sorted by site, section and
// name.
func (e *EmergencyMarks) All() []EmergencyMark {
	return slices.SortedFunc(maps.Values(e.marks), func(a, b EmergencyMark) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Section, b.Section), cmp.Compare(a.Name, b.Name))
	})
}

// Drains returns the marks that drain an item of the site at time now.
func (e *EmergencyMarks) Drains(site fleet.Site, now time.Time) []EmergencyMark {
	var out []EmergencyMark
	for _, m := range e.All() {
		if m.Site == site && m.Drain && m.Until.After(now) {
			out = append(out, m)
		}
	}
	return out
}
