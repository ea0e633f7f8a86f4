package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/ratelimit"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/wire"
)

const (
	// maxGrantQueries is the number of targets that a send asks grants for. After that
	// it goes to a target without a limit, or is refused.
	maxGrantQueries = 4
	// grantTimeout limits the time for the answer of another router.
	grantTimeout = 150 * time.Millisecond
)

// limitUsedUp is the reason why no target may get a request when some are excluded only
// for the limits that they name.
const limitUsedUp balance.Reason = "limit_used_up"

// limitRule says which targets that name a limit, or are brittle, a choice may take.
type limitRule struct {
	// granted is the only process that may be chosen: a request to it was granted. It is
	// nil without a grant. slot is the slot that was granted with it, if the target is
	// brittle.
	granted *ratelimit.Process
	slot    *slotGrant
	// noneLimited excludes all targets that name a limit.
	noneLimited bool
}

// withinLimit reports whether the rule allows a target. The caller holds the lock.
func (s *Service) withinLimit(now time.Time, t *sitestate.AvailableTarget, rule limitRule) bool {
	p := processOf(t)
	if rule.granted != nil {
		return *rule.granted == p
	}
	if _, limited := s.limits.Limit(p); limited && (rule.noneLimited || !s.asker.Open(now, p)) {
		return false
	}
	return !s.isBrittle(t) || !rule.noneLimited && s.slotAsker.Open(now, p)
}

// isLimited reports whether a target names a limit. The caller holds the lock.
func (s *Service) isLimited(t *sitestate.AvailableTarget) bool {
	_, limited := s.limits.Limit(processOf(t))
	return limited
}

// grantQuery asks for one request to the process of a target, with what the sender knows
// of its limit.
type grantQuery struct {
	Target fleet.Ref `msgpack:"t"`
	Born   uint32    `msgpack:"b"`
	// Rate is the limit in requests a second, AgeMS the age of that in milliseconds.
	Rate  float64 `msgpack:"r"`
	AgeMS uint32  `msgpack:"a"`
}

// grantReply answers a grantQuery.
type grantReply struct {
	Granted bool `msgpack:"g,omitempty"`
	// WaitMS is the time in milliseconds before which it is of no use to ask again.
	WaitMS uint32 `msgpack:"w,omitempty"`
	// Ended is true if the target names no limit any more, known for EndedMS
	// milliseconds.
	Ended   bool   `msgpack:"e,omitempty"`
	EndedMS uint32 `msgpack:"m,omitempty"`
}

// obtainGrant asks for one request to a target that names a limit, and reports whether it
// may be sent now. If not, the target is not asked for again until it may have room.
func (s *Service) obtainGrant(ctx context.Context, t *sitestate.AvailableTarget) bool {
	p := processOf(t)
	s.mu.Lock()
	asked := s.clock.Now()
	report, limited := s.limits.Report(p)
	if !limited || !report.Limited {
		s.mu.Unlock()
		return true // it has ended since
	}
	first := ratelimit.First(p.Target, s.grantRouters, s.asker.Usable(asked))
	if first == s.self || first == "" {
		reply := s.grant(asked, report)
		s.mu.Unlock()
		return s.takeGrantReply(asked, p, reply)
	}
	s.mu.Unlock()
	reply, err := s.queryGrant(ctx, first, asked, report)
	switch {
	case err != nil && ctx.Err() != nil:
		return false // the caller has left, or its deadline has passed
	case err != nil:
		s.grantFailed(s.asker, first, p, err)
		return false
	}
	return s.takeGrantReply(asked, p, reply)
}

// queryGrant asks another router.
func (s *Service) queryGrant(ctx context.Context, to fleet.VM, now time.Time, r ratelimit.Report) (grantReply, error) {
	var reply grantReply
	payload, err := wire.Marshal(&grantQuery{
		Target: r.Process.Target, Born: r.Process.Born, Rate: r.Rate, AgeMS: milliseconds(now.Sub(r.At)),
	})
	if err != nil {
		return reply, fmt.Errorf("encode grant query: %w", err)
	}
	data, err := s.queryGranter(ctx, to, peer.KindGrant, payload)
	if err != nil {
		return reply, fmt.Errorf("query grant of %s: %w", to, err)
	}
	if err := wire.Unmarshal(data, &reply); err != nil {
		return reply, fmt.Errorf("decode grant of %s: %w", to, err)
	}
	return reply, nil
}

// queryGranter asks the router that grants requests or slots, within grantTimeout.
func (s *Service) queryGranter(ctx context.Context, to fleet.VM, kind peer.Kind, payload []byte) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(grantTimeout, cancel)
	defer stop()
	return s.peers.Query(ctx, to, kind, payload)
}

// milliseconds returns a time that is not negative in whole milliseconds.
func milliseconds(d time.Duration) uint32 { return uint32(max(d.Milliseconds(), 0)) }

// grantFailed records that a router did not answer. Its targets get their grants from the
// next one in their ranking, as long as it does not.
func (s *Service) grantFailed(asker *ratelimit.Asker, vm fleet.VM, p ratelimit.Process, err error) {
	var failure *call.Error
	unsupported := errors.As(err, &failure) && failure.Code == call.CodeNotFound
	s.metrics.grantQueried("failed")
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	asker.Denied(now, p, 0)
	if asker.Failed(now, vm, unsupported) {
		s.logger.WithError(err).WithField("peer", vm).Warn("Router grants no requests to targets with a limit.")
	}
}

