package forward

import (
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/core/selfreport"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/rollout"
)

// minWarmRatio is the ratio of a service's targets that must be warm and in use for
// cold targets to be skipped.
const minWarmRatio = 0.5

// targetGate is the balance.Gate of one choice. It excludes ejected targets, and
// limits the request rate of cold targets and of those that name a limit.
type targetGate struct {
	s       *Service
	service *routing.Service
	rule    targetRule
	// usedUp is set once a target is excluded for its limit.
	usedUp bool
	// skipCold excludes cold targets.
	skipCold bool
	// ignoreOutliers admits ejected targets, for when too many are ejected.
	ignoreOutliers bool
}

// targetRule says which targets a choice may take.
type targetRule struct {
	limitRule
	// version is the version at which a stream must go on, empty for any.
	version string
	// versions are those that a roll-out allows.
	versions *rollout.Rule
}

// Allow reports whether a target may get a request now.
func (g *targetGate) Allow(now time.Time, t *sitestate.AvailableTarget) bool {
	if !mayGoOnAt(g.rule.version, t) || !g.rule.versions.Allows(t.ID, t.Version) {
		return false
	}
	if g.s.reports.State(now, t.ID.Ref(), t.Born) != selfreport.Accepting {
		return false
	}
	if !g.s.withinLimit(now, t, g.rule.limitRule) {
		g.usedUp = true
		return false
	}
	if now.Before(t.ColdUntil) {
		if g.skipCold || !g.s.cold.Allow(now, t.ID, g.service.ColdRate) {
			return false
		}
	}
	return g.ignoreOutliers || g.s.outliers.State(now, t.ID.Ref()) != outlier.Ejected
}

