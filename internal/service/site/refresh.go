package site

import (
	"context"
	"fmt"
	"time"
)

// refreshTimeout limits a read of the log that a request waits for.
const refreshTimeout = 400 * time.Millisecond

// Refresh reads the log now, so that what was written to it before is known. Calls at the
// same time share a read that began after each of them. It fails if the log can't be read.
func (s *Service) Refresh(ctx context.Context) error {
	arrived := s.clock.Now()
	for {
		result, err, _ := s.refreshes.Do("", func() (any, error) {
			began := s.clock.Now()
			// The read serves other requests too, whose callers have not left.
			ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
			defer cancel()
			stop := s.clock.AfterFunc(refreshTimeout, cancel)
			defer stop()
			return began, s.read(ctx, false)
		})
		if err != nil {
			return fmt.Errorf("refresh: %w", err)
		}
		if began, ok := result.(time.Time); ok && !began.Before(arrived) {
			return nil
		}
	}
}
