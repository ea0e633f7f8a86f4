package placement

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// AffinityTable remembers, for the chats whose first target one router owns, where
// each chat that was sent elsewhere went. Its size is limited; the chats that
// were not seen for longest are forgotten.
type AffinityTable struct {
	entries *simplelru.LRU[uint64, entry]
	ttl     time.Duration
	start   time.Time
}

// entry is one chat's last placement. It is kept small, since there is one for
// each chat that was moved.
type entry struct {
	// target is the low half of the target's hash.
	target uint32
	// at is the time of the last use in seconds since the memory began.
	at uint32
	// doubtful entries are used only while nothing better is known.
	doubtful bool
}

// NewAffinityTable returns a memory of at most size chats that forgets a chat ttl
// after its last use.
func NewAffinityTable(size int, ttl time.Duration, now time.Time) *AffinityTable {
	lru, err := simplelru.NewLRU[uint64, entry](max(size, 1), nil)
	if err != nil {
		panic(err) // only a size below one is an error
	}
	return &AffinityTable{entries: lru, ttl: ttl, start: now}
}

// Placement is a remembered target.
type Placement struct {
	// Target is the low half of HashTarget.
	Target uint32
	// Stale is true when the target may have dropped the chat's prefix.
	Stale bool
}

// ShortHash returns the part of a target's hash that the memory keeps.
func ShortHash(hash uint64) uint32 { return uint32(hash) }

// Put notes that the chat went to a target.
func (m *AffinityTable) Put(now time.Time, chat uint64, target uint32) {
	m.entries.Add(chat, entry{target: target, at: m.seconds(now)})
}

// Get returns where the chat went.
func (m *AffinityTable) Get(now time.Time, chat uint64) (Placement, bool) {
	e, ok := m.entries.Get(chat)
	if !ok {
		return Placement{}, false
	}
	if m.seconds(now)-e.at > uint32(m.ttl/time.Second) {
		m.entries.Remove(chat)
		return Placement{}, false
	}
	return Placement{Target: e.target, Stale: e.doubtful}, true
}

// Forget drops the chat, because its target no longer holds its prefix.
func (m *AffinityTable) Forget(chat uint64, target uint32) {
	if e, ok := m.entries.Peek(chat); ok && e.target == target {
		m.entries.Remove(chat)
	}
}

// MarkStale marks all chats at a target as doubtful, because news of its cache was
// lost.
func (m *AffinityTable) MarkStale(target uint32) {
	for _, chat := range m.entries.Keys() {
		if e, ok := m.entries.Peek(chat); ok && e.target == target && !e.doubtful {
			e.doubtful = true
			m.set(chat, e)
		}
	}
}

// ForgetTarget drops all chats at a target, because its cache is empty.
func (m *AffinityTable) ForgetTarget(target uint32) {
	for _, chat := range m.entries.Keys() {
		m.Forget(chat, target)
	}
}

// set replaces an entry. It counts as a use, which is harmless here because
// all entries of a target are replaced together.
func (m *AffinityTable) set(chat uint64, e entry) { m.entries.Add(chat, e) }

// Len returns the number of remembered chats.
func (m *AffinityTable) Len() int { return m.entries.Len() }

func (m *AffinityTable) seconds(now time.Time) uint32 {
	return uint32(max(now.Sub(m.start), 0) / time.Second)
}