// takeGrantReply records an answer and reports whether the request may be sent now. An
// answer that took long is of no use: the process may have been paused since.
func (s *Service) takeGrantReply(asked time.Time, p ratelimit.Process, reply grantReply) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	switch {
	case reply.Ended:
		s.metrics.grantQueried("ended")
		s.limits.Reported(now, ratelimit.Report{Process: p, At: asked.Add(-time.Duration(reply.EndedMS) * time.Millisecond)})
		s.countLimited()
		_, limited := s.limits.Limit(p)
		return !limited
	case !reply.Granted:
		s.metrics.grantQueried("denied")
		s.asker.Denied(now, p, time.Duration(reply.WaitMS)*time.Millisecond)
		return false
	case now.Sub(asked) > ratelimit.MaxGrantAge:
		s.metrics.grantQueried("expired")
		return false
	default:
		s.metrics.grantQueried("granted")
		return true
	}
}

// handleGrant answers another router's question.
func (s *Service) handleGrant(_ context.Context, from fleet.VM, payload []byte) ([]byte, error) {
	var q grantQuery
	err := wire.Unmarshal(payload, &q)
	if err == nil && !ratelimit.IsRate(q.Rate) {
		err = fmt.Errorf("limit of %v requests a second", q.Rate)
	}
	if err != nil {
		return nil, &call.Error{Code: call.CodeBadRequest, Step: Name, Peer: string(from), Run: call.RunNot, Message: "decode grant query: " + err.Error()}
	}
	s.mu.Lock()
	now := s.clock.Now()
	r := ratelimit.Report{
		Process: ratelimit.Process{Target: q.Target, Born: q.Born}, Limited: true, Rate: q.Rate,
		At: now.Add(-time.Duration(q.AgeMS) * time.Millisecond),
	}
	s.applyLimits(now, from, []ratelimit.Report{r})
	reply := s.grant(now, r)
	s.mu.Unlock()
	return wire.Marshal(&reply)
}

// grant decides on one request to a target. A later report than that of the router that
// asks holds. The caller holds the lock.
func (s *Service) grant(now time.Time, asked ratelimit.Report) grantReply {
	r, ok := s.limits.Report(asked.Process)
	if ok && !r.Limited {
		return grantReply{Ended: true, EndedMS: milliseconds(now.Sub(r.At))}
	}
	if !ok {
		r = asked
	}
	granted, wait := s.granter.Grant(now, r.Process, r.Rate, s.isDeputy(r.Process.Target))
	return grantReply{Granted: granted, WaitMS: milliseconds(wait)}
}

// isDeputy reports whether this router grants requests to a target in place of another one
// that it believes to be alive. The caller holds the lock.
func (s *Service) isDeputy(target fleet.Ref) bool {
	all := func(fleet.VM) bool { return true }
	first := ratelimit.First(target, s.heardRouters, all)
	return first != "" && first != s.self
}

// applyLimits records what another router reports of limits. The caller holds the lock.
func (s *Service) applyLimits(now time.Time, from fleet.VM, reports []ratelimit.Report) {
	for _, r := range reports {
		if s.limits.Reported(now, r) {
			entry := s.logger.WithFields(logrus.Fields{"target": s.targetNames[r.Process.Target], "from": from})
			logLimit(entry, r.Limited, r.Rate)
		}
	}
	s.countLimited()
}

// processOf returns the process behind an available target.
func processOf(t *sitestate.AvailableTarget) ratelimit.Process {
	return ratelimit.Process{Target: t.ID.Ref(), Born: uint32(t.Born)}
}

// takeLimit records whether the response to a request names a limit, and reports whether
// that changes the limit of its target. The caller holds the lock.
func (s *Service) takeLimit(now time.Time, t *sitestate.AvailableTarget, resp *Response, sentAt time.Time) (changed bool) {
	if !resp.NamesRequest {
		return false
	}
	p := processOf(t)
	if resp.Limited {
		changed = s.limits.Named(now, p, resp.RateLimit)
	} else {
		changed = s.limits.NotNamed(now, p, sentAt)
	}
	s.countLimited()
	return changed
}

// countLimited updates the number of targets that name a limit. The caller holds the
// lock.
func (s *Service) countLimited() {
	gauge := s.metrics.limitedTargets
	gauge.Inc(int64(s.limits.Count()) - gauge.Count())
}

// logLimit logs that the limit of a target has changed.
func logLimit(entry *logrus.Entry, limited bool, rate float64) {
	if limited {
		entry.WithField("rate_limit", rate).Info("Target names a request limit.")
	} else {
		entry.Info("Target names no request limit any more.")
	}
}

// limitOf returns the limit that a target names in requests a second, and false if it
// names none.
func (s *Service) limitOf(t *sitestate.AvailableTarget) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Limit(processOf(t))
}

// countLimitedSend counts a send to a target that names a limit.
func (r *request) countLimitedSend(s *send) {
	if !s.limited {
		return
	}
	if r.isRetry() {
		r.s.metrics.limitedRepeats.Inc(1)
	} else {
		r.s.metrics.limitedFirst.Inc(1)
	}
}
