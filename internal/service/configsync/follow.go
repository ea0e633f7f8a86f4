package configsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
)

const (
	// pageLimit is the largest number of records in one read.
	pageLimit = 256
	// readGrace is the time beyond its wait after which a read has failed.
	readGrace = 3 * time.Second
	// minRetryDelay and maxRetryDelay bound the exponential backoff after failed
	// reads.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// slowReadAge is the age from which a read is started again when the log
	// should have newer records. A slow log answers within this time.
	slowReadAge = 4 * time.Second
)

// follow reads the stream until ctx ends. Failed reads are retried with backoff.
func (s *Service) follow(ctx context.Context) {
	retry := minRetryDelay
	located := false
	for ctx.Err() == nil {
		var err error
		if located {
			err = s.readOnce(ctx)
		} else {
			located, err = s.locate(ctx)
		}
		if err == nil {
			retry = minRetryDelay
			continue
		}
		if ctx.Err() == nil {
			s.logger.WithError(err).Warn("Cannot read the configuration stream.")
		}
		if s.clock.Sleep(ctx, retry) != nil {
			return
		}
		retry = min(2*retry, maxRetryDelay)
	}
}

// locate sets the position at which a new reader starts: configstate.BootWindow
// records before the end if the stream is longer than that.
func (s *Service) locate(ctx context.Context) (bool, error) {
	page, err := s.read(ctx, 0, 1, 0)
	if err != nil {
		return false, err
	}
	s.update(func(st *configstate.State) []configstate.Event {
		if page.Next-page.Earliest > configstate.BootWindow {
			st.Restart(page.Next - configstate.BootWindow)
		}
		return nil
	})
	return true, nil
}

// readOnce reads one page and applies it to the state. A read that
// restartSlowRead canceled within the read wait is no error.
func (s *Service) readOnce(ctx context.Context) error {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.cancelRead = cancel
	from := s.state.Position()
	start := s.clock.Now()
	s.readStarted = start
	s.mu.Unlock()
	page, err := s.read(readCtx, from, pageLimit, s.settings.ReadWait.Std())
	if err != nil {
		if readCtx.Err() != nil && ctx.Err() == nil && s.clock.Now().Sub(start) < s.settings.ReadWait.Std() {
			return nil
		}
		return err
	}
	if page.Next < from {
		return fmt.Errorf("the log ends at %d, below position %d, which was read earlier", page.Next, from)
	}
	now := s.clock.Now()
	progress := false
	s.update(func(st *configstate.State) []configstate.Event {
		s.lastRead = now
		events := st.ApplyPage(page, start, now)
		progress = st.Position() != from
		return events
	})
	if !progress && now.Sub(start) < minRetryDelay {
		// The log did not wait, or returned records out of order.
		return s.clock.Sleep(ctx, minRetryDelay)
	}
	return nil
}

// restartSlowRead cancels the current read if it has lasted slowReadAge without
// returning the records that the log should have by now, because its connection
// may be silent. follow then starts the next read.
func (s *Service) restartSlowRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelRead != nil && s.clock.Now().Sub(s.readStarted) >= slowReadAge {
		s.cancelRead()
	}
}

// read reads one page of the stream for the service.
func (s *Service) read(ctx context.Context, from uint64, limit int, wait time.Duration) (configstate.Page, error) {
	return readPage(ctx, s.clock, s.log, from, limit, wait)
}

// readPage reads one page of up to limit records. The log holds the read for up to
// wait if there are none. The read fails readGrace after that, in case the
// connection is silent.
func readPage(
	ctx context.Context, clock kernel.Clock, log logstream.Log, from uint64, limit int, wait time.Duration,
) (configstate.Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer clock.AfterFunc(wait+readGrace, cancel)()
	page, err := log.Read(ctx, Stream, from, limit, wait)
	if err != nil {
		return configstate.Page{}, err
	}
	out := configstate.Page{Earliest: page.Earliest, Next: page.Next}
	for _, r := range page.Records {
		out.Records = append(out.Records, configstate.Record(r))
	}
	return out, nil
}

// appendRecord appends one record. It fails after appendTimeout, in case the
// connection is silent. Errors wrap logstream.ErrRefused if the log refused the
// record, or else logstream.ErrUnavailable.
func appendRecord(ctx context.Context, clock kernel.Clock, log logstream.Log, data []byte) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer clock.AfterFunc(appendTimeout, cancel)()
	_, err := log.Append(ctx, Stream, data)
	if err != nil && !errors.Is(err, logstream.ErrRefused) {
		err = fmt.Errorf("%w: %w", logstream.ErrUnavailable, err)
	}
	return err
}
