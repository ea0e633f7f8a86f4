package rollout

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/rollout"
)

const (
	// logTimeout limits one step with the log, which may take several calls.
	logTimeout = 1500 * time.Millisecond
	// logRetry is the time after a failed one, takeoverRetry that after another router was found
	// to drive the roll-out.
	logRetry      = 250 * time.Millisecond
	takeoverRetry = time.Second
	// quietTime is the time without a new record after which a router takes over although
	// another one may hold it. quietRetry is the time between looks at the record meanwhile.
	quietTime  = 5 * time.Second
	quietRetry = time.Second
)

// limited returns a context that ends after logTimeout.
func (s *Service) limited(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := s.clock.AfterFunc(logTimeout, cancel)
	return ctx, func() { stop(); cancel() }
}

// release ends a step with the log. After a failed one the next waits. The caller holds the lock.
func (s *Service) release(st *state, err error) {
	st.control.busy = false
	if err == nil {
		return
	}
	s.count("rollout.log_failures")
	st.control.notBefore = s.clock.Now().Add(logRetry)
	if !errors.Is(err, ErrConflict) {
		s.logger.WithError(err).WithField("service", st.service).Debug("Cannot read or write records of a roll-out.")
	}
}

// takeOver makes this router the one that drives the roll-out, unless another one is.
func (s *Service) takeOver(ctx context.Context, st *state) {
	ctx, cancel := s.limited(ctx)
	defer cancel()
	record, at, err := s.log.ReadRollout(ctx, st.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	gate := st.tracker.Gate()
	if err != nil || gate == nil || s.waits(now, st, record, at) {
		s.release(st, err)
		return
	}
	order := gate.Order()
	if record != nil && !record.Order.Same(order) && record.Order.Era == order.Era && record.Order.Offset > order.Offset {
		s.release(st, errOldOrder)
		return
	}
	if record != nil && !record.Order.Same(order) && !record.Phase.Final() && record.Order.To != order.To {
		if at, err = s.endReplaced(ctx, st, record, at); err != nil {
			s.release(st, err)
			return
		}
	}
	c := s.newController(now, st, record, order)
	next, needed := c.Next(now)
	next.Writer = s.self
	if needed {
		s.mu.Unlock()
		at, err = s.log.WriteRollout(ctx, &next, at)
		s.mu.Lock()
		if err != nil {
			s.release(st, err)
			return
		}
		c.Written(s.clock.Now(), next)
	}
	st.control = control{controller: c, at: at, writtenAt: s.clock.Now(), logged: next.Phase, restored: false}
	s.count("rollout.takeovers")
	s.logger.WithFields(st.fields(&next)).WithField("took_over", record != nil).Info("This router drives the roll-out.")
}

// errOldOrder is the error of an order that is older than that of the record.
var errOldOrder = errors.New("the record is of a later order")

// waits reports whether this router must not take over yet: another one that is alive
// is the controller, or this one hears so few that it can't tell. The caller holds the lock.
func (s *Service) waits(now time.Time, st *state, record *rollout.Record, at Position) bool {
	k := &st.control
	k.holder = ""
	if record != nil && record.Order.Same(st.tracker.Gate().Order()) && !record.Phase.Final() && record.Writer != s.self &&
		slices.Contains(s.alive, record.Writer) {
		k.holder = record.Writer
	}
	if k.holder == "" && !s.isCutOff() {
		return false
	}
	if k.seen != at || k.seenAt.IsZero() {
		k.seen, k.seenAt = at, now
	}
	k.notBefore = now.Add(quietRetry)
	return now.Sub(k.seenAt) < quietTime
}

// newController returns the controller of an order, which goes on with a record of the same order.
// The caller holds the lock.
func (s *Service) newController(now time.Time, st *state, record *rollout.Record, order rollout.Order) *rollout.Controller {
	limits, left := s.settings.limits(), st.tracker.Left(now)
	if record == nil {
		return rollout.Begin(now, limits, rollout.Record{Order: order, Base: s.versions(order)}, left, s.rng)
	}
	if record.Order.Same(order) {
		return rollout.TakeOver(now, limits, *record, left, s.rng)
	}
	fresh := rollout.Record{Order: order, Term: record.Term, Base: s.versions(order)}
	if record.Phase != rollout.Done && record.Order.To != order.To {
		fresh.Excluded = append(slices.Clone(record.Excluded), record.Order.To)
	}
	fresh.Excluded = slices.DeleteFunc(fresh.Excluded, func(v string) bool { return v == order.To })
	return rollout.Begin(now, limits, fresh, left, s.rng)
}

// endReplaced rolls back the roll-out of an order that another one replaces. The caller holds the
// lock, which is released meanwhile.
func (s *Service) endReplaced(ctx context.Context, st *state, record *rollout.Record, at Position) (Position, error) {
	s.mu.Unlock()
	defer s.mu.Lock()
	record.Phase, record.Reason, record.Writer = rollout.RolledBack, "another order replaces it", s.self
	record.Term++
	at, err := s.log.WriteRollout(ctx, record, at)
	if err != nil {
		return at, err
	}
	_, statusAt, err := s.log.ReadStatus(ctx, st.service)
	if err != nil {
		return at, err
	}
	_, err = s.log.WriteStatus(ctx, st.service, statusOf(*record), statusAt)
	s.logger.WithFields(st.fields(record)).WithField("reason", record.Reason).Warn("Roll-out was decided.")
	return at, err
}

// write writes the record of a roll-out.
func (s *Service) write(ctx context.Context, st *state, c *rollout.Controller, record rollout.Record) {
	ctx, cancel := s.limited(ctx)
	defer cancel()
	s.mu.Lock()
	at := st.control.at
	s.mu.Unlock()
	at, err := s.log.WriteRollout(ctx, &record, at)
	if errors.Is(err, ErrConflict) {
		s.count("rollout.conflicts")
		s.review(ctx, st, c)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(st, err)
	if st.control.controller != c || err != nil {
		return
	}
	now := s.clock.Now()
	c.Written(now, record)
	st.control.at, st.control.writtenAt = at, now
}

// review reads the record after another one was appended, or after the log was restored from a
// copy: this router steps down if another one is the controller, and writes again what was lost.
func (s *Service) review(ctx context.Context, st *state, c *rollout.Controller) {
	ctx, cancel := s.limited(ctx)
	defer cancel()
	record, at, err := s.log.ReadRollout(ctx, st.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(st, err)
	k := &st.control
	if err != nil || k.controller != c {
		return
	}
	own := c.Record()
	phase, _ := c.Phase()
	outranked, restored := k.outranked, k.restored
	k.at, k.outranked, k.restored = at, 0, false
	switch {
	case record == nil || !record.Order.Same(own.Order):
		if record != nil && record.Term > own.Term && !restored {
			s.stepDown(st, "the record is of another order")
			return
		}
		c.Rewrite(outranked)
	case record.Phase.Final() && phase == record.Phase && own.Phase == record.Phase:
	case record.Writer != s.self && record.Term >= own.Term && (!restored || !own.Phase.Final()):
		s.stepDown(st, "another router is the controller")
		return
	case record.Term < own.Term || outranked > own.Term || record.Phase < own.Phase || record.Granted < own.Granted:
		c.Rewrite(max(outranked, record.Term))
	default:
		c.Written(s.clock.Now(), *record)
	}
	k.status, k.statusTerm = Status{}, 0
}

// writeStatus writes the status of a roll-out. It reads the end of the topic before it checks that
// this router is still the controller, and a router that takes over writes the status too: so
// one that was replaced meanwhile can't write any more.
func (s *Service) writeStatus(ctx context.Context, st *state, c *rollout.Controller, want Status) {
	ctx, cancel := s.limited(ctx)
	defer cancel()
	known, statusAt, err := s.log.ReadStatus(ctx, st.service)
	var record *rollout.Record
	if err == nil {
		record, _, err = s.log.ReadRollout(ctx, st.service)
	}
	s.mu.Lock()
	own, valid := c.Record(), st.control.controller == c
	s.mu.Unlock()
	if err == nil && valid && (record == nil || record.Term != own.Term || record.Phase != own.Phase) {
		s.count("rollout.conflicts")
		s.review(ctx, st, c)
		return
	}
	if err == nil && valid && (known != want || want.State == stateRunning) {
		_, err = s.log.WriteStatus(ctx, st.service, want, statusAt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(st, err)
	if err != nil || st.control.controller != c {
		return
	}
	st.control.status, st.control.statusTerm = want, own.Term
	s.logger.WithFields(st.fields(&own)).WithField("status", want.State).Info("Status of the roll-out was written.")
}
