// Package fairness orders the requests that wait at one target: members share
// the target by weight, the client accounts of a member share the member's
// part by weight, and within an account higher priority and then arrival
// decide.
package fairness

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Item is one waiting request.
type Item struct {
	ID       uint64
	Member   fleet.Member
	Account  fleet.Account
	Priority int8
	Arrived  time.Time
	// StartBy is the latest time at which starting the request is of use.
	StartBy time.Time
}

// Weights gives the shares of members and accounts. A share that is not above
// zero counts as one.
type Weights interface {
	MemberWeight(m fleet.Member) float64
	AccountWeight(m fleet.Member, a fleet.Account) float64
}

// Queue is a bounded weighted fair queue by start-time fair queueing on two
// levels. It is not safe for concurrent use.
type Queue struct {
	weights Weights
	limit   int
	length  int
	// clock is the virtual time: the start tag of the last item taken.
	clock   float64
	members map[fleet.Member]*member
}

type member struct {
	name     fleet.Member
	tag      float64
	clock    float64
	length   int
	accounts map[fleet.Account]*account
}

type account struct {
	name  fleet.Account
	tag   float64
	items []Item
}

// NewQueue returns a queue of at most limit items.
func NewQueue(limit int, w Weights) *Queue {
	return &Queue{weights: w, limit: limit, members: make(map[fleet.Member]*member)}
}

// Configure replaces limit and weights.
func (q *Queue) Configure(limit int, w Weights) { q.limit, q.weights = limit, w }

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// Push adds an item. When the queue is full, the newest item of the account
// that has the most waiting for its weight has to go, which may be the new
// item itself; it is returned.
func (q *Queue) Push(item Item) (evicted Item, full bool) {
	m, a := q.flow(item)
	if a.insert(item) {
		q.length++
		m.length++
	}
	if q.length <= q.limit {
		return Item{}, false
	}
	return q.evict(), true
}

// flow returns the item's account, which catches up with the virtual time when
// nothing of it waits.
func (q *Queue) flow(item Item) (*member, *account) {
	m, ok := q.members[item.Member]
	if !ok {
		m = &member{name: item.Member, accounts: make(map[fleet.Account]*account)}
		q.members[item.Member] = m
	}
	if m.length == 0 {
		m.tag = max(m.tag, q.clock)
	}
	a, ok := m.accounts[item.Account]
	if !ok {
		a = &account{name: item.Account}
		m.accounts[item.Account] = a
	}
	if len(a.items) == 0 {
		a.tag = max(a.tag, m.clock)
	}
	return m, a
}

// insert keeps items sorted by priority and arrival.
func (a *account) insert(item Item) bool {
	i, found := slices.BinarySearchFunc(a.items, item, order)
	if found {
		return false
	}
	a.items = slices.Insert(a.items, i, item)
	return true
}

func order(a, b Item) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

// Pop takes the item that is next.
func (q *Queue) Pop() (Item, bool) {
	m := q.next()
	if m == nil {
		return Item{}, false
	}
	a := m.next()
	item := a.items[0]
	a.items = slices.Delete(a.items, 0, 1)
	q.clock, m.clock = m.tag, a.tag
	m.tag += 1 / weight(q.weights.MemberWeight(m.name))
	a.tag += 1 / weight(q.weights.AccountWeight(m.name, a.name))
	q.shrink(m, 1)
	return item, true
}

func (q *Queue) next() *member {
	var best *member
	for _, m := range q.members {
		if m.length == 0 {
			continue
		}
		if best == nil || m.tag < best.tag || m.tag == best.tag && m.name < best.name {
			best = m
		}
	}
	return best
}

func (m *member) next() *account {
	var best *account
	for _, a := range m.accounts {
		if len(a.items) == 0 {
			continue
		}
		if best == nil || a.tag < best.tag || a.tag == best.tag && a.name < best.name {
			best = a
		}
	}
	return best
}

