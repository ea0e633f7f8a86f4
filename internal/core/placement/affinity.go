package placement

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// AffinityTable records, for the chats whose first-ranked target this router owns,
// the other target to which a chat was sent. When it is full, the least recently
// used chats are evicted.
type AffinityTable struct {
	entries *simplelru.LRU[uint64, affinityEntry]
	ttl     time.Duration
	start   time.Time
}

// affinityEntry is the last placement of one chat. It is kept small, since there is
// one for each redirected chat.
type affinityEntry struct {
	// target is the ShortHash of the target.
	target uint32
	// usedAt is the time of the last use in seconds since the table's start.
	usedAt uint32
	// stale is set if the target may have evicted the chat's prefix.
	stale bool
}

// NewAffinityTable returns a table of at most size chats, each of which expires ttl
// after its last use.
func NewAffinityTable(size int, ttl time.Duration, now time.Time) *AffinityTable {
	lru, err := simplelru.NewLRU[uint64, affinityEntry](max(size, 1), nil)
	if err != nil {
		panic(err) // only a size below one is an error
	}
	return &AffinityTable{entries: lru, ttl: ttl, start: now}
}

// Placement is the recorded target of a chat.
type Placement struct {
	// Target is the ShortHash of the target.
	Target uint32
	// Stale is true if the target may have evicted the chat's prefix.
	Stale bool
}

// ShortHash returns the low half of a target's hash, by which the table identifies
// targets.
func ShortHash(hash uint64) uint32 { return uint32(hash) }

// Put records that a chat was sent to a target.
func (t *AffinityTable) Put(now time.Time, chat uint64, target uint32) {
	t.entries.Add(chat, affinityEntry{target: target, usedAt: t.elapsedSeconds(now)})
}

// Get returns the recorded target of a chat, and false if there is none or it has
// expired.
func (t *AffinityTable) Get(now time.Time, chat uint64) (Placement, bool) {
	e, ok := t.entries.Get(chat)
	if !ok {
		return Placement{}, false
	}
	if t.elapsedSeconds(now)-e.usedAt > uint32(t.ttl/time.Second) {
		t.entries.Remove(chat)
		return Placement{}, false
	}
	return Placement{Target: e.target, Stale: e.stale}, true
}

// Forget removes a chat if it is recorded at the given target, because the target
// has evicted the chat's prefix.
func (t *AffinityTable) Forget(chat uint64, target uint32) {
	if e, ok := t.entries.Peek(chat); ok && e.target == target {
		t.entries.Remove(chat)
	}
}

// MarkStale marks all chats at a target as stale, because updates about its cache
// were lost.
func (t *AffinityTable) MarkStale(target uint32) {
	for _, chat := range t.entries.Keys() {
		if e, ok := t.entries.Peek(chat); ok && e.target == target && !e.stale {
			e.stale = true
			t.replace(chat, e)
		}
	}
}

// ForgetTarget removes all chats at a target, because its cache is empty.
func (t *AffinityTable) ForgetTarget(target uint32) {
	for _, chat := range t.entries.Keys() {
		t.Forget(chat, target)
	}
}

// replace overwrites an entry. In the LRU order this counts as a use, which is
// harmless because all entries of a target are overwritten together.
func (t *AffinityTable) replace(chat uint64, e affinityEntry) { t.entries.Add(chat, e) }

// Len returns the number of recorded chats.
func (t *AffinityTable) Len() int { return t.entries.Len() }

// elapsedSeconds returns the time since the table's start.
func (t *AffinityTable) elapsedSeconds(now time.Time) uint32 {
	return uint32(max(now.Sub(t.start), 0) / time.Second)
}
