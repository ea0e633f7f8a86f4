package owner

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/digest"
	"github.com/zinniafork/zinniafork/internal/core/ownership"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/wire"
)

const (
	// extensionKey is the key of the digests in heartbeats.
	extensionKey = "t"
	// extensionPriority places digests after the configuration and the
	// emergency marks.
	extensionPriority = 5
	// maxRelayedDigests is the maximum number of other routers' digests in one
	// heartbeat. Digests are relayed only if some routers of the site are not
	// neighbours.
	maxRelayedDigests = 64
	// ownDigestPeriod is the minimum time between two digests of one resource.
	ownDigestPeriod = 50 * time.Millisecond
)

// heartbeatExtension returns the heartbeat extension that carries digests.
func (s *Service) heartbeatExtension() members.Extension {
	return members.Extension{
		Key:      extensionKey,
		Priority: extensionPriority,
		Produce:  s.produceDigests,
		Consume:  s.consumeDigests,
	}
}

func (s *Service) produceDigests(to fleet.VM) []byte {
	relay := 0
	if s.members.NeedsRelay() {
		relay = maxRelayedDigests
	}
	s.mu.Lock()
	now := s.clock.Now()
	s.refreshOwnDigests(now)
	s.announcedLoad = s.ownLoad()
	batch := s.resourceIndex.pack(to, s.table.ForPeer(now, to, relay))
	s.mu.Unlock()
	if len(batch.Digests) == 0 {
		return nil
	}
	data, err := wire.Marshal(batch)
	if err != nil {
		s.logger.WithError(err).Error("Cannot encode digests.")
		return nil
	}
	return data
}

func (s *Service) consumeDigests(from fleet.VM, part []byte) {
	var batch digest.Batch
	if err := wire.Unmarshal(part, &batch); err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Cannot decode digests.")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, e := range s.table.Merge(now, from, s.resourceIndex.unpack(from, &batch)) {
		if id, ok := s.idByKey[e.Resource]; ok && e.OwnerVM != "" {
			s.node.ObserveOwner(now, id, e.OwnerVM, e.Term)
		}
	}
	for t := range s.held {
		s.updateGroupLoad(now, t)
	}
}

// minBeatInterval is the minimum time between heartbeats that are sent because
// the load has increased.
const minBeatInterval = 100 * time.Millisecond

// announceLoadIncrease sends heartbeats early if the load on this router's
// targets has doubled since the last digests were sent. Other routers derive
// their load limit from the mean load, so requests that reach an idle site
// would otherwise wait for the next regular heartbeat. The caller holds the
// lock.
func (s *Service) announceLoadIncrease(now time.Time) {
	load := s.ownLoad()
	if load < 2*s.announcedLoad || load == 0 || now.Sub(s.announcedAt) < minBeatInterval {
		return
	}
	s.announcedAt, s.announcedLoad = now, load
	s.members.SendHeartbeats()
}

// ownLoad returns the total known load of the targets that this router owns.
// The caller holds the lock.
func (s *Service) ownLoad() int {
	load := 0
	for t := range s.held {
		load += t.admission.KnownLoad()
	}
	return load
}

// refreshOwnDigests updates the digests of the resources that this router owns,
// unless they are younger than ownDigestPeriod. The caller holds the lock.
func (s *Service) refreshOwnDigests(now time.Time) {
	if now.Sub(s.ownDigestsAt) < ownDigestPeriod {
		return
	}
	s.ownDigestsAt = now
	var own []digest.Digest
	for key, id := range s.idByKey {
		if !s.node.Holds(now, id) {
			continue
		}
		d := digest.Digest{Resource: key, Term: s.node.Term(id)}
		if t, ok := s.byID[id]; ok {
			d = s.digestOf(now, t, d)
		}
		own = append(own, d)
	}
	s.table.SetOwn(now, own)
}

func (s *Service) digestOf(now time.Time, t *ownedTarget, d digest.Digest) digest.Digest {
	h := t.admission.Health()
	d.State = digest.StateOf(h.State())
	d.Slots = saturate(h.Slots())
	d.Load = saturate(t.admission.KnownLoad())
	d.Queued = saturate(t.admission.Queued() + t.admission.Load(now) - t.admission.KnownLoad())
	return d
}

func saturate(n int) uint16 { return uint16(min(max(n, 0), 1<<16-1)) }

// indexKeys rebuilds the mappings from digest keys to resources. The caller
// holds the lock.
func (s *Service) indexKeys(resources []ownership.Resource) {
	s.resourceIndex.set(resources)
	clear(s.idByKey)
	for _, r := range resources {
		s.idByKey[digest.KeyOf(r.Name)] = ownership.IDOf(r.Name)
	}
}
