package owner

import (
	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/core/digest"
	"github.com/zinniafork/zinniafork/internal/core/ownership"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// nameList numbers the resources, so that digests between routers with the
// same list need no keys.
type nameList struct {
	// hash identifies the list; it is not zero once there is a list.
	hash uint16
	keys []digest.Key
	at   map[digest.Key]int
	// peers are the lists that other routers told of last.
	peers map[fleet.VM]uint16
}

func newNameList() *nameList { return &nameList{peers: make(map[fleet.VM]uint16)} }

// set takes the resources, sorted by name.
func (l *nameList) set(resources []ownership.Resource) {
	h := xxhash.New()
	l.keys = make([]digest.Key, len(resources))
	l.at = make(map[digest.Key]int, len(resources))
	for i, r := range resources {
		_, _ = h.WriteString(r.Name + "\x00")
		l.keys[i] = digest.KeyOf(r.Name)
		l.at[l.keys[i]] = i
	}
	l.hash = uint16(h.Sum64()) | 1
}

// pack prepares digests for a router.
func (l *nameList) pack(to fleet.VM, digests []digest.Digest) *digest.Batch {
	b := &digest.Batch{ListHash: l.hash, Digests: digests}
	if l.hash == 0 || l.peers[to] != l.hash {
		return b
	}
	packed := make([]digest.Digest, len(digests))
	for i, d := range digests {
		place, ok := l.at[d.Resource]
		if !ok {
			return b
		}
		d.Resource = digest.Key(place)
		packed[i] = d
	}
	b.Indexed, b.Digests = true, packed
	return b
}

// unpack restores the keys. Digests by a list that this router does not have
// are dropped.
func (l *nameList) unpack(from fleet.VM, b *digest.Batch) []digest.Digest {
	l.peers[from] = b.ListHash
	if !b.Indexed {
		return b.Digests
	}
	if b.ListHash != l.hash {
		return nil
	}
	out := b.Digests[:0]
	for _, d := range b.Digests {
		if int(d.Resource) < len(l.keys) {
			d.Resource = l.keys[d.Resource]
			out = append(out, d)
		}
	}
	return out
}
