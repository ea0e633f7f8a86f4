package forward

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/hubs"
	"github.com/zinniafork/zinniafork/internal/core/reach"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/wire"
)

const (
	// snapshotInterval is the time until a router that has started asks others for what
	// they know. It doubles with each round. snapshotTimeout limits one answer.
	snapshotInterval = 300 * time.Millisecond
	snapshotTimeout  = 500 * time.Millisecond
	// snapshotsAsked is the number of routers that are asked in one round.
	snapshotsAsked = 4
)

// snapshotReply is what a router knows, for one that has started.
type snapshotReply struct {
	// Settled is true if the router has run for a while. One that has started itself may
	// know nothing.
	Settled bool   `msgpack:"s,omitempty"`
	Digest  []byte `msgpack:"d,omitempty"`
}

// learnFromPeers asks the other routers for what they know, until one that has run for a
// while answers, cacheScanDuration has passed or ctx ends. What routers send to those that
// join may be lost: who sends it is chosen among routers that may have ended as well.
func (s *Service) learnFromPeers(ctx context.Context) {
	for wait := snapshotInterval; s.configAge() < cacheScanDuration; wait *= 2 {
		if s.clock.Sleep(ctx, wait) != nil {
			return
		}
		for _, vm := range s.snapshotRouters() {
			if s.learnFrom(ctx, vm) {
				return
			}
		}
	}
}

// snapshotRouters returns random live routers, those of the own data centre first.
func (s *Service) snapshotRouters() []fleet.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	routers := slices.Clone(s.relayRouters)
	s.rng.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	slices.SortStableFunc(routers, func(a, b reach.Relay) int {
		switch local := a.DataCentre == s.dataCentre; {
		case local == (b.DataCentre == s.dataCentre):
			return 0
		case local:
			return -1
		default:
			return 1
		}
	})
	var out []fleet.VM
	for _, r := range routers[:min(snapshotsAsked, len(routers))] {
		out = append(out, r.VM)
	}
	return out
}

// learnFrom takes what another router knows, and reports whether that one has run for a
// while.
func (s *Service) learnFrom(ctx context.Context, vm fleet.VM) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(snapshotTimeout, cancel)
	defer stop()
	data, err := s.peers.Query(ctx, vm, peer.KindSnapshot, nil)
	var reply snapshotReply
	if err == nil {
		err = wire.Unmarshal(data, &reply)
	}
	if err != nil {
		s.logger.WithError(err).WithField("peer", vm).Debug("Router does not tell what it knows.")
		return false
	}
	if !reply.Settled {
		return false
	}
	s.handleDigest(vm, reply.Digest)
	s.logger.WithFields(logrus.Fields{"peer": vm, "bytes": len(reply.Digest)}).Info("Learned what another router knows.")
	return true
}

// handleSnapshot answers a router that has started.
func (s *Service) handleSnapshot(context.Context, fleet.VM, []byte) ([]byte, error) {
	if s.configAge() < cacheScanDuration {
		return wire.Marshal(&snapshotReply{})
	}
	s.mu.Lock()
	d := s.snapshot(s.clock.Now())
	s.mu.Unlock()
	payload, err := wire.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return wire.Marshal(&snapshotReply{Settled: true, Digest: payload})
}

// snapshot returns a digest of all that this router knows. It is not passed on. The caller
// holds the lock.
func (s *Service) snapshot(now time.Time) *digest {
	d := newDigest(now, s.newEncoder("caches"), s.balancer.LocalLoads(now), updates{
		prompts: s.balancer.Placements(now), parts: s.quarantine.Snapshot(), limits: s.limits.Reports(), brittle: s.brittle.Reports(),
	})
	d.Scope = uint8(hubs.ScopeSite)
	return d
}