// chooseTarget chooses a target and records the start of a request to it. If the target
// names a limit and the rule has no grant for it, needsGrant is true and nothing is
// recorded. It also returns the number of available targets of the service. Cold targets
// are considered when too few are warm or no warm target may get the request.
func (s *Service) chooseTarget(now time.Time, service *routing.Service, r *balance.Request, rule targetRule) (choice balance.Choice, available int, needsGrant bool) {
	targets := s.site.Available(service.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	targets = s.withoutLeaving(now, targets)
	g := &targetGate{s: s, service: service, rule: rule, skipCold: s.enoughWarm(now, targets)}
	// What a target takes within its limit is worth most to prompts in its cache.
	r.CachedOnly = s.isLimited
	g.ignoreOutliers = !outlier.MayEject(s.countNotInUse(now, targets), len(targets))
	choice = s.balancer.Choose(now, r, targets, g)
	if choice.Target.ID == "" && g.skipCold {
		g.skipCold = false
		choice = s.balancer.Choose(now, r, targets, g)
	}
	if choice.Target.ID == "" && rule.version != "" && !g.ignoreOutliers {
		// A stream has no other targets to go on at.
		g.ignoreOutliers = true
		choice = s.balancer.Choose(now, r, targets, g)
	}
	if choice.Target.ID == "" {
		if choice.Reason == balance.None && g.usedUp {
			choice.Reason = limitUsedUp
		}
		return choice, len(targets), false
	}
	t := &choice.Target
	if rule.granted == nil && (s.isLimited(t) || s.isBrittle(t)) {
		return choice, len(targets), true
	}
	if now.Before(t.ColdUntil) {
		s.cold.Take(now, t.ID, service.ColdRate)
	}
	if s.outliers.State(now, t.ID.Ref()) == outlier.Trial {
		s.outliers.StartTrial(t.ID.Ref())
	}
	s.balancer.RequestStarted(now, t.ID, r.Prefixes)
	return choice, len(targets), false
}

// withoutLeaving returns the targets that have not said that they are leaving.
func (s *Service) withoutLeaving(now time.Time, targets []sitestate.AvailableTarget) []sitestate.AvailableTarget {
	return slices.DeleteFunc(targets, func(t sitestate.AvailableTarget) bool {
		return s.reports.State(now, t.ID.Ref(), t.Born) == selfreport.Leaving
	})
}

// firstReturn returns when the first paused target of a service takes requests again,
// zero if none is paused.
func (s *Service) firstReturn(now time.Time, service fleet.Service) time.Time {
	targets := s.site.Available(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	var first time.Time
	for i := range targets {
		until := s.reports.PausedUntil(now, targets[i].ID.Ref(), targets[i].Born)
		if !until.IsZero() && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	return first
}

// takeReport records what a target says of itself in its response to a request that was
// sent at a given time.
func (s *Service) takeReport(request string, t *sitestate.AvailableTarget, resp *Response, sentAt time.Time) {
	if !resp.Stamped && !resp.NotRun && resp.RetryAfter == 0 {
		return // nothing shows that the target wrote it
	}
	now := s.clock.Now()
	s.mu.Lock()
	s.reports.ReportPause(now, t.ID.Ref(), t.Born, resp.RetryAfter)
	isNew := resp.Leaving && s.reports.ReportLeaving(now, t.ID.Ref(), t.Born)
	if isNew {
		s.leaving = append(s.leaving, leavingTarget{target: t.ID.Ref(), born: uint32(t.Born)})
	}
	limitChanged := s.takeLimit(now, t, resp, sentAt)
	brittleChanged := s.takeBrittle(now, t, resp, sentAt)
	s.takeLoad(now, t, resp.Load)
	s.mu.Unlock()
	entry := s.logger.WithFields(logrus.Fields{"request": request, "target": t.ID})
	if limitChanged {
		logLimit(entry, resp.Limited, resp.RateLimit)
	}
	if brittleChanged {
		logBrittle(entry, resp.Brittle, float64(resp.MaxRejected))
	}
	if isNew {
		entry.Info("Target says that it is leaving.")
	}
	if resp.RetryAfter > 0 {
		entry.WithField("pause_ms", resp.RetryAfter.Milliseconds()).Info("Target asks for a pause.")
	}
}

// accepting reports whether a target has neither said that it is leaving nor asked for
// a pause.
func (s *Service) accepting(now time.Time, t *sitestate.AvailableTarget) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports.State(now, t.ID.Ref(), t.Born) == selfreport.Accepting
}

// enoughWarm reports whether enough targets are warm and in use to skip cold ones.
func (s *Service) enoughWarm(now time.Time, targets []sitestate.AvailableTarget) bool {
	warm := 0
	for i := range targets {
		if !now.Before(targets[i].ColdUntil) && s.outliers.State(now, targets[i].ID.Ref()) == outlier.InUse {
			warm++
		}
	}
	return warm > 0 && float64(warm) >= minWarmRatio*float64(len(targets))
}

// countNotInUse returns the number of targets that are ejected or on trial.
func (s *Service) countNotInUse(now time.Time, targets []sitestate.AvailableTarget) int {
	n := 0
	for i := range targets {
		if s.outliers.State(now, targets[i].ID.Ref()) != outlier.InUse {
			n++
		}
	}
	return n
}

// sendEnded records the end of a send. With observed false, the outcome does not count for
// or against the target, and neither does a failure of the path to it.
func (s *Service) sendEnded(now time.Time, ended *send, outcome outlier.Outcome, observed bool) {
	defer s.releaseSlot(ended.slot, ended.resp != nil && ended.resp.NotRun)
	failed := false
	defer func() { s.returnPlaced(now, ended, failed) }()
	id, service := ended.target(), ended.choice.Target.Service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endWork(now, ended, outcome == outlier.OK && observed)
	if !ended.unloaded {
		s.balancer.RequestEnded(id)
	}
	if outcome != outlier.OK && (ended.pathFailed || ended.via == "" && s.paths.IsCut(service)) {
		observed = false
	}
	ended.versionEnded(now, outcome != outlier.OK, observed)
	failed = observed && outcome != outlier.OK
	if !observed {
		s.outliers.CancelTrial(id.Ref())
		return
	}
	if s.outliers.Observe(now, id.Ref(), outcome) {
		s.logger.WithField("target", id).Info("Target ejected after failures.")
	}
	if outcome != outlier.OK && ended.via == "" && !saysFailure(ended.resp) {
		s.holdFailure(now, service, id)
	}
}

// saysFailure reports whether a response is the word of a target, or of something at its address,
// that it failed. Any other failure of a send may be one of the path to the target.
func saysFailure(resp *Response) bool {
	return resp != nil && (resp.NotRun || resp.Misdirected || !resp.Stamped || resp.Status >= http.StatusInternalServerError)
}

// inUse reports whether a target is neither ejected nor on trial, and has not asked
// for a pause.
func (s *Service) inUse(id fleet.Target, born int64) bool {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outliers.State(now, id.Ref()) == outlier.InUse && s.reports.State(now, id.Ref(), born) != selfreport.Paused
}
