package digest

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/health"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// precedenceTTL is how long an entry takes precedence over digests with a lower
// term or sequence number.
const precedenceTTL = 10 * time.Second

// Table holds the newest digest of each resource. It is not safe for concurrent use.
type Table struct {
	self    fleet.VM
	entries map[Key]*Entry
	vmByKey map[Key]fleet.VM
	version uint64
	seq     uint8
	// sentVersion is the version up to which each neighbour was sent the
	// entries of other owners.
	sentVersion map[fleet.VM]uint64
	own         map[Key]Digest
}

// NewTable returns an empty table for the router self.
func NewTable(self fleet.VM) *Table {
	return &Table{
		self:        self,
		entries:     make(map[Key]*Entry),
		vmByKey:     map[Key]fleet.VM{KeyOf(string(self)): self},
		sentVersion: make(map[fleet.VM]uint64),
		own:         make(map[Key]Digest),
	}
}

// SetRouters sets the routers whose keys can be resolved to names.
func (t *Table) SetRouters(vms []fleet.VM) {
	clear(t.vmByKey)
	t.vmByKey[KeyOf(string(t.self))] = t.self
	for _, vm := range vms {
		t.vmByKey[KeyOf(string(vm))] = vm
	}
}

// SetOwn replaces the digests of the resources that this router owns.
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

// Merge adds digests from a neighbour and returns the entries that changed. Digests
// of resources that this router owns are ignored.
func (t *Table) Merge(now time.Time, from fleet.VM, digests []Digest) []*Entry {
	var changed []*Entry
	for i := range digests {
		d := &digests[i]
		if _, own := t.own[d.Resource]; own {
			continue
		}
		if e := t.merge(now, from, d); e != nil {
			changed = append(changed, e)
		}
	}
	return changed
}

// merge adds one digest and returns its entry, or nil if the digest is not newer
// than the entry or is one of this router.
func (t *Table) merge(now time.Time, from fleet.VM, d *Digest) *Entry {
	owner := from
	if d.Owner != 0 {
		owner = t.vmByKey[d.Owner]
	}
	if owner == t.self {
		return nil
	}
	e, ok := t.entries[d.Resource]
	if ok && !e.newer(d) && now.Sub(e.At) < precedenceTTL {
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

// ForPeer returns the digests to send to a neighbour: those of the resources that
// this router owns and, if relay is above zero, up to that many others that changed
// since they were last sent to the neighbour, the oldest change first.
func (t *Table) ForPeer(now time.Time, to fleet.VM, relay int) []Digest {
	out := make([]Digest, 0, len(t.own))
	for _, d := range t.own {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Digest) int { return cmp.Compare(a.Resource, b.Resource) })
	if relay > 0 {
		out = append(out, t.relayDigests(now, to, relay)...)
	}
	return out
}

// relayDigests returns up to limit digests of other owners for a neighbour, and
// marks them as sent.
func (t *Table) relayDigests(now time.Time, to fleet.VM, limit int) []Digest {
	var changed []*Entry
	for key, e := range t.entries {
		if _, own := t.own[key]; !own && e.version > t.sentVersion[to] {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *Entry) int { return cmp.Compare(a.version, b.version) })
	if len(changed) > limit {
		changed = changed[:limit]
	}
	var out []Digest
	for _, e := range changed {
		t.sentVersion[to] = e.version
		if e.from == to || e.OwnerVM == to {
			continue
		}
		d := e.Digest
		d.Age = uint16(min(now.Sub(e.At)/ageUnit+1, 1<<16-1))
		out = append(out, d)
	}
	return out
}

// Sum is the total load and capacity of several targets, in requests.
type Sum struct {
	Load     int
	Capacity int
}

// TargetCapacity is a target with the capacity that counts while no reliable digest
// of it is known.
type TargetCapacity struct {
	Resource Key
	// Capacity is the configured number of slots.
	Capacity int
}

// Sum adds up the load and the capacity of targets. Targets that are out or leaving
// are left out. While a target's state is unknown or suspect, its capacity is at
// least the configured one. The load of a digest older than fresh is weighted down,
// to zero at twice that age: a mean that is too low only refuses requests, whereas
// one that is too high overloads targets.
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
		load += float64(e.Load) * freshnessWeight(now.Sub(e.At), fresh)
	}
	out.Load = int(load)
	return out
}

// freshnessWeight returns the weight of a load of the given age, from 0 to 1.
func freshnessWeight(age, fresh time.Duration) float64 {
	if age <= fresh {
		return 1
	}
	return max(0, 1-float64(age-fresh)/float64(fresh))
}
