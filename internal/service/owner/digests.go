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
	// extensionKey names the digests in heartbeats.
	extensionKey = "t"
	// extensionPriority puts digests behind configuration and marks.
	extensionPriority = 5
	// relayLimit is the number of other routers' digests in one heartbeat of a
	// site where not all routers are neighbours.
	relayLimit = 64
	// ownPeriod is the least time between two digests of the same resource.
	ownPeriod = 50 * time.Millisecond
)

// extension is the part of heartbeats that carries digests.
func (s *Service) extension() members.Extension {
	return members.Extension{
		Key:      extensionKey,
		Priority: extensionPriority,
		Produce:  s.produce,
		Consume:  s.consume,
	}
}

func (s *Service) produce(to fleet.VM) []byte {
	relay := 0
	if s.members.Relays() {
		relay = relayLimit
	}
	s.mu.Lock()
	now := s.clock.Now()
	s.refreshOwn(now)
	s.toldLoad = s.ownLoad()
	batch := s.nameList.pack(to, s.table.ForPeer(now, to, relay))
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

func (s *Service) consume(from fleet.VM, part []byte) {
	var batch digest.Batch
	if err := wire.Unmarshal(part, &batch); err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Digests dropped.")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, e := range s.table.Merge(now, from, s.nameList.unpack(from, &batch)) {
		if id, ok := s.idByKey[e.Resource]; ok && e.OwnerVM != "" {
			s.node.ObserveOwner(now, id, e.OwnerVM, e.Term)
		}
	}
	for t := range s.held {
		s.shareLoad(now, t)
	}
}

// beatSpacing is the least time between heartbeats that a rise of the load
// causes.
const beatSpacing = 100 * time.Millisecond

// tellRise sends heartbeats early when the load here has doubled since the last
// ones: the bound of all others follows from the mean load, and work that
// arrives at an idle site would wait for it. The caller holds the lock.
func (s *Service) tellRise(now time.Time) {
	load := s.ownLoad()
	if load < 2*s.toldLoad || load == 0 || now.Sub(s.toldAt) < beatSpacing {
		return
	}
	s.toldAt, s.toldLoad = now, load
	s.members.Beat()
}

// ownLoad returns the load of all targets that this router owns.
func (s *Service) ownLoad() int {
	load := 0
	for t := range s.held {
		load += t.admission.KnownLoad()
	}
	return load
}

// refreshOwn writes the digests of what this router owns, unless that was done
// just now. The caller holds the lock.
func (s *Service) refreshOwn(now time.Time) {
	if now.Sub(s.ownAt) < ownPeriod {
		return
	}
	s.ownAt = now
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
	d.Slots = clip(h.Slots())
	d.Load = clip(t.admission.KnownLoad())
	d.Queued = clip(t.admission.Queued() + t.admission.Load(now) - t.admission.KnownLoad())
	return d
}

func clip(n int) uint16 { return uint16(min(max(n, 0), 1<<16-1)) }

// indexKeys maps the keys of digests to resources. The caller holds the lock.
func (s *Service) indexKeys(resources []ownership.Resource) {
	s.nameList.set(resources)
	clear(s.idByKey)
	for _, r := range resources {
		s.idByKey[digest.KeyOf(r.Name)] = ownership.IDOf(r.Name)
	}
}
