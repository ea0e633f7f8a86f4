// Package usage sums up the requests of client accounts over a sliding window, and
// derives the tree along which the routers of a site aggregate these sums.
package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Extent of the sliding window.
const (
	// BucketWidth is the time that one bucket of a Ring covers.
	BucketWidth = 10 * time.Second
	// Window is the time that a Ring covers.
	Window = 5 * time.Minute

	bucketCount = int(Window / BucketWidth)
)

// Counts holds request counts and the sums of their times.
type Counts struct {
	// Requests counts finished requests, Completed those with a whole response,
	// and InTime those completed before their deadline.
	Requests  uint64 `json:"requests"`
	Completed uint64 `json:"completed"`
	InTime    uint64 `json:"in_time"`
	// Refused counts the requests that did not run, and Failed all others
	// without a whole response.
	Refused uint64 `json:"refused"`
	Failed  uint64 `json:"failed"`
	// FirstByteMS and BusyMS are sums of times in milliseconds: until the first
	// byte of a response, and that requests occupied targets. BusyMS is the
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

// InTimeRatio returns the share of requests that were completed in time, 1 if
// there were none.
func (c Counts) InTimeRatio() float64 {
	if c.Requests == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.Requests)
}

// ID names the client account that counts belong to, or the member if Account is
// empty.
type ID struct {
	Member  fleet.Member  `json:"member"`
	Account fleet.Account `json:"account,omitempty"`
}

// Entry holds the counts of one client account, or of one member if the account is
// empty.
type Entry struct {
	ID
	Counts
	// Share is the entry's part of the BusyMS of all entries, from 0 to 1.
	Share float64 `json:"share"`
}

// Ring holds the counts of the sliding window in a ring of buckets. The zero value
// is empty and ready to use.
type Ring struct {
	buckets [bucketCount]bucket
}

// bucket holds the counts of one BucketWidth. index is the number of the bucket
// since the Unix epoch.
type bucket struct {
	index  int64
	counts map[ID]Counts
}

// Add adds the counts of a request that finished at now.
func (r *Ring) Add(now time.Time, id ID, c Counts) {
	n := now.UnixNano() / int64(BucketWidth)
	b := &r.buckets[n%int64(bucketCount)]
	if b.index != n {
		*b = bucket{index: n, counts: make(map[ID]Counts)}
	}
	sum := b.counts[id]
	sum.Add(c)
	b.counts[id] = sum
}

// Sum returns the counts of the window that ends at now.
func (r *Ring) Sum(now time.Time) Totals {
	n := now.UnixNano() / int64(BucketWidth)
	out := make(Totals)
	for i := range r.buckets {
		b := &r.buckets[i]
		if b.index > n || n-b.index >= int64(bucketCount) {
			continue
		}
		for id, c := range b.counts {
			out.add(id, c)
		}
	}
	return out
}

// Totals holds counts by account or member.
type Totals map[ID]Counts

func (t Totals) add(id ID, c Counts) {
	sum := t[id]
	sum.Add(c)
	t[id] = sum
}

// Merge adds the counts of all entries of o.
func (t Totals) Merge(o []Entry) {
	for _, e := range o {
		t.add(e.ID, e.Counts)
	}
}

// Entries returns the totals with their shares, sorted by member and account.
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

// ByMember sums up the entries of accounts for each member.
func ByMember(accounts []Entry) []Entry {
	t := make(Totals)
	for _, e := range accounts {
		t.add(ID{Member: e.Member}, e.Counts)
	}
	return t.Entries()
}

// Shape and periods of the aggregation tree.
const (
	// treeWidth is the largest number of routers that report to one router.
	treeWidth = 4
	// smallSiteRouters is the number of routers up to which sums are sent every
	// smallPeriod instead of every largePeriod.
	smallSiteRouters = 32
	smallPeriod      = 5 * time.Second
	largePeriod      = 30 * time.Second
)

// TreePosition is the position of a router in the aggregation tree of the live
// routers of its site.
type TreePosition struct {
	// Root is true for the router that publishes the site's sums.
	Root bool
	// Parent is the router that gets this router's sums, empty for the root.
	Parent fleet.VM
	// SmallSite is true in sites with few routers, which send sums more often.
	SmallSite bool
	// Period is the time between two reports to the parent.
	Period time.Duration
}

// TreePositionOf returns the position of self among live, the live routers of the
// site sorted by name. All routers with the same view derive the same tree. A
// router that is not in live is a root.
func TreePositionOf(self fleet.VM, live []fleet.VM) TreePosition {
	p := TreePosition{Period: largePeriod}
	if len(live) <= smallSiteRouters {
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
