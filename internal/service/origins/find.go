package origins

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/origin"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire"
)

const (
	// readTimeout limits a read of the log, and readRetry is the time after a failed one in
	// which there is no other.
	readTimeout = 500 * time.Millisecond
	readRetry   = time.Second
	// askTimeout limits the answer of a recorder, which may read the log, and askAgainTimeout
	// that of the next one.
	askTimeout      = 600 * time.Millisecond
	askAgainTimeout = 250 * time.Millisecond
	// witnessTimeout limits the answer of a router that is asked what it knows.
	witnessTimeout = 200 * time.Millisecond
	// lookupTimeout limits a whole lookup.
	lookupTimeout = 1500 * time.Millisecond
)

// Find returns the origin of the stream that an attempt began.
func (s *Service) Find(ctx context.Context, attempt string, service fleet.Service) (origin.Origin, origin.Verdict) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(lookupTimeout, cancel)
	defer stop()
	o, verdict := s.find(ctx, streamOf(attempt), service)
	s.metrics.found(verdict)
	return o, verdict
}

// find asks the recorder of a stream that is not known here. Without one it reads the log.
func (s *Service) find(ctx context.Context, id origin.Stream, service fleet.Service) (origin.Origin, origin.Verdict) {
	if o, verdict := s.decide(id, service); verdict == origin.Known {
		return o, verdict
	}
	for _, timeout := range [...]time.Duration{askTimeout, askAgainTimeout} {
		recorder := s.recorderOf(id)
		if recorder == s.self {
			break
		}
		o, verdict, err := s.ask(ctx, recorder, id, service, timeout)
		if err == nil && verdict != origin.Unaware {
			return o, verdict
		}
		if err == nil {
			break // this router may know the service for longer
		}
		if ctx.Err() != nil {
			return origin.Origin{}, origin.Unaware
		}
		s.recorderFailed(recorder, err)
	}
	return s.findHere(ctx, id, service)
}

// ask asks a recorder.
func (s *Service) ask(ctx context.Context, recorder fleet.VM, id origin.Stream, service fleet.Service, timeout time.Duration) (origin.Origin, origin.Verdict, error) {
	answer, err := s.query(ctx, recorder, &query{Asks: true, Stream: uint64(id), Service: service}, timeout)
	if err != nil {
		return origin.Origin{}, origin.Unaware, err
	}
	verdict, err := answer.verdict()
	if err != nil {
		return origin.Origin{}, origin.Unaware, fmt.Errorf("origin of %s: %w", recorder, err)
	}
	return origin.Origin{Service: answer.Service, Version: answer.Version}, verdict, nil
}

// findHere decides by what this router knows, and by the log if that is not enough. That a
// service has one version holds only for what the log says now: a router that was paused or
// cut off may not know the target at which the stream began, however little time has passed.
func (s *Service) findHere(ctx context.Context, id origin.Stream, service fleet.Service) (origin.Origin, origin.Verdict) {
	o, verdict := s.decide(id, service)
	if !isCertain(verdict) {
		o, verdict = s.findInLog(ctx, id, service)
	}
	if verdict != origin.Uniform {
		return o, verdict
	}
	if s.site.Refresh(ctx) != nil {
		if s.isCutOff() {
			return origin.Origin{}, origin.Unaware
		}
		return s.askWitnesses(ctx, id, service, o)
	}
	if o, verdict = s.decide(id, service); isCertain(verdict) {
		return o, verdict
	}
	return s.findInLog(ctx, id, service)
}

// isCertain reports whether a verdict does not depend on what the log says.
func isCertain(v origin.Verdict) bool { return v == origin.Known || v == origin.Uniform }

// findInLog decides by what this router knows and by the log. That a stream was not recorded
// holds only for a log that could be read now.
func (s *Service) findInLog(ctx context.Context, id origin.Stream, service fleet.Service) (origin.Origin, origin.Verdict) {
	read := s.readLog(ctx)
	o, verdict := s.decide(id, service)
	switch {
	case verdict == origin.Inferred && read:
		return o, origin.Known
	case verdict == origin.Inferred, verdict == origin.Unknown && !read:
		return origin.Origin{}, origin.Unaware
	}
	return o, verdict
}

// findKnown returns what this router knows, for one that can't read the log.
func (s *Service) findKnown(_ context.Context, id origin.Stream, service fleet.Service) (origin.Origin, origin.Verdict) {
	o, verdict := s.decide(id, service)
	if verdict == origin.Inferred {
		return origin.Origin{}, origin.Unknown
	}
	return o, verdict
}

