package quarantine

import (
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Engine identifies a process of an engine.
type Engine struct {
	Target fleet.Ref
	// Born holds the low bits of the process's Born value.
	Born uint32
	// Service is the service of the process, empty if it is not known. It does not
	// identify the process: outages are told apart by it.
	Service fleet.Service
}

// is reports whether two values name the same process.
func (e Engine) is(other Engine) bool { return e.Target == other.Target && e.Born == other.Born }

// Crash is a send that its target broke off.
type Crash struct {
	At     time.Time
	Engine Engine
	// Parts are the hashes of the shared parts of the prompt in their order. There are none
	// once the response had begun, or for a service without prompts.
	Parts []uint64
	// Resource is the hash of path, account and body of the request, zero if it is not known
	// or one that requests share, and Content that of all that it holds.
	Resource uint64
	Content  uint64
}

// hashes returns the parts, the resource and the content that the crash counts against, the
// most specific last.
func (c *Crash) hashes() []uint64 {
	out := lastParts(c.Parts)
	for _, hash := range [...]uint64{c.Resource, c.Content} {
		if hash != 0 {
			out = append(out, hash)
		}
	}
	return out
}

// isContent reports whether a hash is that of the content or the resource.
func (c *Crash) isContent(hash uint64) bool { return hash == c.Content || hash == c.Resource }

// without returns the crash with the hashes that do not match.
func (c Crash) without(match func(hash uint64) bool) Crash {
	c.Parts = slices.DeleteFunc(lastParts(c.Parts), match)
	if match(c.Resource) {
		c.Resource = 0
	}
	if match(c.Content) {
		c.Content = 0
	}
	return c
}

// lastParts returns a copy of the last maxParts parts.
func lastParts(parts []uint64) []uint64 {
	return slices.Clone(parts[max(0, len(parts)-maxParts):])
}

// TakeCrashes returns the first crashes of a list with maxNoticeParts parts at most, but for
// a single one, and the others.
func TakeCrashes(list []Crash) (taken, rest []Crash) {
	parts := 0
	for i := range list {
		if parts += len(list[i].Parts); i > 0 && parts > maxNoticeParts {
			return list[:i], list[i:]
		}
	}
	return list, nil
}

// Notices are the evidence that routers exchange.
type Notices struct {
	Crashes []Crash
	// Cleared are parts that were served since they were suspected or shortly before,
	// and Familiar suspected ones that were served some time before.
	Cleared  []uint64
	Familiar []uint64
	// Quarantined are parts in quarantine.
	Quarantined []uint64
}

// Merge adds more notices.
func (n *Notices) Merge(more Notices) {
	n.Crashes = append(n.Crashes, more.Crashes...)
	n.Cleared = union(n.Cleared, more.Cleared)
	n.Familiar = union(n.Familiar, more.Familiar)
	n.Quarantined = union(n.Quarantined, more.Quarantined)
}

// union adds the parts to a list that are not in it.
func union(list, more []uint64) []uint64 {
	for _, part := range more {
		if !slices.Contains(list, part) {
			list = append(list, part)
		}
	}
	return list
}

// partSet is the parts of one request.
type partSet struct{ ordered, sorted []uint64 }

// newPartSet returns a set of parts, which it keeps.
func newPartSet(parts []uint64) *partSet {
	sorted := slices.Clone(parts)
	slices.Sort(sorted)
	return &partSet{ordered: parts, sorted: sorted}
}

// has reports whether the request has a part.
func (s *partSet) has(part uint64) bool {
	_, ok := slices.BinarySearch(s.sorted, part)
	return ok
}
