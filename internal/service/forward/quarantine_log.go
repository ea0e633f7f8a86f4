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
	// quarantineLogTimeout limits one call to the log, and quarantineLogWait is the wait after
	// a failed one. Together they are less than the three seconds after an outage in which
	// routers count as in touch again.
	quarantineLogTimeout = 1500 * time.Millisecond
	quarantineLogWait    = time.Second
	// quarantineReadSpread is the time over which routers that start together read the log.
	quarantineReadSpread = time.Second
)

// partLog keeps what the log of parts in quarantine lacks.
type partLog struct {
	// pending are the changes that this router is to write: true for a part in quarantine.
	pending map[uint64]bool
	// written are the parts that this router has written or read there.
	written map[uint64]bool
	// wake holds a value when there may be something to write.
	wake chan struct{}
}

func newPartLog() partLog {
	return partLog{pending: make(map[uint64]bool), written: make(map[uint64]bool), wake: make(chan struct{}, 1)}
}

// add makes a change be written.
func (l *partLog) add(part uint64, quarantined bool) {
	l.pending[part] = quarantined
	select {
	case l.wake <- struct{}{}:
	default: // a check is pending already
	}
}

// next returns a change that is to be written.
func (l *partLog) next() (part uint64, quarantined, ok bool) {
	for part, quarantined = range l.pending {
		return part, quarantined, true
	}
	return 0, false, false
}

// done records that a change was written. It may have been replaced by another one.
func (l *partLog) done(part uint64, quarantined bool) {
	if l.pending[part] == quarantined {
		delete(l.pending, part)
	}
	if quarantined {
		l.written[part] = true
	} else {
		delete(l.written, part)
	}
}

// writePart makes the one router that probes a part write that it is in quarantine, or
// no longer. The caller holds the lock.
func (s *Service) writePart(c quarantine.Change) {
	switch {
	case c.State != quarantine.Quarantined && !c.Released:
	case s.probesPart(c.Part):
		s.partLog.add(c.Part, c.State == quarantine.Quarantined)
	default:
		delete(s.partLog.pending, c.Part)
		delete(s.partLog.written, c.Part)
	}
}

// writeMissingParts makes this router write the quarantines that it is to write and that it
// has not seen in the log: the router that had to before may have been lost. The caller holds
// the lock.
func (s *Service) writeMissingParts() {
	for _, part := range s.quarantine.Parts() {
		if !s.partLog.written[part] && s.probesPart(part) {
			s.partLog.add(part, true)
		}
	}
}

// rewriteParts makes all quarantines be written again, as the log has lost records. The
// caller holds the lock.
func (s *Service) rewriteParts() {
	clear(s.partLog.written)
	s.writeMissingParts()
}

// writeParts writes the changes that are due to the log, until ctx ends.
func (s *Service) writeParts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.partLog.wake:
		}
		for s.writeNextPart(ctx) {
			continue
		}
	}
}

// writeNextPart writes one change, and reports whether there may be more.
func (s *Service) writeNextPart(ctx context.Context) bool {
	s.mu.Lock()
	part, quarantined, ok := s.partLog.next()
	s.mu.Unlock()
	if !ok {
		return false
	}
	if !s.withLog(ctx, "write", func(ctx context.Context) error {
		return s.quarantineLog.SetQuarantined(ctx, part, quarantined)
	}) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partLog.done(part, quarantined)
	return true
}

// withLog makes a call to the log, and repeats it until it succeeds. It returns false if ctx
// ends before.
func (s *Service) withLog(ctx context.Context, step string, call func(context.Context) error) bool {
	for {
		callCtx, cancel := context.WithCancel(ctx)
		stop := s.clock.AfterFunc(quarantineLogTimeout, cancel)
		err := call(callCtx)
		stop()
		cancel()
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		s.logger.WithError(err).WithField("step", step).Warn("Cannot use the log of quarantined requests and prompt parts.")
		if s.clock.Sleep(ctx, quarantineLogWait) != nil {
			return false
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
	for _, part := range parts {
		s.partLog.written[part] = true
	}
	s.logParts(s.quarantine.Restore(s.clock.Now(), parts), fromLog)
	return nil
}
