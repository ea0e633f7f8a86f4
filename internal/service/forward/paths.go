package forward

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// doubtTimeout is the time without a response after which a connection to the target
	// is opened, to see whether it can still be reached.
	doubtTimeout = 400 * time.Millisecond
	// probeTimeout limits the time to open a connection as a probe.
	probeTimeout = 300 * time.Millisecond
	// pathCheckPeriod is the interval of checks whether a probe is due.
	pathCheckPeriod = 100 * time.Millisecond
	// maxProbes limits the probes under way.
	maxProbes = 16
)

// sendDirect sends a request straight to its target, and records what that shows of the
// path to its service.
func (s *Service) sendDirect(ctx context.Context, req *TargetRequest) (*Response, error) {
	answered := make(chan struct{})
	defer close(answered)
	stop := s.clock.AfterFunc(doubtTimeout, func() {
		select {
		case <-answered:
		default:
			s.pathDoubted(req.Target.Service, req.Target.ID)
		}
	})
	defer stop()
	resp, err := s.targets.Send(ctx, req)
	var failure *SendError
	switch {
	case err == nil:
		s.pathReached(req.Target.Service, req.Target.ID)
	case ctx.Err() != nil:
	case errors.As(err, &failure) && failure.Unreachable:
		s.pathLost(req.Target.Service, req.Target.ID)
	default:
		s.pathDoubted(req.Target.Service, req.Target.ID)
	}
	return resp, err
}

// pathReached records that a target was reached.
func (s *Service) pathReached(service fleet.Service, id fleet.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.paths.Reached(s.clock.Now(), service, id) {
		return
	}
	s.countCutPaths()
	s.logger.WithFields(logrus.Fields{"service": service, "target": id}).Info("Targets can be reached again.")
}

// pathLost records that no connection to a target could be opened, and probes others.
func (s *Service) pathLost(service fleet.Service, id fleet.Target) {
	var all []fleet.Target
	for _, t := range s.site.Available(service) {
		all = append(all, t.ID)
	}
	s.mu.Lock()
	s.doubt(id)
	if !s.paths.IsCut(service) {
		s.holdDown(s.clock.Now(), service, id)
	}
	probe, cut := s.paths.Lost(s.clock.Now(), service, id, all)
	var silent []*send
	if cut {
		silent = s.abandon(service)
		s.forgetFailures(service, all)
		s.countCutPaths()
		s.logger.WithFields(logrus.Fields{"service": service, "target": id, "targets": len(all)}).
			Warn("This router can't reach most targets of a service.")
	}
	s.mu.Unlock()
	for _, snd := range silent {
		snd.timer.reset(0)
	}
	s.probe(probe)
}

// awaitResponse notes that a send waits for its response, until done is called.
func (s *Service) awaitResponse(snd *send) (done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[snd] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiting, snd)
	}
}

// abandon expects no response any more of the sends to a service whose path has failed.
// They are no load of their targets, and those that may be hedged are returned. The caller
// holds the lock.
func (s *Service) abandon(service fleet.Service) []*send {
	var silent []*send
	for snd := range s.waiting {
		if snd.choice.Target.Service != service || snd.unloaded {
			continue
		}
		s.dropWork(snd)
		snd.unloaded = true
		s.balancer.RequestEnded(snd.target())
		if snd.timer != nil {
			silent = append(silent, snd)
		}
	}
	return silent
}

// pathDoubted records that a target was silent or broke a connection, and probes it.
func (s *Service) pathDoubted(service fleet.Service, id fleet.Target) {
	s.mu.Lock()
	probe := s.paths.Doubted(s.clock.Now(), service, id)
	s.mu.Unlock()
	s.probe(probe)
}

// pathBroke records that a target's connection broke after it had responded, and probes it.
func (s *Service) pathBroke(service fleet.Service, id fleet.Target) {
	s.mu.Lock()
	probe := s.paths.Broke(s.clock.Now(), service, id)
	s.mu.Unlock()
	s.probe(probe)
}

// pathIsCut reports whether this router can't reach most targets of a service.
func (s *Service) pathIsCut(service fleet.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paths.IsCut(service)
}

// countCutPaths updates the number of services that can't be reached. The caller holds the
// lock.
func (s *Service) countCutPaths() {
	gauge := s.metrics.cutPaths
	gauge.Inc(int64(s.paths.CutServices()) - gauge.Count())
}

// probe opens a connection to each target in the background, unless too many are opened.
func (s *Service) probe(ids []fleet.Target) {
	for _, id := range ids {
		t, ok := s.site.Lookup(id)
		if !ok {
			continue
		}
		select {
		case s.probes <- struct{}{}:
		default:
			return
		}
		go func() {
			defer func() { <-s.probes }()
			s.probeOnce(id, t)
		}()
	}
}

// probeOnce opens a connection to a target and records the outcome.
func (s *Service) probeOnce(id fleet.Target, t sitestate.Target) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	stop := s.clock.AfterFunc(probeTimeout, cancel)
	defer stop()
	s.metrics.pathProbes.Inc(1)
	err := s.targets.Connect(ctx, sitestate.AvailableTarget{ID: id, Target: t})
	switch {
	case err == nil:
		s.pathReached(t.Service, id)
	case s.ctx.Err() == nil:
		s.pathLost(t.Service, id)
	}
}

// probePaths probes targets of services that can't be reached.
func (s *Service) probePaths(now time.Time) {
	s.mu.Lock()
	due := s.paths.Probes(now)
	s.countCutPaths()
	s.mu.Unlock()
	for _, id := range due {
		s.probe([]fleet.Target{id})
	}
}
