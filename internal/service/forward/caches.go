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
	// knows, for cacheTime after the start.
	cachePeriod = 100 * time.Millisecond
	cacheTime   = 6 * time.Second
	// cacheAlive is the time after the start from which only routers that are
	// heard count for the choice of the one that asks an engine.
	cacheAlive = 1500 * time.Millisecond
	// cacheTimeout limits one list.
	cacheTimeout = time.Second
)

// learnCaches asks the engines that fall to this router for their caches.
func (s *Service) learnCaches(ctx context.Context) {
	start := s.clock.Now()
	asked := make(map[fleet.Target]bool)
	for s.clock.Now().Sub(start) < cacheTime {
		s.askCaches(ctx, asked, s.clock.Now().Sub(start) >= cacheAlive)
		if s.clock.Sleep(ctx, cachePeriod) != nil {
			return
		}
	}
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
			if asked[t.ID] || s.hasCache(t.ID) || firstFor(t.ID, routers) != s.self {
				continue
			}
			asked[t.ID] = true
			go s.askCache(ctx, t.ID)
		}
	}
}

func (s *Service) hasCache(id fleet.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Has(id)
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
	cached, err := s.targets.Cached(ctx, t)
	if err != nil {
		s.logger.WithError(err).WithField("target", id).Warn("Cannot list the cache.")
		return
	}
	s.mu.Lock()
	s.balancer.Listed(s.clock.Now(), id, cached)
	s.mu.Unlock()
	s.logger.WithFields(logrus.Fields{"target": id, "prompts": len(cached)}).Info("Cache is listed.")
}

// tellCaches sends what is known of all caches to routers that are new. While
// this router is young itself, others may lack what it has asked engines for.
func (s *Service) tellCaches(view *members.Snapshot) {
	tree := s.tree.Load()
	young := s.clock.Now().Sub(s.started) < cacheTime
	for _, m := range view.Members {
		if m.VM == s.self || m.Status != members.StateAlive || s.greeted[m.VM] == m.Incarnation {
			continue
		}
		s.greeted[m.VM] = m.Incarnation
		if s.greets(tree, m.VM) || young && tree.Mesh() {
			s.sendCaches(m.VM)
		}
	}
	if hub := tree.Above(); hub != s.greetedHub {
		s.greetedHub = hub
		if young && hub != "" {
			s.sendCaches(hub)
		}
	}
}

// greets reports whether it falls to this router to tell a new one.
func (s *Service) greets(tree *hubs.Tree, vm fleet.VM) bool {
	if !tree.Mesh() {
		return tree.IsHub() && slices.Contains(tree.Members(), vm)
	}
	others := slices.DeleteFunc(append(tree.Next(""), s.self), func(other fleet.VM) bool { return other == vm })
	return firstFor(fleet.Target(vm), others) == s.self
}

func (s *Service) sendCaches(to fleet.VM) {
	s.mu.Lock()
	now := s.clock.Now()
	d := newDigest(s.balancer.Own(now), outbox{prompts: s.balancer.Placements(now)})
	s.mu.Unlock()
	if len(d.Prompts) == 0 {
		return
	}
	s.sendDigest(d, []fleet.VM{to})
	s.logger.WithFields(logrus.Fields{"peer": to, "prompts": len(d.Prompts) / 2}).Info("Caches are told.")
}
