package configstate

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Terms of fetching a version from a peer.
const (
	// FetchDelay gives the log the first chance to bring a version that a
	// peer already has.
	FetchDelay = 250 * time.Millisecond
	// fetchBackoff is the time for which a peer is not asked again after it
	// failed to help.
	fetchBackoff = time.Second
	fetchLimit   = 3 * time.Second
	// digestTrust is the age up to which a digest tells what a peer uses.
	digestTrust = 30 * time.Second
)

// digestLength is the size of a digest: two offsets and half a hash.
const digestLength = 8 + hashLength/4 + 8

// ErrDigest means that a digest is too short.
var ErrDigest = errors.New("configuration digest is too short")

// Digest tells a peer which version a router knows and which is in force.
type Digest struct {
	Offset uint64
	// HashPrefix is the first half of the version's hash, in hex.
	HashPrefix string
	// InForce is the offset of the newest version that the router uses. It
	// stays below Offset while the router cannot use a version.
	InForce uint64
}

// DigestOf returns the digest of a router that knows v.
func DigestOf(v Version, inForce uint64) Digest {
	return Digest{Offset: v.Offset, HashPrefix: prefixOf(v), InForce: inForce}
}

func prefixOf(v Version) string { return v.Hash[:min(len(v.Hash), hashLength/2)] }

// Encode returns the bytes that go with each heartbeat.
func (d Digest) Encode() []byte {
	out := make([]byte, 0, digestLength)
	out = binary.BigEndian.AppendUint64(out, d.Offset)
	prefix, err := hex.DecodeString(d.HashPrefix)
	if err != nil || len(prefix) != hashLength/4 {
		prefix = make([]byte, hashLength/4)
	}
	out = append(out, prefix...)
	return binary.BigEndian.AppendUint64(out, d.InForce)
}

// DecodeDigest reads the bytes of a digest. Bytes that a later release may add
// are left out.
func DecodeDigest(data []byte) (Digest, error) {
	if len(data) < digestLength {
		return Digest{}, ErrDigest
	}
	return Digest{
		Offset:     binary.BigEndian.Uint64(data),
		HashPrefix: hex.EncodeToString(data[8 : 8+hashLength/4]),
		InForce:    binary.BigEndian.Uint64(data[8+hashLength/4:]),
	}, nil
}

// known reports whether the digest names a version at all.
func (d Digest) known() bool {
	for _, c := range d.HashPrefix {
		if c != '0' {
			return true
		}
	}
	return false
}

// PeerVersions remembers what peers told of their versions and decides whom to ask.
type PeerVersions struct {
	peers map[fleet.VM]*heard
	busy  fleet.VM
	until time.Time
}

type heard struct {
	digest Digest
	// at is the time of the last digest.
	at time.Time
	// since is the time at which the peer first told this version.
	since time.Time
	// notBefore is the time before which the peer is not asked.
	notBefore time.Time
}

// NewPeerVersions returns a Spread that has heard nothing.
func NewPeerVersions() *PeerVersions { return &PeerVersions{peers: make(map[fleet.VM]*heard)} }

// Observe takes a peer's digest.
func (s *PeerVersions) Observe(from fleet.VM, d Digest, now time.Time) {
	h, ok := s.peers[from]
	if !ok {
		h = new(heard)
		s.peers[from] = h
	}
	if h.since.IsZero() || h.digest.Offset != d.Offset || h.digest.HashPrefix != d.HashPrefix {
		h.since = now
	}
	h.digest, h.at = d, now
}

// Retain drops peers that are gone.
func (s *PeerVersions) Retain(keep func(fleet.VM) bool) {
	for vm := range s.peers {
		if !keep(vm) {
			delete(s.peers, vm)
		}
	}
}

// Digests returns the newest digest of each peer that has told one lately.
func (s *PeerVersions) Digests(now time.Time) map[fleet.VM]Digest {
	out := make(map[fleet.VM]Digest, len(s.peers))
	for vm, h := range s.peers {
		if now.Sub(h.at) <= digestTrust {
			out[vm] = h.digest
		}
	}
	return out
}

// Diverged returns a peer that gives another hash to the same offset.
func (s *PeerVersions) Diverged(own Version) (fleet.VM, bool) {
	for vm, h := range s.peers {
		if own.Hash != "" && h.digest.known() && h.digest.Offset == own.Offset && h.digest.HashPrefix != prefixOf(own) {
			return vm, true
		}
	}
	return "", false
}

// StartFetch returns the peer to fetch a newer version from, if any, and notes that
// it is being asked. One peer is asked at a time.
func (s *PeerVersions) StartFetch(own Version, now time.Time) (fleet.VM, bool) {
	if s.busy != "" && now.Before(s.until) {
		return "", false
	}
	var best fleet.VM
	for vm, h := range s.peers {
		if !h.wanted(own, now) {
			continue
		}
		if best == "" || s.peers[best].digest.Offset < h.digest.Offset ||
			(s.peers[best].digest.Offset == h.digest.Offset && vm < best) {
			best = vm
		}
	}
	if best == "" {
		return "", false
	}
	s.busy, s.until = best, now.Add(fetchLimit)
	return best, true
}

func (h *heard) wanted(own Version, now time.Time) bool {
	newer := h.digest.known() && (own.Hash == "" || h.digest.Offset > own.Offset)
	waited := own.Hash == "" || now.Sub(h.since) >= FetchDelay
	return newer && waited && !now.Before(h.notBefore)
}

// EndFetch notes the end of a fetch.
func (s *PeerVersions) EndFetch(from fleet.VM, helped bool, now time.Time) {
	if s.busy == from {
		s.busy = ""
	}
	if h, ok := s.peers[from]; ok && !helped {
		h.notBefore = now.Add(fetchBackoff)
	}
}
