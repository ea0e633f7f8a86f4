package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/hubs"
	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// largeDigestBytes is the size from which a digest is logged. At the planned size, some 500
// placements and the outcomes of 1,200 targets take less.
const largeDigestBytes = 64 << 10

// digestEncoders are the encoders of one router, one for each audience: each
// audience may have missed other parts of the target table.
type digestEncoders struct {
	// own encodes for all routers of a mesh or for the hub, hubs for the other hubs,
	// and members for the members of a hub.
	own     *loadtable.Encoder
	hubs    *loadtable.Encoder
	members *loadtable.Encoder
}

// newEncoder returns an encoder whose table ID is unique among all routers and
// processes.
func (s *Service) newEncoder(audience string) *loadtable.Encoder {
	s.encoderCount++
	name := fmt.Sprintf("%s/%d/%s/%d", s.self, s.incarnation, audience, s.encoderCount)
	return loadtable.NewEncoder(xxhash.Sum64String(name))
}

// newEncoders returns the encoders for all audiences.
func (s *Service) newEncoders() digestEncoders {
	return digestEncoders{own: s.newEncoder("own"), hubs: s.newEncoder("hubs"), members: s.newEncoder("members")}
}

// sendAllTargets makes the next digests carry the complete target table.
func (e *digestEncoders) sendAllTargets() {
	e.own.SendAllTargets()
	e.hubs.SendAllTargets()
	e.members.SendAllTargets()
}

// sendDigests sends this router's digests when they are due, until ctx ends.
func (s *Service) sendDigests(ctx context.Context) {
	for {
		s.mu.Lock()
		wait := s.digestTimer.NextDue().Sub(s.clock.Now())
		s.mu.Unlock()
		stop := s.clock.AfterFunc(wait, s.wakeSender)
		select {
		case <-ctx.Done():
			stop()
			return
		case <-s.digestWake:
			stop()
		}
		s.sendDue()
	}
}

// wakeSender makes sendDigests check what is due.
func (s *Service) wakeSender() {
	select {
	case s.digestWake <- struct{}{}:
	default: // a check is pending already
	}
}

// sendDue sends the digests that are due. In a mesh, a router sends its own load to
// all others. In a tree, a member sends its load to its hub; a hub sends the load of
// its data centre to the other hubs, and the total load to its members.
func (s *Service) sendDue() {
	s.mu.Lock()
	now, tree := s.clock.Now(), s.tree.Load()
	due := s.digestTimer.TakeDue(now)
	var own, total *digest
	if due.Own {
		own = s.localDigest(now, tree)
	}
	if due.Sum {
		total = newDigest(now, s.encoders.members, s.balancer.TotalLoads(append(tree.RemoteHubs(), tree.Members()...)), s.takeUpdates(&s.toMembers))
		total.Total, total.Scope = true, uint8(hubs.ScopeSite)
	}
	s.mu.Unlock()
	switch {
	case own == nil:
	case tree.IsHub():
		s.sendDigest(own, tree.RemoteHubs())
	default:
		s.sendDigest(own, tree.ForwardTo(""))
	}
	if total != nil {
		s.sendDigest(total, tree.Members())
	}
}

// localDigest returns the digest with this router's load or, for a hub, that of its
// data centre. It returns nil while no other router is known; pending updates are
// kept until one is. The caller holds the lock.
func (s *Service) localDigest(now time.Time, tree *hubs.Tree) *digest {
	s.logParts(s.quarantine.Expire(now), s.self)
	s.releaseHeld(now)
	s.work.recordPaces(now)
	loads := s.balancer.LocalLoads(now)
	if len(tree.ForwardTo("")) == 0 {
		return nil
	}
	u := updates{
		prompts: s.balancer.TakePlacements(), outcomes: s.outliers.TakeLocalCounts(), leaving: s.leaving,
		parts: s.quarantine.TakeNotices(), limits: s.limits.TakeDue(now),
		brittle: s.brittle.TakeDue(now), down: s.down, speeds: s.work.takeSpeeds(),
	}
	s.leaving, s.down = nil, nil
	if !tree.IsHub() {
		d := newDigest(now, s.encoders.own, loads, u)
		d.Scope = uint8(hubs.ScopeRouter)
		return d
	}
	s.toMembers.merge(u)
	s.toHubs.merge(u)
	d := newDigest(now, s.encoders.hubs, s.balancer.TotalLoads(tree.Members()), s.takeUpdates(&s.toHubs))
	d.Scope = uint8(hubs.ScopeDataCentre)
	return d
}

