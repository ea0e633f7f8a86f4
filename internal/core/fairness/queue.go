// Package fairness orders the requests that wait at one target. Members share
// the target by weight, the client accounts of a member share its part by
// weight, and within an account requests are ordered by priority, highest
// first, and then by arrival. An account that sends too much so delays and
// displaces mainly its own requests.
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
	// StartBy is the latest useful start time.
	StartBy time.Time
}

// Weights returns the relative shares of members and accounts. A share of zero
// or less counts as one.
type Weights interface {
	MemberWeight(m fleet.Member) float64
	AccountWeight(m fleet.Member, a fleet.Account) float64
}

// Queue is a bounded weighted fair queue with start-time fair queueing on two
// levels. It is not safe for concurrent use.
type Queue struct {
	weights Weights
	limit   int
	length  int
	// virtualTime is the start tag of the last item taken.
	virtualTime float64
	members     map[fleet.Member]*member
}

// member is the flow of one member. Its virtualTime is that of its accounts,
// its length the number of waiting items.
type member struct {
	name        fleet.Member
	startTag    float64
	virtualTime float64
	length      int
	accounts    map[fleet.Account]*account
}

// account is the flow of one client account.
type account struct {
	name     fleet.Account
	startTag float64
	items    []Item
}

// NewQueue returns a queue of at most limit items.
func NewQueue(limit int, w Weights) *Queue {
	return &Queue{weights: w, limit: limit, members: make(map[fleet.Member]*member)}
}

// Configure replaces limit and weights. Items beyond a lower limit keep
// waiting.
func (q *Queue) Configure(limit int, w Weights) { q.limit, q.weights = limit, w }

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// Push adds an item. If the queue was full, the last item of the account with
// the most waiting items relative to its share is evicted and returned with
// true; that may be the new item.
func (q *Queue) Push(item Item) (evicted Item, full bool) {
	m, a := q.flowOf(item)
	if a.insert(item) {
		q.length++
		m.length++
	}
	if q.length <= q.limit {
		return Item{}, false
	}
	return q.evict(), true
}

// flowOf returns the member and account of an item and creates them if needed.
// A flow without waiting items catches up with the virtual time: it saves no
// credit while it is idle.
func (q *Queue) flowOf(item Item) (*member, *account) {
	m, ok := q.members[item.Member]
	if !ok {
		m = &member{name: item.Member, accounts: make(map[fleet.Account]*account)}
		q.members[item.Member] = m
	}
	if m.length == 0 {
		m.startTag = max(m.startTag, q.virtualTime)
	}
	a, ok := m.accounts[item.Account]
	if !ok {
		a = &account{name: item.Account}
		m.accounts[item.Account] = a
	}
	if len(a.items) == 0 {
		a.startTag = max(a.startTag, m.virtualTime)
	}
	return m, a
}

// insert adds an item in the order of compareItems. It returns false for an
// item that is already there.
func (a *account) insert(item Item) bool {
	i, found := slices.BinarySearchFunc(a.items, item, compareItems)
	if found {
		return false
	}
	a.items = slices.Insert(a.items, i, item)
	return true
}

// compareItems orders items of an account by priority, arrival and ID.
func compareItems(a, b Item) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

// Pop removes and returns the next item, false if none waits.
func (q *Queue) Pop() (Item, bool) {
	m := q.next()
	if m == nil {
		return Item{}, false
	}
	a := m.next()
	item := a.items[0]
	a.items = slices.Delete(a.items, 0, 1)
	q.virtualTime, m.virtualTime = m.startTag, a.startTag
	m.startTag += 1 / weight(q.weights.MemberWeight(m.name))
	a.startTag += 1 / weight(q.weights.AccountWeight(m.name, a.name))
	q.removed(m, 1)
	return item, true
}

// next returns the member with waiting items and the lowest start tag.
func (q *Queue) next() *member {
	var best *member
	for _, m := range q.members {
		if m.length == 0 {
			continue
		}
		if best == nil || m.startTag < best.startTag || m.startTag == best.startTag && m.name < best.name {
			best = m
		}
	}
	return best
}

// next returns the account with waiting items and the lowest start tag.
func (m *member) next() *account {
	var best *account
	for _, a := range m.accounts {
		if len(a.items) == 0 {
			continue
		}
		if best == nil || a.startTag < best.startTag || a.startTag == best.startTag && a.name < best.name {
			best = a
		}
	}
	return best
}

// evict removes the last item of the account that has the most waiting items
// relative to its share.
func (q *Queue) evict() Item {
	var (
		most        float64
		fromMember  *member
		fromAccount *account
		members     = q.sortedMembers()
	)
	for _, m := range members {
		for _, a := range m.accounts {
			share := q.share(m, a)
			n := float64(len(a.items)) / share
			if n > most || n == most && fromAccount != nil && a.name < fromAccount.name {
				most, fromMember, fromAccount = n, m, a
			}
		}
	}
	last := len(fromAccount.items) - 1
	item := fromAccount.items[last]
	fromAccount.items = fromAccount.items[:last]
	q.removed(fromMember, 1)
	return item
}

// sortedMembers returns the members by name.
func (q *Queue) sortedMembers() []*member {
	out := make([]*member, 0, len(q.members))
	for _, m := range q.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Compare(a.name, b.name) })
	return out
}

// share returns the relative share of the target that an account has among the
// waiting accounts of its member.
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

// removed updates the lengths after n items of a member were removed. It drops
// accounts and members without waiting items whose start tags have been reached
// by the virtual time.
func (q *Queue) removed(m *member, n int) {
	q.length -= n
	m.length -= n
	for name, a := range m.accounts {
		if len(a.items) == 0 && a.startTag <= m.virtualTime {
			delete(m.accounts, name)
		}
	}
	if m.length == 0 && m.startTag <= q.virtualTime {
		delete(q.members, m.name)
	}
}

// Remove removes an item, for example because its caller has disconnected, and
// reports whether it was waiting.
func (q *Queue) Remove(id uint64) bool {
	return len(q.removeWhere(func(i Item) bool { return i.ID == id })) > 0
}

// Expired removes and returns the items whose StartBy has passed.
func (q *Queue) Expired(now time.Time) []Item {
	return q.removeWhere(func(i Item) bool { return now.After(i.StartBy) })
}

// Clear removes and returns all items.
func (q *Queue) Clear() []Item { return q.removeWhere(func(Item) bool { return true }) }

// removeWhere removes the matching items and returns them by ID.
func (q *Queue) removeWhere(matches func(Item) bool) []Item {
	var out []Item
	for _, m := range q.sortedMembers() {
		for _, a := range m.accounts {
			kept := a.items[:0]
			for _, item := range a.items {
				if matches(item) {
					out = append(out, item)
					continue
				}
				kept = append(kept, item)
			}
			n := len(a.items) - len(kept)
			a.items = kept
			if n > 0 {
				q.removed(m, n)
			}
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Ahead estimates how many waiting items are served before a new item of an
// account: all items of the account itself, and of every other account as many
// as its share allows meanwhile.
func (q *Queue) Ahead(member fleet.Member, name fleet.Account) float64 {
	own, ownShare := 0.0, q.shareIfWaiting(member, name)
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

// shareIfWaiting returns the share that an account has once one of its items
// waits.
func (q *Queue) shareIfWaiting(member fleet.Member, name fleet.Account) float64 {
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

// weight replaces weights of zero or less by one.
func weight(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}
