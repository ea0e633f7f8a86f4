package forward

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// warmShare is the share of a service's targets that must be warm for cold ones
// to be left alone.
const warmShare = 0.5

// gate lets requests through to targets that are not out and, while cold, only
// at their rate.
type gate struct {
	s       *Service
	service *routing.Service
	// spareCold leaves cold targets alone.
	spareCold bool
	// trustAll ignores failures, when too many targets are out.
	trustAll bool
}

// Allow reports whether a target may get a request now.
func (g *gate) Allow(now time.Time, t *sitestate.AvailableTarget) bool {
	if now.Before(t.ColdUntil) {
		if g.spareCold || !g.s.cold.Allow(now, t.ID, g.service.ColdRate) {
			return false
		}
	}
	return g.trustAll || g.s.outliers.State(now, t.ID.Ref()) != outlier.Ejected
}

// choose picks a target and notes that it gets the request.
func (s *Service) choose(now time.Time, service *routing.Service, r *balance.Request) (balance.Choice, int) {
	targets := s.site.Available(service.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &gate{s: s, service: service, spareCold: s.enoughWarm(now, targets)}
	g.trustAll = !outlier.MayEject(s.countOut(now, targets), len(targets))
	choice := s.balancer.Choose(now, r, targets, g)
	if choice.Reason == balance.None && g.spareCold {
		g.spareCold = false
		choice = s.balancer.Choose(now, r, targets, g)
	}
	if choice.Reason == balance.None {
		return choice, len(targets)
	}
	t := &choice.Target
	if now.Before(t.ColdUntil) {
		s.cold.Take(now, t.ID, service.ColdRate)
	}
	if s.outliers.State(now, t.ID.Ref()) == outlier.Trial {
		s.outliers.StartTrial(t.ID.Ref())
	}
	s.balancer.RequestStarted(now, t.ID, r.Prefixes)
	return choice, len(targets)
}

// enoughWarm reports whether enough targets are warm and in use to leave the
// cold ones alone.
func (s *Service) enoughWarm(now time.Time, targets []sitestate.AvailableTarget) bool {
	warm := 0
	for i := range targets {
		if !now.Before(targets[i].ColdUntil) && s.outliers.State(now, targets[i].ID.Ref()) == outlier.InUse {
			warm++
		}
	}
	return warm > 0 && float64(warm) >= warmShare*float64(len(targets))
}

func (s *Service) countOut(now time.Time, targets []sitestate.AvailableTarget) int {
	out := 0
	for i := range targets {
		if s.outliers.State(now, targets[i].ID.Ref()) != outlier.InUse {
			out++
		}
	}
	return out
}

// release notes the end of a send.
func (s *Service) release(now time.Time, id fleet.Target, outcome outlier.Outcome, counts bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.RequestEnded(id)
	if !counts {
		s.outliers.CancelTrial(id.Ref())
		return
	}
	if s.outliers.Observe(now, id.Ref(), outcome) {
		s.logger.WithField("target", id).Info("Target is out after failures.")
	}
}

// inUse reports whether a target has not been taken out for failures.
func (s *Service) inUse(id fleet.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outliers.State(s.clock.Now(), id.Ref()) == outlier.InUse
}
