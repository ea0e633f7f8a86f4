package owner

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/admission"
	"github.com/zinniafork/zinniafork/internal/core/health"
	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/target"
)

// probeLoop reads the load reports of a target periodically, and at once when
// probeNow is signalled, until ctx ends with the ownership of the target.
func (s *Service) probeLoop(ctx context.Context, t *ownedTarget) {
	for ctx.Err() == nil {
		period := s.probeOnce(ctx, t)
		due := make(chan struct{})
		cancel := s.clock.AfterFunc(period, func() { close(due) })
		select {
		case <-ctx.Done():
		case <-t.probeNow:
		case <-due:
		}
		cancel()
	}
}

// probeOnce reads one load report and returns the time until the next read.
// Targets without load reports are not read. A read that takes longer than the
// probe period is cancelled and counts as a failure.
func (s *Service) probeOnce(ctx context.Context, t *ownedTarget) time.Duration {
	s.mu.Lock()
	period, lag := s.current.Load.ProbePeriod.Std(), s.current.Load.ReportLag.Std()
	client := t.client
	s.mu.Unlock()
	reporter, ok := client.(target.Reporter)
	if !ok {
		return period
	}
	requestedAt := s.clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(period, cancel)
	defer stop()
	report, err := reporter.Report(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.admission.Held() {
		return period
	}
	if err != nil {
		t.admission.Health().RecordFailure()
		s.logger.WithError(err).WithField("target", t.config.Name).Info("Probe failed.")
		return period
	}
	s.applyReport(t, report, requestedAt.Add(-maxReportAge(report, lag)))
	if t.admission.NeedsReport(s.clock.Now()) {
		return min(period, initialProbePeriod)
	}
	return period
}

// initialProbePeriod is the time between reads while the target's state or the
// remaining work of earlier owners is unknown.
const initialProbePeriod = 200 * time.Millisecond

// maxReportAge returns the maximum age that the values of a report had when the
// report was requested: the age that the report states, or else lag.
func maxReportAge(r target.Report, lag time.Duration) time.Duration {
	if !r.At.IsZero() {
		return time.Duration(r.AgeMS) * time.Millisecond
	}
	return lag
}

// applyReport applies a report whose values were valid at taken or later. The
// caller holds the lock.
func (s *Service) applyReport(t *ownedTarget, r target.Report, taken time.Time) {
	t.lastReport = r
	lost, actions := t.admission.ApplyReport(s.clock.Now(), admission.Report{
		Running: r.Running,
		Health: health.Report{
			TakenAt:     taken,
			Incarnation: r.Incarnation,
			Slots:       r.Slots,
			Cold:        r.Cold,
		},
	})
	if lost {
		s.targetTurnedCold(t)
	}
	s.apply(t, actions)
}

// targetTurnedCold discards the recorded chats of a target that has lost its
// cache, and requests a probe. The caller holds the lock.
func (s *Service) targetTurnedCold(t *ownedTarget) {
	s.logger.WithField("target", t.config.Name).Warn("Target has lost its cache.")
	s.affinity.ForgetTarget(placement.ShortHash(t.hash))
	signal(t.probeNow)
}
