package owner

import (
	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/core/digest"
	"github.com/zinniafork/zinniafork/internal/core/ownership"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// resourceIndex numbers the resources, so that digests between routers with the
// same list of resources carry a short position instead of a key.
type resourceIndex struct {
	// hash identifies the list. It is zero only until set is called.
	hash      uint16
	keys      []digest.Key
	positions map[digest.Key]int
	// peerHashes holds the hash of the list that each router sent last.
	peerHashes map[fleet.VM]uint16
}

func newResourceIndex() *resourceIndex { return &resourceIndex{peerHashes: make(map[fleet.VM]uint16)} }

// set replaces the list of resources, which must be sorted by name.
func (l *resourceIndex) set(resources []ownership.Resource) {
	h := xxhash.New()
	l.keys = make([]digest.Key, len(resources))
	l.positions = make(map[digest.Key]int, len(resources))
	for i, r := range resources {
		_, _ = h.WriteString(r.Name + "\x00")
		l.keys[i] = digest.KeyOf(r.Name)
		l.positions[l.keys[i]] = i
	}
	l.hash = uint16(h.Sum64()) | 1
}

// pack returns the batch of digests to send to a router. The resources are
// given as positions if that router's last batch had the same list, else as
// keys.
func (l *resourceIndex) pack(to fleet.VM, digests []digest.Digest) *digest.Batch {
	b := &digest.Batch{ListHash: l.hash, Digests: digests}
	if l.hash == 0 || l.peerHashes[to] != l.hash {
		return b
	}
	packed := make([]digest.Digest, len(digests))
	for i, d := range digests {
		position, ok := l.positions[d.Resource]
		if !ok {
			return b
		}
		d.Resource = digest.Key(position)
		packed[i] = d
	}
	b.Indexed, b.Digests = true, packed
	return b
}

// unpack returns the digests of a batch with their keys and records the
// sender's list. Positions in a list that differs from this router's cannot be
// resolved: those digests are dropped.
func (l *resourceIndex) unpack(from fleet.VM, b *digest.Batch) []digest.Digest {
	l.peerHashes[from] = b.ListHash
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
