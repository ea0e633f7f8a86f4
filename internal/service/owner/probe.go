package owner

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/admission"
	"github.com/zinniafork/zinniafork/internal/core/health"
	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/target"
)

// probe reads the reports of a target while this router owns it.
func (s *Service) probe(ctx context.Context, t *ownedTarget) {
	for ctx.Err() == nil {
		period := s.probeOnce(ctx, t)
		over := make(chan struct{})
		cancel := s.clock.AfterFunc(period, func() { close(over) })
		select {
		case <-ctx.Done():
		case <-t.probeNow:
		case <-over:
		}
		cancel()
	}
}

// probeOnce reads one report and returns the time until the next.
func (s *Service) probeOnce(ctx context.Context, t *ownedTarget) time.Duration {
	s.mu.Lock()
	period, lag := s.current.Load.ProbePeriod.Std(), s.current.Load.ReportLag.Std()
	client := t.client
	s.mu.Unlock()
	reporter, ok := client.(target.Reporter)
	if !ok {
		return period
	}
	asked := s.clock.Now()
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
	s.reported(t, report, asked.Add(-reportAge(report, lag)))
	if t.admission.NeedsReport(s.clock.Now()) {
		return min(period, firstProbes)
	}
	return period
}

// firstProbes is the time between reads of reports while a target's state or
// the work of earlier owners is not known.
const firstProbes = 200 * time.Millisecond

// reportAge returns the greatest age that a report's figures may have had when
// it was asked for. A report that tells its age is believed.
func reportAge(r target.Report, lag time.Duration) time.Duration {
	if !r.At.IsZero() {
		return time.Duration(r.AgeMS) * time.Millisecond
	}
	return lag
}

// reported takes a report whose figures were true at taken or later. The
// caller holds the lock.
func (s *Service) reported(t *ownedTarget, r target.Report, taken time.Time) {
	t.reported = r
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
		s.turnedCold(t)
	}
	s.apply(t, actions)
}

// turnedCold notes that a target has lost its cache.
func (s *Service) turnedCold(t *ownedTarget) {
	s.logger.WithField("target", t.config.Name).Warn("Target turned cold.")
	s.memory.ForgetTarget(placement.ShortHash(t.hash))
	signal(t.probeNow)
}
