package forward

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/hubs"
	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/members"
)

// Engine caches outlive the routers. A router that starts gets the placements from
// another router; when all routers start at once, each lists the caches of a part of
// the engines.
const (
	// cacheScanInterval is the time between searches for engines whose caches no
	// router knows. They go on for cacheScanDuration after the first configuration
	// is known.
	cacheScanInterval = 100 * time.Millisecond
	cacheScanDuration = 6 * time.Second
	// aliveOnlyAfter is the time after the first configuration from which only
	// routers known to be alive are considered for listing an engine's cache.
	aliveOnlyAfter = 1500 * time.Millisecond
	// reannounceInterval is the time after which a cache listing is announced again,
	// at most maxReannouncements times. Routers that start together do not agree at
	// once on the hubs that forward updates, so the first announcement may be lost.
	reannounceInterval = 400 * time.Millisecond
	maxReannouncements = 3
	// listTimeout limits one request for a cache listing.
	listTimeout = time.Second
)

// learnCaches lists the caches of the engines assigned to this router, until
// cacheScanDuration has passed or ctx ends.
func (s *Service) learnCaches(ctx context.Context) {
	listed := make(map[fleet.Target]bool)
	for {
		age := s.configAge()
		if age >= cacheScanDuration {
			return
		}
		s.listCaches(ctx, listed, age >= aliveOnlyAfter)
		s.reannounceCaches()
		if s.clock.Sleep(ctx, cacheScanInterval) != nil {
			return
		}
	}
}

// configAge returns how long this router has known a configuration, zero while it
// knows none.
func (s *Service) configAge() time.Duration {
	known := s.site.Table() != nil
	s.mu.Lock()
	defer s.mu.Unlock()
	if !known {
		return 0
	}
	if s.configuredAt.IsZero() {
		s.configuredAt = s.clock.Now()
	}
	return s.clock.Now().Sub(s.configuredAt)
}

// listCaches starts one listing for each available engine that is assigned to this
// router and not in listed yet. With aliveOnly set, engines are distributed among
// live routers only, and engines whose cache another router has announced are
// skipped.
func (s *Service) listCaches(ctx context.Context, listed map[fleet.Target]bool, aliveOnly bool) {
	table := s.site.Table()
	if table == nil {
		return
	}
	routers := s.listingRouters(aliveOnly)
	for _, service := range table.Config.Services {
		if !service.Engine {
			continue
		}
		for _, t := range s.site.Available(service.Name) {
			if listed[t.ID] || highestRanked(t.ID, routers) != s.self || !s.accepting(s.clock.Now(), &t) {
				continue
			}
			if aliveOnly && s.hasCache(t.ID) {
				continue // another router has listed it
			}
			listed[t.ID] = true
			go s.listCache(ctx, t.ID)
		}
	}
}

// hasCache reports whether any prompt is known to be in the cache of a target.
func (s *Service) hasCache(id fleet.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.HasPrompts(id)
}

// listingRouters returns the routers among which the engines are distributed: at
// first those on the VM list, which a starting router knows as soon as it knows the
// engines, and later, with aliveOnly set, those that are alive.
func (s *Service) listingRouters(aliveOnly bool) []fleet.VM {
	if !aliveOnly {
		return append(s.site.Routers(), s.self)
	}
	out := []fleet.VM{s.self}
	for _, m := range s.members.Snapshot().Members {
		if m.VM != s.self && m.Status == members.StateAlive {
			out = append(out, m.VM)
		}
	}
	return out
}

// highestRanked returns the router with the highest rendezvous score for a target,
// empty if there are no routers.
func highestRanked(id fleet.Target, routers []fleet.VM) fleet.VM {
	hash := placement.HashTarget(id)
	score := func(vm fleet.VM) float64 { return placement.Score(hash, placement.HashTarget(fleet.Target(vm)), 1) }
	if len(routers) == 0 {
		return ""
	}
	return slices.MaxFunc(routers, func(a, b fleet.VM) int {
		if score(a) < score(b) {
			return -1
		}
		return 1
	})
}

