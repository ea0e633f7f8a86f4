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

// What the engines have in cache outlives the routers: a router that starts
// learns it from another one, and when all start at once each asks a part of
// the engines.
const (
	// cachePeriod is the time between looks for engines whose caches nobody
	// knows, for cacheTime after the first configuration is known.
	cachePeriod = 100 * time.Millisecond
	cacheTime   = 6 * time.Second
	// cacheAlive is the time after the first configuration from which only
	// routers that are heard count for the choice of the one that asks an engine.
	cacheAlive = 1500 * time.Millisecond
	// retellPeriod is the time after which a list is told again, retellTimes
	// times: routers that start together don't agree at once who passes news on.
	retellPeriod = 400 * time.Millisecond
	retellTimes  = 3
	// cacheTimeout limits one list.
	cacheTimeout = time.Second
)

// learnCaches asks the engines that fall to this router for their caches.
func (s *Service) learnCaches(ctx context.Context) {
	asked := make(map[fleet.Target]bool)
	for {
		age := s.age()
		if age >= cacheTime {
			return
		}
		s.askCaches(ctx, asked, age >= cacheAlive)
		s.retellCaches()
		if s.clock.Sleep(ctx, cachePeriod) != nil {
			return
		}
	}
}

// age is the time for which this router has known a configuration.
func (s *Service) age() time.Duration {
	known := s.site.Table() != nil
	s.mu.Lock()
	defer s.mu.Unlock()
	if !known {
		return 0
	}
	if s.knownAt.IsZero() {
		s.knownAt = s.clock.Now()
	}
	return s.clock.Now().Sub(s.knownAt)
}

// askCaches asks each engine that falls to this router once.
func (s *Service) askCaches(ctx context.Context, asked map[fleet.Target]bool, alive bool) {
	table := s.site.Table()
	if table == nil {
		return
	}
	routers := s.askers(alive)
	for _, service := range table.Config.Services {
		if !service.Engine {
			continue
		}
		for _, t := range s.site.Available(service.Name) {
			if asked[t.ID] || firstFor(t.ID, routers) != s.self {
				continue
			}
			if alive && s.hasCache(t.ID) {
				continue // another router has asked it
			}
			asked[t.ID] = true
			go s.askCache(ctx, t.ID)
		}
	}
}

func (s *Service) hasCache(id fleet.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.HasPrompts(id)
}

// askers returns the routers among which engines are dealt out: those on the VM
// list, which a starting router knows as soon as the engines, and later those
// that are alive.
func (s *Service) askers(alive bool) []fleet.VM {
	if !alive {
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

// firstFor returns the router that ranks first for a target.
func firstFor(id fleet.Target, routers []fleet.VM) fleet.VM {
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

// askCache asks one engine for its cache.
func (s *Service) askCache(ctx context.Context, id fleet.Target) {
	t, ok := s.site.Lookup(id)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(cacheTimeout, cancel)
	defer stop()
	cached, err := s.targets.CachedPrefixes(ctx, t)
	if err != nil {
		s.logger.WithError(err).WithField("target", id).Warn("Cannot list the cache.")
		return
	}
	now := s.clock.Now()
	s.mu.Lock()
	s.balancer.AddCached(now, id, cached)
	s.listings = append(s.listings, listing{target: id, cached: cached, toldAt: now})
	s.mu.Unlock()
	s.logger.WithFields(logrus.Fields{"target": id, "prompts": len(cached)}).Info("Cache is listed.")
}

// listing is what a target has said of its cache.
type listing struct {
	target fleet.Target
	cached []uint64
	// toldAt is the time at which it was told last, and again how often it was
	// told once more.
	toldAt time.Time
	again  int
}

// retellCaches tells lists again that are due.
func (s *Service) retellCaches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for i := range s.listings {
		l := &s.listings[i]
		if l.again >= retellTimes || now.Sub(l.toldAt) < retellPeriod {
			continue
		}
		l.toldAt = now
		l.again++
		s.balancer.AddCached(now, l.target, l.cached)
	}
}

// tellCaches sends what is known of all caches to routers that are new. While
// this router is young itself, others may lack what it has asked engines for.
func (s *Service) tellCaches(view *members.Snapshot) {
	tree := s.tree.Load()
	young := s.age() < cacheTime
	newcomers := s.noteAlive(view)
	for _, m := range view.Members {
		if m.VM == s.self || m.Status != members.StateAlive || s.greeted[m.VM] == m.Incarnation {
			continue
		}
		s.greeted[m.VM] = m.Incarnation
		if s.greets(tree, m.VM) || young && tree.IsMesh() {
			s.sendCaches(m.VM)
		}
	}
	hub := tree.Parent()
	if hub != s.greetedHub && young && hub != "" {
		s.sendCaches(hub)
	}
	if hub != s.greetedHub || newcomers {
		s.mu.Lock()
		s.writers.tellAll()
		s.mu.Unlock()
	}
	s.greetedHub = hub
}

// noteAlive notes the processes that are alive and reports whether some were
// not before.
func (s *Service) noteAlive(view *members.Snapshot) bool {
	alive := make(map[fleet.VM]fleet.Incarnation)
	newcomers := false
	for _, m := range view.Members {
		if m.Status != members.StateAlive {
			continue
		}
		alive[m.VM] = m.Incarnation
		if before, ok := s.alive[m.VM]; !ok || before != m.Incarnation {
			newcomers = true
		}
	}
	s.alive = alive
	return newcomers
}

// greets reports whether it falls to this router to tell a new one.
func (s *Service) greets(tree *hubs.Tree, vm fleet.VM) bool {
	if !tree.IsMesh() {
		return tree.IsHub() && slices.Contains(tree.Members(), vm)
	}
	others := slices.DeleteFunc(append(tree.ForwardTo(""), s.self), func(other fleet.VM) bool { return other == vm })
	return firstFor(fleet.Target(vm), others) == s.self
}

func (s *Service) sendCaches(to fleet.VM) {
	s.mu.Lock()
	now := s.clock.Now()
	known := s.balancer.Placements(now)
	d := newDigest(s.newWriter("caches"), s.balancer.LocalLoads(now), outbox{prompts: known})
	s.mu.Unlock()
	if len(known) == 0 {
		return
	}
	s.sendDigest(d, []fleet.VM{to})
	s.logger.WithFields(logrus.Fields{"peer": to, "prompts": len(known)}).Info("Caches are told.")
}
