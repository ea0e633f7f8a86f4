package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/quarantine"
)

// QuarantineLog keeps the hashes of requests and prompt parts in quarantine in the
// platform's log, so that they outlive all routers. The site's source implements it.
type QuarantineLog interface {
	// QuarantinedParts lists the parts in quarantine.
	QuarantinedParts(ctx context.Context) ([]uint64, error)
	// SetQuarantined records that a part is in quarantine, or no longer.
	SetQuarantined(ctx context.Context, part uint64, quarantined bool) error
}

const (
	// quarantineLogTimeout limits one call to the log, quarantineLogWait is the wait after
	// a failed one, and quarantineLogTries the number of tries.
	quarantineLogTimeout = 1500 * time.Millisecond
	quarantineLogWait    = time.Second
	quarantineLogTries   = 5
	// maxPartWrites is the number of writes that wait; further ones are dropped.
	maxPartWrites = 64
	// quarantineReadSpread is the time over which routers that start together read the log.
	quarantineReadSpread = time.Second
)

// partWrite is a change of the log that is due.
type partWrite struct {
	part        uint64
	quarantined bool
}

// writePart makes the one router that probes a part write that it is in quarantine, or
// no longer. The caller holds the lock.
func (s *Service) writePart(c quarantine.Change) {
	if c.State != quarantine.Quarantined && !c.Released || !s.probesPart(c.Part) {
		return
	}
	select {
	case s.partWrites <- partWrite{part: c.Part, quarantined: c.State == quarantine.Quarantined}:
	default: // the next change of the part is written again
	}
}

// writeParts writes the changes that are due to the log, until ctx ends.
func (s *Service) writeParts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-s.partWrites:
			s.withLog(ctx, "write", func(ctx context.Context) error {
				return s.quarantineLog.SetQuarantined(ctx, w.part, w.quarantined)
			})
		}
	}
}

// withLog makes a call to the log, and repeats it while it fails, quarantineLogTries
// times at most.
func (s *Service) withLog(ctx context.Context, step string, call func(context.Context) error) {
	for range quarantineLogTries {
		callCtx, cancel := context.WithCancel(ctx)
		stop := s.clock.AfterFunc(quarantineLogTimeout, cancel)
		err := call(callCtx)
		stop()
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		s.logger.WithError(err).WithField("step", step).Warn("Cannot use the log of quarantined requests and prompt parts.")
		if s.clock.Sleep(ctx, quarantineLogWait) != nil {
			return
		}
	}
}

// learnQuarantine reads the parts in quarantine from the log once, after a random part of
// quarantineReadSpread: many routers may start together.
func (s *Service) learnQuarantine(ctx context.Context) {
	if s.clock.Sleep(ctx, time.Duration(s.randomFloat()*float64(quarantineReadSpread))) != nil {
		return
	}
	s.withLog(ctx, "read", s.readQuarantine)
}

// readQuarantine reads the parts in quarantine and announces them.
func (s *Service) readQuarantine(ctx context.Context) error {
	parts, err := s.quarantineLog.QuarantinedParts(ctx)
	if err != nil {
		return fmt.Errorf("read quarantined parts: %w", err)
	}
	s.logger.WithFields(logrus.Fields{"parts": len(parts)}).Info("Quarantined requests and prompt parts read.")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logParts(s.quarantine.Restore(s.clock.Now(), parts), fromLog)
	return nil
}