// listCache requests the cache listing of one engine and announces it.
func (s *Service) listCache(ctx context.Context, id fleet.Target) {
	t, ok := s.site.Lookup(id)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(listTimeout, cancel)
	defer stop()
	cached, err := s.targets.CachedPrefixes(ctx, t)
	if err != nil {
		s.logger.WithError(err).WithField("target", id).Warn("Failed to list the engine cache.")
		return
	}
	now := s.clock.Now()
	s.mu.Lock()
	s.balancer.AddCached(now, id, cached)
	s.listings = append(s.listings, cacheListing{target: id, cached: cached, announcedAt: now})
	s.mu.Unlock()
	s.logger.WithFields(logrus.Fields{"target": id, "prompts": len(cached)}).Info("Engine cache listed.")
}

// cacheListing holds the prefixes that an engine reported to be in its cache.
type cacheListing struct {
	target fleet.Target
	cached []uint64
	// announcedAt is the time of the last announcement.
	announcedAt time.Time
	// reannounced counts the announcements after the first.
	reannounced int
}

// reannounceCaches announces the listings again that are due.
func (s *Service) reannounceCaches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for i := range s.listings {
		l := &s.listings[i]
		if l.reannounced >= maxReannouncements || now.Sub(l.announcedAt) < reannounceInterval {
			continue
		}
		l.announcedAt = now
		l.reannounced++
		s.balancer.AddCached(now, l.target, l.cached)
	}
}

// shareCaches sends the known placements to routers that have joined or restarted.
// While this router is starting itself, it also sends them to routers that another
// one serves, and to a new hub: they may lack its own listings. When routers join or
// the hub changes, the next digests carry all targets.
func (s *Service) shareCaches(view *members.Snapshot) {
	tree := s.tree.Load()
	starting := s.configAge() < cacheScanDuration
	joined := s.updateAlive(view)
	for _, m := range view.Members {
		if m.VM == s.self || m.Status != members.StateAlive || s.handledJoins[m.VM] == m.Incarnation {
			continue
		}
		s.handledJoins[m.VM] = m.Incarnation
		if s.sharesCachesWith(tree, m.VM) || starting && tree.IsMesh() {
			s.sendCaches(m.VM)
		}
	}
	parent := tree.Parent()
	if parent != s.lastParent && starting && parent != "" {
		s.sendCaches(parent)
	}
	if parent != s.lastParent || joined {
		s.mu.Lock()
		s.encoders.sendAllTargets()
		s.mu.Unlock()
	}
	s.lastParent = parent
}

// liveProcess is a process of another router, and since when it is known to be alive.
type liveProcess struct {
	incarnation fleet.Incarnation
	since       time.Time
}

// updateAlive records the processes that are alive and reports whether any of them
// was not alive in the last view.
func (s *Service) updateAlive(view *members.Snapshot) bool {
	alive := make(map[fleet.VM]liveProcess)
	joined := false
	for _, m := range view.Members {
		if m.Status != members.StateAlive {
			continue
		}
		last, ok := s.alive[m.VM]
		if !ok || last.incarnation != m.Incarnation {
			joined = true
			last = liveProcess{incarnation: m.Incarnation, since: s.clock.Now()}
		}
		alive[m.VM] = last
	}
	s.alive = alive
	return joined
}

// sharesCachesWith reports whether this router is the one that sends what it knows to a
// router that has joined: its hub, or the highest ranked of the other routers that have
// run for a while, since those that start together know nothing.
func (s *Service) sharesCachesWith(tree *hubs.Tree, vm fleet.VM) bool {
	if !tree.IsMesh() && tree.IsHub() && slices.Contains(tree.Members(), vm) {
		return true
	}
	now := s.clock.Now()
	var others, settled []fleet.VM
	for other, process := range s.alive {
		if other == vm {
			continue
		}
		others = append(others, other)
		if now.Sub(process.since) >= cacheScanDuration {
			settled = append(settled, other)
		}
	}
	if len(settled) > 0 {
		others = settled
	}
	return highestRanked(fleet.Target(vm), others) == s.self
}

// sendCaches sends all known placements, the prompt parts in quarantine and the limits of
// targets to one router.
func (s *Service) sendCaches(to fleet.VM) {
	s.mu.Lock()
	d := s.snapshot(s.clock.Now())
	s.mu.Unlock()
	if len(d.Prompts)+len(d.Quarantined)+len(d.Limits)+len(d.Brittle) == 0 {
		return
	}
	s.sendDigest(d, []fleet.VM{to})
	s.logger.WithFields(logrus.Fields{"peer": to, "prompts": len(d.Prompts) / placementSize}).Info("Cache placements sent.")
}
