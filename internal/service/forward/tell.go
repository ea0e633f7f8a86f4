package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/core/hubs"
	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// writers number targets for the digests of one router, one for each audience:
// what a reader misses differs.
type writers struct {
	// own is for all routers of a mesh or the hub, hubs for the other hubs, and
	// members for those of a hub.
	own     *loadtable.Encoder
	hubs    *loadtable.Encoder
	members *loadtable.Encoder
}

// newWriter returns a writer with tables of its own among all routers.
func (s *Service) newWriter(audience string) *loadtable.Encoder {
	s.tables++
	name := fmt.Sprintf("%s/%d/%s/%d", s.self, s.incarnation, audience, s.tables)
	return loadtable.NewEncoder(xxhash.Sum64String(name))
}

func (s *Service) newWriters() writers {
	return writers{own: s.newWriter("own"), hubs: s.newWriter("hubs"), members: s.newWriter("members")}
}

// tellAll makes the next digests tell all targets.
func (w *writers) tellAll() {
	w.own.SendAllTargets()
	w.hubs.SendAllTargets()
	w.members.SendAllTargets()
}

// tellLoad sends this router's digests whenever one is due, until ctx ends.
func (s *Service) tellLoad(ctx context.Context) {
	for {
		s.mu.Lock()
		wait := s.beat.NextDue().Sub(s.clock.Now())
		s.mu.Unlock()
		stop := s.clock.AfterFunc(wait, s.wakeBeat)
		select {
		case <-ctx.Done():
			stop()
			return
		case <-s.beatMoved:
			stop()
		}
		s.tellDue()
	}
}

// wakeBeat makes tellLoad look for what is due.
func (s *Service) wakeBeat() {
	select {
	case s.beatMoved <- struct{}{}:
	default: // it will look anyway
	}
}

// tellDue sends the digests that are due: in a mesh this router's own to all;
// a member's to its hub; a hub's sum of its data centre to the other hubs, and
// the sum of all to its members.
func (s *Service) tellDue() {
	s.mu.Lock()
	now, tree := s.clock.Now(), s.tree.Load()
	due := s.beat.TakeDue(now)
	var own, all *digest
	if due.Own {
		own = s.ownDigest(now, tree)
	}
	if due.Sum {
		all = newDigest(s.writers.members, s.balancer.TotalLoads(append(tree.RemoteHubs(), tree.Members()...)), s.toMembers.take())
		all.Total = true
	}
	s.mu.Unlock()
	switch {
	case own == nil:
	case tree.IsHub():
		s.sendDigest(own, tree.RemoteHubs())
	default:
		s.sendDigest(own, tree.ForwardTo(""))
	}
	if all != nil {
		s.sendDigest(all, tree.Members())
	}
}

// ownDigest returns what this router tells now, as a hub of its data centre,
// and nil while it knows no other router: its news waits for one. The caller
// holds the lock.
func (s *Service) ownDigest(now time.Time, tree *hubs.Tree) *digest {
	loads := s.balancer.LocalLoads(now)
	if len(tree.ForwardTo("")) == 0 {
		return nil
	}
	news := outbox{prompts: s.balancer.TakePlacements(), outcomes: s.outliers.TakeLocalCounts()}
	if !tree.IsHub() {
		return newDigest(s.writers.own, loads, news)
	}
	s.toMembers.add(news.prompts, news.outcomes)
	s.toHubs.add(news.prompts, news.outcomes)
	return newDigest(s.writers.hubs, s.balancer.TotalLoads(tree.Members()), s.toHubs.take())
}

func (s *Service) sendDigest(d *digest, to []fleet.VM) {
	payload, err := wire.Marshal(d)
	if err != nil {
		s.logger.WithError(err).Error("Cannot encode a load digest.")
		return
	}
	for _, vm := range to {
		if err := s.peers.Send(vm, peer.KindLoad, payload); err != nil {
			s.logger.WithError(err).WithField("peer", vm).Debug("Load digest not sent.")
		}
	}
}

// hear takes another router's digest.
func (s *Service) hear(from fleet.VM, payload []byte) {
	var d digest
	if err := wire.Unmarshal(payload, &d); err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Load digest dropped.")
		return
	}
	tree := s.tree.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.beat.DigestReceived(now, from) {
		s.wakeBeat()
	}
	refs, ok := s.reader.Targets(&d.Loads)
	loads, whole := d.Loads.Loads(refs)
	if !ok || !whole {
		s.logger.WithField("peer", from).Debug("Load digest dropped: a part of its table was missed.")
		return
	}
	if d.Total {
		s.balancer.SetTotalLoads(now, from, loads)
	} else {
		s.balancer.SetPeerLoads(now, from, loads)
	}
	prompts, outcomes := d.prompts(refs), d.outcomes(refs)
	s.balancer.AddPlacements(now, prompts)
	for id, count := range outcomes {
		if s.outliers.ObserveRemote(now, id, count) {
			s.logger.WithField("target", s.names[id]).WithField("from", from).Info("Target is out after failures.")
		}
	}
	if tree.IsHub() {
		s.toMembers.add(prompts, outcomes)
		if !tree.IsRemoteHub(from) {
			s.toHubs.add(prompts, outcomes)
		}
	}
}
