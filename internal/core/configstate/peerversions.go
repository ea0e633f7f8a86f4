package configstate

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Times for fetching versions from peers.
const (
	// FetchDelay is how long a router waits for the log to deliver a version
	// that a peer already has before it fetches that version from the peer.
	FetchDelay = 250 * time.Millisecond
	// fetchBackoff is how long a peer is not asked again after a failed fetch.
	fetchBackoff = time.Second
	// fetchTimeout is the time after which a fetch without an end no longer
	// blocks another one.
	fetchTimeout = 3 * time.Second
	// digestMaxAge is the age up to which a digest counts as the peer's present
	// state.
	digestMaxAge = 30 * time.Second
)

// digestBytes is the encoded size of a digest: two offsets and half of a
// version hash.
const digestBytes = 8 + hashLength/4 + 8

// ErrDigest means that an encoded digest is too short.
var ErrDigest = errors.New("configuration digest is too short")

// Digest tells peers which version a router knows and which one is in force
// there. It is sent with heartbeats.
type Digest struct {
	// Offset is the offset of the newest version that the router knows.
	Offset uint64
	// HashPrefix is the first half of that version's hash, in hex.
	HashPrefix string
	// InForce is the offset of the version that the router uses. It is below
	// Offset while the router cannot use a newer version.
	InForce uint64
}

// DigestOf returns the digest of a router that knows v and uses the version at
// offset inForce.
func DigestOf(v Version, inForce uint64) Digest {
	return Digest{Offset: v.Offset, HashPrefix: hashPrefix(v), InForce: inForce}
}

// hashPrefix returns the part of a version's hash that a digest carries.
func hashPrefix(v Version) string { return v.Hash[:min(len(v.Hash), hashLength/2)] }

// Encode returns the wire form: Offset, HashPrefix and InForce, in that order,
// integers as 8 bytes big-endian.
func (d Digest) Encode() []byte {
	out := make([]byte, 0, digestBytes)
	out = binary.BigEndian.AppendUint64(out, d.Offset)
	prefix, err := hex.DecodeString(d.HashPrefix)
	if err != nil || len(prefix) != hashLength/4 {
		prefix = make([]byte, hashLength/4)
	}
	out = append(out, prefix...)
	return binary.BigEndian.AppendUint64(out, d.InForce)
}

// DecodeDigest parses the wire form of a digest. It ignores trailing bytes,
// which later releases may add. The error is ErrDigest.
func DecodeDigest(data []byte) (Digest, error) {
	if len(data) < digestBytes {
		return Digest{}, ErrDigest
	}
	return Digest{
		Offset:     binary.BigEndian.Uint64(data),
		HashPrefix: hex.EncodeToString(data[8 : 8+hashLength/4]),
		InForce:    binary.BigEndian.Uint64(data[8+hashLength/4:]),
	}, nil
}

// hasVersion reports whether the digest names a version; its hash prefix is all
// zeros if not.
func (d Digest) hasVersion() bool {
	for _, c := range d.HashPrefix {
		if c != '0' {
			return true
		}
	}
	return false
}

// PeerVersions records the versions that peers report in digests and chooses
// the peer to fetch a newer version from. It is not safe for concurrent use.
type PeerVersions struct {
	peers map[fleet.VM]*peerVersion
	// fetchingFrom is the peer of the fetch in progress, empty if there is
	// none. From fetchDeadline on it no longer blocks another fetch.
	fetchingFrom  fleet.VM
	fetchDeadline time.Time
}

// peerVersion is what is known of one peer.
type peerVersion struct {
	digest Digest
	// receivedAt is the time of the last digest.
	receivedAt time.Time
	// reportedSince is the time at which the peer first reported its present
	// version.
	reportedSince time.Time
	// notBefore is the time before which the peer is not asked, set after a
	// failed fetch.
	notBefore time.Time
}

// NewPeerVersions returns an empty PeerVersions.
func NewPeerVersions() *PeerVersions { return &PeerVersions{peers: make(map[fleet.VM]*peerVersion)} }

// Observe records a digest received from a peer.
func (p *PeerVersions) Observe(from fleet.VM, d Digest, now time.Time) {
	peer, ok := p.peers[from]
	if !ok {
		peer = new(peerVersion)
		p.peers[from] = peer
	}
	if peer.reportedSince.IsZero() || peer.digest.Offset != d.Offset || peer.digest.HashPrefix != d.HashPrefix {
		peer.reportedSince = now
	}
	peer.digest, peer.receivedAt = d, now
}

// Retain drops the peers for which keep returns false.
func (p *PeerVersions) Retain(keep func(fleet.VM) bool) {
	for vm := range p.peers {
		if !keep(vm) {
			delete(p.peers, vm)
		}
	}
}

// Digests returns the latest digest of each peer that sent one within
// digestMaxAge.
func (p *PeerVersions) Digests(now time.Time) map[fleet.VM]Digest {
	out := make(map[fleet.VM]Digest, len(p.peers))
	for vm, peer := range p.peers {
		if now.Sub(peer.receivedAt) <= digestMaxAge {
			out[vm] = peer.digest
		}
	}
	return out
}

// Diverged returns a peer that reports another hash for the offset of own, and
// whether there is one.
func (p *PeerVersions) Diverged(own Version) (fleet.VM, bool) {
	for vm, peer := range p.peers {
		if own.Hash != "" && peer.digest.hasVersion() && peer.digest.Offset == own.Offset && peer.digest.HashPrefix != hashPrefix(own) {
			return vm, true
		}
	}
	return "", false
}

// StartFetch returns the peer to fetch a version newer than own from, if any,
// and marks the fetch as started. It prefers the newest version and allows one
// fetch at a time.
func (p *PeerVersions) StartFetch(own Version, now time.Time) (fleet.VM, bool) {
	if p.fetchingFrom != "" && now.Before(p.fetchDeadline) {
		return "", false
	}
	var best fleet.VM
	for vm, peer := range p.peers {
		if !peer.fetchable(own, now) {
			continue
		}
		if best == "" || p.peers[best].digest.Offset < peer.digest.Offset ||
			(p.peers[best].digest.Offset == peer.digest.Offset && vm < best) {
			best = vm
		}
	}
	if best == "" {
		return "", false
	}
	p.fetchingFrom, p.fetchDeadline = best, now.Add(fetchTimeout)
	return best, true
}

// fetchable reports whether the peer has a newer version and may be asked for
// it now. A router without a version does not wait for FetchDelay.
func (peer *peerVersion) fetchable(own Version, now time.Time) bool {
	newer := peer.digest.hasVersion() && (own.Hash == "" || peer.digest.Offset > own.Offset)
	waited := own.Hash == "" || now.Sub(peer.reportedSince) >= FetchDelay
	return newer && waited && !now.Before(peer.notBefore)
}

// EndFetch records the end of a fetch from a peer. If it did not succeed, that
// peer is not asked again for fetchBackoff.
func (p *PeerVersions) EndFetch(from fleet.VM, succeeded bool, now time.Time) {
	if p.fetchingFrom == from {
		p.fetchingFrom = ""
	}
	if peer, ok := p.peers[from]; ok && !succeeded {
		peer.notBefore = now.Add(fetchBackoff)
	}
}
