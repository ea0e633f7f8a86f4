package site

import (
	"context"
	"time"
)

// currentReadWait is how long requests wait for the read after a pause. It covers
// one scheduleCheckPeriod and a read.
const currentReadWait = 250 * time.Millisecond

// detectPause notes that this process was paused, so that the state may be older than
// it seems. The caller holds the lock.
func (s *Service) detectPause(now time.Time) {
	if !s.pause.Running(now) {
		return
	}
	s.resumedAt = now
	if s.currentRead == nil {
		s.currentRead = make(chan struct{})
	}
	s.logger.Warn("This process was paused. The log is read before targets are chosen.")
}

// readEnded lets requests go on that wait for a read which began after a pause. If the
// read failed, nothing newer can be had.
func (s *Service) readEnded(began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentRead != nil && !began.Before(s.resumedAt) {
		close(s.currentRead)
		s.currentRead = nil
	}
}

// AwaitCurrent waits, after this process was paused, until the log has been read again,
// for at most currentReadWait.
func (s *Service) AwaitCurrent(ctx context.Context) {
	s.mu.Lock()
	s.detectPause(s.clock.Now())
	read := s.currentRead
	s.mu.Unlock()
	if read == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(currentReadWait, cancel)
	defer stop()
	select {
	case <-read:
	case <-ctx.Done():
	}
}
