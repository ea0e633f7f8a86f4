package site

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/sitestate"
)

const (
	// announceRetry is the wait after a failed write of this router's row.
	announceRetry = 2 * time.Second
	// announceSpread is the time over which the routers write their rows again after
	// the log was restored from a copy without them.
	announceSpread = 2 * time.Second
)

// announce writes this router's row of the VM list, and writes it again each time
// that a restored log lacks it, until ctx ends.
func (s *Service) announce(ctx context.Context) {
	for {
		s.announceUntilWritten(ctx)
		select {
		case <-ctx.Done():
			return
		case <-s.announceWake:
		}
		if s.clock.Sleep(ctx, s.announceDelay()) != nil {
			return
		}
	}
}

// announceUntilWritten writes this router's row unless the log contains it, and
// retries until it succeeds or ctx ends.
func (s *Service) announceUntilWritten(ctx context.Context) {
	for ctx.Err() == nil && !s.isListed() {
		err := s.announceOnce(ctx)
		if err == nil {
			return
		}
		s.logger.WithError(err).Warn("Cannot write this VM's row of the VM list.")
		if s.clock.Sleep(ctx, announceRetry) != nil {
			return
		}
	}
}

// isListed reports whether the log contains this router's row. At the start it may
// contain the row of an earlier process, which is written again.
func (s *Service) isListed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced && s.state.VMListed(s.identity.Self().VM)
}

// wakeAnnounce makes announce check this router's row.
func (s *Service) wakeAnnounce() {
	select {
	case s.announceWake <- struct{}{}:
	default: // a check is pending already
	}
}

// announceDelay returns a random part of announceSpread.
func (s *Service) announceDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Float64() * float64(announceSpread))
}

// announceOnce writes this router's row within readTimeout, applies it and sends
// it to the other routers.
func (s *Service) announceOnce(ctx context.Context) error {
	tryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(readTimeout, cancel)
	defer stop()
	record, err := s.source.Announce(tryCtx, s.identity.Self())
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.announced = true
	from := s.state.Positions()
	s.mu.Unlock()
	end := from
	from.VMs, end.VMs = record.Offset, record.Offset+1
	update := &sitestate.Update{VMs: []sitestate.Record[sitestate.VM]{record}, From: from, End: end, Age: -1}
	s.apply(update, "self")
	s.broadcast(update, "")
	return nil
}