// takeUpdates empties u and returns what the next digest holds of it.
func (s *Service) takeUpdates(u *updates) updates {
	out, dropped := u.take()
	s.metrics.updatesDropped.Inc(int64(dropped))
	return out
}

// sendDigest sends a digest to the given routers. Failures are only logged.
func (s *Service) sendDigest(d *digest, to []fleet.VM) {
	payload, err := wire.Marshal(d)
	if err != nil {
		s.logger.WithError(err).Error("Failed to encode load digest.")
		return
	}
	s.metrics.digestBytes.Update(int64(len(payload)))
	if len(payload) > largeDigestBytes {
		s.logger.WithFields(logrus.Fields{
			"bytes": len(payload), "total": d.Total, "placements": len(d.Prompts) / placementSize, "outcomes": len(d.Outcomes) / 3,
			"leaving": len(d.Leaving) / 2, "limits": len(d.Limits) / limitSize, "to": len(to),
		}).Warn("Load digest is large.")
	}
	for _, vm := range to {
		if err := s.peers.Send(vm, peer.KindLoad, payload); err != nil {
			s.logger.WithError(err).WithField("peer", vm).Debug("Failed to send load digest.")
		}
	}
}

// handleDigest applies another router's digest. A hub also collects its updates for the
// routers that it passes them on to.
func (s *Service) handleDigest(from fleet.VM, payload []byte) {
	var d digest
	if err := wire.Unmarshal(payload, &d); err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Failed to decode load digest.")
		return
	}
	tree := s.tree.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.digestTimer.DigestReceived(now, from) {
		s.wakeSender()
	}
	refs, ok := s.decoder.Targets(&d.Loads)
	loads, complete := d.Loads.Loads(refs)
	if !ok || !complete {
		s.logger.WithField("peer", from).Debug("Load digest without its targets: part of its target table is missing.")
		s.relayUpdates(tree, from, &d, updates{parts: s.applyNotices(now, from, d.parts(now, nil))})
		return
	}
	if d.Total {
		s.balancer.SetTotalLoads(now, from, loads)
	} else {
		s.balancer.SetPeerLoads(now, from, loads)
	}
	u := updates{
		prompts: d.prompts(refs), outcomes: d.outcomes(refs), leaving: d.leaving(refs), parts: d.parts(now, refs),
		limits: d.limits(now, refs), brittle: d.brittle(now, refs), down: decodeProcesses(refs, d.Down),
		speeds: decodeSpeeds(refs, d.Speeds),
	}
	s.work.learnSpeeds(now, u.speeds)
	s.balancer.AddPlacements(now, u.prompts)
	s.applyLeaving(now, from, u.leaving)
	u.parts = s.applyNotices(now, from, u.parts)
	s.applyDown(now, from, u.down)
	s.applyLimits(now, from, u.limits)
	s.applyBrittle(now, from, u.brittle)
	for id, counts := range u.outcomes {
		if s.outliers.ObserveRemote(now, id, counts) {
			s.logger.WithField("target", s.targetNames[id]).WithField("from", from).Info("Target ejected after failures.")
		}
	}
	s.relayUpdates(tree, from, &d, u)
}

// relayUpdates collects the updates of a digest for the routers that a hub passes them on to.
// The caller holds the lock.
func (s *Service) relayUpdates(tree *hubs.Tree, from fleet.VM, d *digest, u updates) {
	relay := tree.Relay(from, d.scope())
	if relay.Members {
		s.toMembers.merge(u)
	}
	if relay.Hubs {
		s.toHubs.merge(u)
	}
}

// applyLeaving records the targets that told another router that they are leaving. A
// target that has restarted since is a new one. The caller holds the lock.
func (s *Service) applyLeaving(now time.Time, from fleet.VM, leaving []leavingTarget) {
	for _, l := range leaving {
		name := s.targetNames[l.target]
		born, known := s.born[name]
		if !known || uint32(born) != l.born {
			continue
		}
		if s.reports.ReportLeaving(now, l.target, born) {
			s.logger.WithFields(logrus.Fields{"target": name, "from": from}).Info("Target says that it is leaving.")
		}
	}
}
