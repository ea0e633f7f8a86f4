// Package usage sums up the service that client accounts get, over the last
// minutes and over many routers.
package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Terms of the sums.
const (
	// BucketWidth is the time that one bucket covers.
	BucketWidth = 10 * time.Second
	// Window is the time that sums cover.
	Window = 5 * time.Minute

	buckets = int(Window / BucketWidth)
)

// Counts sums up requests.
type Counts struct {
	Requests  uint64 `json:"requests"`
	Completed uint64 `json:"completed"`
	InTime    uint64 `json:"in_time"`
	// Refused counts requests that did not run; Failed all others that have no
	// whole answer.
	Refused uint64 `json:"refused"`
	Failed  uint64 `json:"failed"`
	// FirstByteMS and BusyMS sum up times in milliseconds; the second is the
	// measure of load.
	FirstByteMS uint64 `json:"first_byte_ms"`
	BusyMS      uint64 `json:"busy_ms"`
}

// Add adds o to c.
func (c *Counts) Add(o Counts) {
	c.Requests += o.Requests
	c.Completed += o.Completed
	c.InTime += o.InTime
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.FirstByteMS += o.FirstByteMS
	c.BusyMS += o.BusyMS
}

// InTimeRatio returns the share of requests completed in time, 1 without requests.
func (c Counts) InTimeRatio() float64 {
	if c.Requests == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.Requests)
}

// ID names whom counts belong to.
type ID struct {
	Member  fleet.Member  `json:"member"`
	Account fleet.Account `json:"account,omitempty"`
}

// Entry is the service of one client account, or of one member when the
// account is empty.
type Entry struct {
	ID
	Counts
	// Share is its part of the load of all.
	Share float64 `json:"share"`
}

// Ring holds the counts of the last minutes in buckets.
type Ring struct {
	slots [buckets]slot
}

type slot struct {
	number int64
	counts map[ID]Counts
}

// Add counts one finished request at now.
func (r *Ring) Add(now time.Time, id ID, c Counts) {
	n := now.UnixNano() / int64(BucketWidth)
	s := &r.slots[n%int64(buckets)]
	if s.number != n {
		*s = slot{number: n, counts: make(map[ID]Counts)}
	}
	sum := s.counts[id]
	sum.Add(c)
	s.counts[id] = sum
}

// Sum returns the counts of the window that ends at now.
func (r *Ring) Sum(now time.Time) Totals {
	n := now.UnixNano() / int64(BucketWidth)
	out := make(Totals)
	for i := range r.slots {
		s := &r.slots[i]
		if s.number > n || n-s.number >= int64(buckets) {
			continue
		}
		for id, c := range s.counts {
			out.add(id, c)
		}
	}
	return out
}

// Totals holds counts by whom they belong to.
type Totals map[ID]Counts

func (t Totals) add(id ID, c Counts) {
	sum := t[id]
	sum.Add(c)
	t[id] = sum
}

// Merge adds all counts of o.
func (t Totals) Merge(o []Entry) {
	for _, f := range o {
		t.add(f.ID, f.Counts)
	}
}

// Entries lists the totals with their shares, sorted by member and account.
func (t Totals) Entries() []Entry {
	var busy uint64
	out := make([]Entry, 0, len(t))
	for id, c := range t {
		out = append(out, Entry{ID: id, Counts: c})
		busy += c.BusyMS
	}
	for i := range out {
		if busy > 0 {
			out[i].Share = float64(out[i].BusyMS) / float64(busy)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Account, b.Account))
	})
	return out
}

// ByMember sums up the figures of accounts for each member.
func ByMember(accounts []Entry) []Entry {
	t := make(Totals)
	for _, f := range accounts {
		t.add(ID{Member: f.Member}, f.Counts)
	}
	return t.Entries()
}

// Terms of the tree in which routers pass sums on.
const (
	treeWidth = 4
	// smallSite is the number of routers up to which sums go often.
	smallSite   = 32
	smallPeriod = 5 * time.Second
	largePeriod = 30 * time.Second
)

// TreePosition is a router's place in the tree of its site's live routers.
type TreePosition struct {
	// Root is true for the router that publishes the site's sums.
	Root   bool
	Parent fleet.VM
	// SmallSite is true in sites where sums go often.
	SmallSite bool
	// Period is the time between two sums.
	Period time.Duration
}

// TreePositionOf returns the place of self among live, the site's live routers sorted
// by name. All routers with the same view derive the same tree.
func TreePositionOf(self fleet.VM, live []fleet.VM) TreePosition {
	p := TreePosition{Period: largePeriod}
	if len(live) <= smallSite {
		p.Period = smallPeriod
		p.SmallSite = true
	}
	i := slices.Index(live, self)
	if i <= 0 {
		p.Root = true
		return p
	}
	p.Parent = live[(i-1)/treeWidth]
	return p
}