// evict removes the last item of the account that has the most waiting for its
// weight.
func (q *Queue) evict() Item {
	var (
		most    float64
		ofM     *member
		ofA     *account
		members = q.sorted()
	)
	for _, m := range members {
		for _, a := range m.accounts {
			share := q.share(m, a)
			n := float64(len(a.items)) / share
			if n > most || n == most && ofA != nil && a.name < ofA.name {
				most, ofM, ofA = n, m, a
			}
		}
	}
	last := len(ofA.items) - 1
	item := ofA.items[last]
	ofA.items = ofA.items[:last]
	q.shrink(ofM, 1)
	return item
}

func (q *Queue) sorted() []*member {
	out := make([]*member, 0, len(q.members))
	for _, m := range q.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Compare(a.name, b.name) })
	return out
}

// share returns an account's part of the target among the accounts that wait.
func (q *Queue) share(m *member, a *account) float64 {
	var waiting float64
	for _, other := range m.accounts {
		if len(other.items) > 0 {
			waiting += weight(q.weights.AccountWeight(m.name, other.name))
		}
	}
	own := weight(q.weights.AccountWeight(m.name, a.name))
	return weight(q.weights.MemberWeight(m.name)) * own / max(waiting, own)
}

// shrink notes that n items of a member are gone, and forgets flows that have
// nothing waiting and no claim left on their tags.
func (q *Queue) shrink(m *member, n int) {
	q.length -= n
	m.length -= n
	for name, a := range m.accounts {
		if len(a.items) == 0 && a.tag <= m.clock {
			delete(m.accounts, name)
		}
	}
	if m.length == 0 && m.tag <= q.clock {
		delete(q.members, m.name)
	}
}

// Remove takes an item out, such as one whose caller has gone.
func (q *Queue) Remove(id uint64) bool {
	return len(q.take(func(i Item) bool { return i.ID == id })) > 0
}

// Expired takes out the items whose latest start has passed.
func (q *Queue) Expired(now time.Time) []Item {
	return q.take(func(i Item) bool { return now.After(i.StartBy) })
}

// Clear takes out all items.
func (q *Queue) Clear() []Item { return q.take(func(Item) bool { return true }) }

func (q *Queue) take(gone func(Item) bool) []Item {
	var out []Item
	for _, m := range q.sorted() {
		for _, a := range m.accounts {
			kept := a.items[:0]
			for _, item := range a.items {
				if gone(item) {
					out = append(out, item)
					continue
				}
				kept = append(kept, item)
			}
			n := len(a.items) - len(kept)
			a.items = kept
			if n > 0 {
				q.shrink(m, n)
			}
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Ahead estimates how many waiting items are served before a new one of an
// account: its own, and of each other account as many as its share allows
// meanwhile.
func (q *Queue) Ahead(member fleet.Member, name fleet.Account) float64 {
	own, ownShare := 0.0, q.newShare(member, name)
	for _, m := range q.members {
		if a, ok := m.accounts[name]; ok && m.name == member {
			own = float64(len(a.items))
		}
	}
	ahead := own
	for _, m := range q.members {
		for _, a := range m.accounts {
			if m.name == member && a.name == name || len(a.items) == 0 {
				continue
			}
			ahead += min(float64(len(a.items)), (own+1)*q.share(m, a)/ownShare)
		}
	}
	return ahead
}

// newShare returns the part that an account has once an item of it waits.
func (q *Queue) newShare(member fleet.Member, name fleet.Account) float64 {
	own := weight(q.weights.AccountWeight(member, name))
	waiting := own
	if m, ok := q.members[member]; ok {
		for _, other := range m.accounts {
			if len(other.items) > 0 && other.name != name {
				waiting += weight(q.weights.AccountWeight(member, other.name))
			}
		}
	}
	return weight(q.weights.MemberWeight(member)) * own / waiting
}

func weight(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}
