package digest

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/health"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// forgetAfter is the time after which an entry no longer stands against word
// of a lower term.
const forgetAfter = 10 * time.Second

// Table holds the last digest of each resource. It is not safe for concurrent
// use.
type Table struct {
	self    fleet.VM
	entries map[Key]*Entry
	names   map[Key]fleet.VM
	version uint64
	seq     uint8
	// sent is the version up to which each neighbour has had the entries.
	sent map[fleet.VM]uint64
	own  map[Key]Digest
}

// NewTable returns an empty table of the router called self.
func NewTable(self fleet.VM) *Table {
	return &Table{
		self:    self,
		entries: make(map[Key]*Entry),
		names:   map[Key]fleet.VM{KeyOf(string(self)): self},
		sent:    make(map[fleet.VM]uint64),
		own:     make(map[Key]Digest),
	}
}

// SetRouters tells the names behind the keys of owners.
func (t *Table) SetRouters(vms []fleet.VM) {
	clear(t.names)
	t.names[KeyOf(string(t.self))] = t.self
	for _, vm := range vms {
		t.names[KeyOf(string(vm))] = vm
	}
}

// SetOwn replaces the digests of what this router owns.
func (t *Table) SetOwn(now time.Time, own []Digest) {
	t.seq++
	clear(t.own)
	for _, d := range own {
		d.Seq = t.seq
		t.own[d.Resource] = d
		t.version++
		t.entries[d.Resource] = &Entry{Digest: d, OwnerVM: t.self, At: now, version: t.version}
	}
}

// Merge takes digests from a neighbour and returns the entries that are news.
func (t *Table) Merge(now time.Time, from fleet.VM, digests []Digest) []*Entry {
	var news []*Entry
	for i := range digests {
		d := &digests[i]
		if _, own := t.own[d.Resource]; own {
			continue
		}
		if e := t.merge(now, from, d); e != nil {
			news = append(news, e)
		}
	}
	return news
}

func (t *Table) merge(now time.Time, from fleet.VM, d *Digest) *Entry {
	owner := from
	if d.Owner != 0 {
		owner = t.names[d.Owner]
	}
	if owner == t.self {
		return nil
	}
	e, ok := t.entries[d.Resource]
	if ok && !e.newer(d) && now.Sub(e.At) < forgetAfter {
		return nil
	}
	if !ok {
		e = new(Entry)
		t.entries[d.Resource] = e
	}
	t.version++
	*e = Entry{
		Digest:  *d,
		OwnerVM: owner,
		At:      now.Add(-time.Duration(d.Age) * ageUnit),
		from:    from,
		version: t.version,
	}
	e.Owner = KeyOf(string(owner))
	return e
}

// Get returns the entry of a resource.
func (t *Table) Get(resource Key) (*Entry, bool) {
	e, ok := t.entries[resource]
	return e, ok
}

// ForPeer returns the digests to send to a neighbour: those of what this router
// owns and, when relay is above zero, at most so many others that the neighbour
// has not had from here, the oldest news first.
func (t *Table) ForPeer(now time.Time, to fleet.VM, relay int) []Digest {
	out := make([]Digest, 0, len(t.own))
	for _, d := range t.own {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Digest) int { return cmp.Compare(a.Resource, b.Resource) })
	if relay > 0 {
		out = append(out, t.relayed(now, to, relay)...)
	}
	return out
}

func (t *Table) relayed(now time.Time, to fleet.VM, limit int) []Digest {
	var news []*Entry
	for key, e := range t.entries {
		if _, own := t.own[key]; !own && e.version > t.sent[to] {
			news = append(news, e)
		}
	}
	slices.SortFunc(news, func(a, b *Entry) int { return cmp.Compare(a.version, b.version) })
	if len(news) > limit {
		news = news[:limit]
	}
	var out []Digest
	for _, e := range news {
		t.sent[to] = e.version
		if e.from == to || e.OwnerVM == to {
			continue
		}
		d := e.Digest
		d.Age = uint16(min(now.Sub(e.At)/ageUnit+1, 1<<16-1))
		out = append(out, d)
	}
	return out
}

// Sum is the load of several targets together.
type Sum struct {
	Load     int
	Capacity int
}

// TargetCapacity is what counts for a target without a digest that is young enough.
type TargetCapacity struct {
	Resource Key
	// Capacity is the configured number of slots.
	Capacity int
}

// Sum adds up the load of targets. A target that is out or leaves counts for
// nothing. Where the slots are not sure, the configured number counts, and the
// load of a digest older than fresh fades until it counts as idle at twice that
// age: a mean that is too low refuses work, one that is too high overloads a
// target.
func (t *Table) Sum(now time.Time, targets []TargetCapacity, fresh time.Duration) Sum {
	var load float64
	var out Sum
	for _, f := range targets {
		e, ok := t.entries[f.Resource]
		if !ok {
			out.Capacity += f.Capacity
			continue
		}
		switch e.State.Health() {
		case health.Leaving, health.Out:
			continue
		case health.Unknown, health.Suspect:
			out.Capacity += max(f.Capacity, int(e.Slots))
		default:
			out.Capacity += int(e.Slots)
		}
		load += float64(e.Load) * faded(now.Sub(e.At), fresh)
	}
	out.Load = int(load)
	return out
}

// faded returns the share of a load that counts at an age.
func faded(age, fresh time.Duration) float64 {
	if age <= fresh {
		return 1
	}
	return max(0, 1-float64(age-fresh)/float64(fresh))
}
