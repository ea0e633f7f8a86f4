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
	readLimit = 256
	// readGrace is the time beyond its wait after which a read counts as lost.
	readGrace = 3 * time.Second
	// retryMin and retryMax bound the wait after a failed read.
	retryMin = 200 * time.Millisecond
	retryMax = 2 * time.Second
	// pokeAge is the time that a read has at least before it is begun again
	// because the log should have more. A slow log answers within it.
	pokeAge = 4 * time.Second
)

// follow reads the stream until ctx ends.
func (s *Service) follow(ctx context.Context) {
	retry := retryMin
	located := false
	for ctx.Err() == nil {
		var err error
		if located {
			err = s.readOnce(ctx)
		} else {
			located, err = s.locate(ctx)
		}
		if err == nil {
			retry = retryMin
			continue
		}
		if ctx.Err() == nil {
			s.logger.WithError(err).Warn("Cannot read the configuration stream.")
		}
		if s.clock.Sleep(ctx, retry) != nil {
			return
		}
		retry = min(2*retry, retryMax)
	}
}

// locate finds where in the stream a new reader starts.
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

// readOnce reads one page. An interrupted read is no error.
func (s *Service) readOnce(ctx context.Context) error {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.interrupt = cancel
	from := s.state.Position()
	began := s.clock.Now()
	s.readBegan = began
	s.mu.Unlock()
	page, err := s.read(readCtx, from, readLimit, s.settings.ReadWait.Std())
	if err != nil {
		if readCtx.Err() != nil && ctx.Err() == nil && s.clock.Now().Sub(began) < s.settings.ReadWait.Std() {
			return nil
		}
		return err
	}
	if page.Next < from {
		return fmt.Errorf("the log ends at %d, below position %d that was read before", page.Next, from)
	}
	now := s.clock.Now()
	progress := false
	s.update(func(st *configstate.State) []configstate.Event {
		s.lastRead = now
		events := st.ApplyPage(page, began, now)
		progress = st.Position() != from
		return events
	})
	if !progress && now.Sub(began) < retryMin {
		// The log did not wait, or gave records out of order.
		return s.clock.Sleep(ctx, retryMin)
	}
	return nil
}

// poke begins the read under way again when it has had time to show what the
// log should have by now: its connection may be silent.
func (s *Service) poke() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interrupt != nil && s.clock.Now().Sub(s.readBegan) >= pokeAge {
		s.interrupt()
	}
}

func (s *Service) read(ctx context.Context, from uint64, limit int, wait time.Duration) (configstate.Page, error) {
	return readPage(ctx, s.clock, s.log, from, limit, wait)
}

// readPage reads one page of the stream and gives up some time after wait, in
// case the connection went silent.
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

// appendRecord appends one record and gives up after a time limit, in case the
// connection went silent.
func appendRecord(ctx context.Context, clock kernel.Clock, log logstream.Log, data []byte) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer clock.AfterFunc(appendLimit, cancel)()
	_, err := log.Append(ctx, Stream, data)
	if err != nil && !errors.Is(err, logstream.ErrRefused) {
		err = fmt.Errorf("%w: %w", logstream.ErrUnavailable, err)
	}
	return err
}