// witnesses is the number of other routers that must know a service as uniform when the log
// can't be read: this router may be cut off from it and from others, and does not know yet.
const witnesses = 2

// askWitnesses returns the verdict of other routers on a service that this router takes for
// one of a single version: that one if all say so, or what one of them knows of the stream.
func (s *Service) askWitnesses(ctx context.Context, id origin.Stream, service fleet.Service, own origin.Origin) (origin.Origin, origin.Verdict) {
	s.mu.Lock()
	others := slices.DeleteFunc(slices.Clone(s.routers), func(vm fleet.VM) bool { return vm == s.self })
	s.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	s.mu.Unlock()
	for _, vm := range others[:min(witnesses, len(others))] {
		answer, err := s.query(ctx, vm, &query{Asks: true, Stream: uint64(id), Service: service, Brief: true}, witnessTimeout)
		switch {
		case err == nil && answer.Verdict == uint8(origin.Known):
			return origin.Origin{Service: answer.Service, Version: answer.Version}, origin.Known
		case err != nil || answer.Verdict != uint8(origin.Uniform) || answer.Version != own.Version:
			return origin.Origin{}, origin.Unaware
		}
	}
	return own, origin.Uniform
}

func (s *Service) decide(id origin.Stream, service fleet.Service) (origin.Origin, origin.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Decide(s.clock.Now(), id, service)
}

// isCutOff reports whether too few routers are heard to know of targets that have started
// while this router can't read the log.
func (s *Service) isCutOff() bool {
	listed := len(s.site.Routers())
	s.mu.Lock()
	defer s.mu.Unlock()
	return 2*len(s.routers) <= listed
}

// errReadFailed is the error while no other read is made after a failed one.
var errReadFailed = errors.New("the log could not be read shortly before")

// readLog reads what other recorders have written since the last read. Lookups at the same
// time share a read that began after each of them. It reports whether the log could be read.
func (s *Service) readLog(ctx context.Context) bool {
	arrived := s.clock.Now()
	for {
		result, err, _ := s.reads.Do("", func() (any, error) { return s.readLogOnce(ctx) })
		if err != nil {
			if !errors.Is(err, errReadFailed) {
				s.logger.WithError(err).Warn("Cannot read origins of streams from the log.")
			}
			return false
		}
		if began, ok := result.(time.Time); ok && !began.Before(arrived) {
			return true
		}
	}
}

// readLogOnce reads the log and returns when the read began.
func (s *Service) readLogOnce(ctx context.Context) (began time.Time, err error) {
	began = s.clock.Now()
	s.mu.Lock()
	from, failedAt := s.position, s.readFailedAt
	s.mu.Unlock()
	if began.Sub(failedAt) < readRetry {
		return began, errReadFailed
	}
	// The read serves other lookups too, whose callers have not left.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := s.clock.AfterFunc(readTimeout, cancel)
	defer stop()
	batches, next, err := s.log.ReadOrigins(ctx, from)
	s.logRead(batches, next, err)
	return began, err
}

// readHistory reads the log until that has succeeded once, so that this router knows which
// versions there were before it started.
func (s *Service) readHistory(ctx context.Context) {
	for !s.readLog(ctx) {
		if s.clock.Sleep(ctx, readRetry) != nil {
			return
		}
	}
}

// logRead takes what was read from the log.
func (s *Service) logRead(batches [][]byte, next Position, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if err != nil {
		s.readFailedAt = now
		return
	}
	for _, payload := range batches {
		var b batch
		err := wire.Unmarshal(payload, &b)
		var records []origin.Record
		if err == nil {
			records, err = decodeGroups(b.Groups)
		}
		if err != nil {
			s.logger.WithError(err).Warn("Ignored origins of streams that can't be decoded.")
			continue
		}
		s.tracker.Heard(now, b.Versions)
		if b.basesHold(next.Era) {
			s.tracker.HeardBases(now, b.Versions, decodeBases(b.Bases))
		}
		at := time.UnixMilli(b.AtMS)
		if at.After(now) {
			at = now // another VM's clock is ahead
		}
		if now.Sub(at) < origin.HistoryTime {
			s.tracker.Learn(now, at, records)
		}
	}
	s.position = next
	s.tracker.HistoryRead()
}
