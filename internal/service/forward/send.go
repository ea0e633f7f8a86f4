package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/attempt"
	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/rollout"
	"github.com/zinniafork/zinniafork/internal/service/slots"
	"github.com/zinniafork/zinniafork/internal/tracing"
)

// errSilent cancels a send whose response is not used when its body does not end.
var errSilent = errors.New("target sent no data in time")

// errReplaced cancels a send to a silent target once a hedge has responded.
var errReplaced = errors.New("another target took over")

// send is one send of a request to a target.
type send struct {
	// choice holds the target and the reason for it.
	choice    balance.Choice
	startedAt time.Time
	// cacheSource is the address from which the target is to fetch the cached prompt
	// prefixes, empty if there is none.
	cacheSource string
	// ctx ends the send, also while its response is being read.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// resp is the response, nil until its head has been read. It is set under request.mu.
	resp *Response
	// late is true once the target was silent for too long. It is guarded by request.mu.
	late bool
	// limited is true if the target named a limit of limit requests a second when it was
	// chosen.
	limited bool
	limit   float64
	// slot is the slot that the send has taken, nil if its target is not brittle.
	slot *slotGrant
	// placed is the answer of the router that grants the slots of a plain service, nil if none
	// was asked.
	placed *slots.Placement
	// via is the router that relayed the request, empty for a send straight to the target.
	// It is set with resp.
	via fleet.VM
	// timer notices the silence of the send, nil for a hedge.
	timer *silenceTimer
	// unloaded is true once the send does not count as load of its target any more. It is
	// guarded by Service.mu.
	unloaded bool
	// pathFailed is true once the way to the target has failed, and not the target.
	pathFailed bool
	// work is nil unless load is measured as remaining work.
	work *sendWork
	// observed is what the send shows of the version of its target.
	observed versionObservation
	// responded is true once the send has brought an event or a complete response.
	responded bool
}

// target returns the ID of the target, empty if none was chosen.
func (s *send) target() fleet.Target { return s.choice.Target.ID }

// chooseUnder chooses a target for the next send and records the start of a request to it.
// For a target that names a limit it asks the router that grants the requests to it, and
// chooses again if there is no grant. The send has no target if none may get the request.
// It also returns the number of available targets.
func (r *request) chooseUnder(ctx context.Context, now time.Time, versions *rollout.Rule) (*send, int) {
	if r.s.queuesPlain(r.service) {
		return r.choosePlain(ctx, now, versions)
	}
	return r.chooseHere(ctx, now, nil, versions)
}

// chooseHere chooses with what this router knows. Pick chooses among the targets in place of the
// balancer, nil for none.
func (r *request) chooseHere(ctx context.Context, now time.Time, pick picker, versions *rollout.Rule) (*send, int) {
	var rule limitRule
	for asked := 0; ; asked++ {
		rule.noneLimited = asked >= maxGrantQueries
		s, available, needsGrant := r.tryChoose(now, rule, pick, versions)
		if rule.granted != nil && s.target() == "" {
			r.s.releaseSlot(rule.slot, false)
			rule.granted, rule.slot = nil, nil // the target may get no request any more
			continue
		}
		if !needsGrant {
			s.slot = rule.slot
			return s, available
		}
		if slot, ok := r.s.obtain(ctx, &s.choice.Target); ok {
			p := processOf(&s.choice.Target)
			rule.granted, rule.slot = &p, slot
		}
		r.s.site.AwaitCurrent(ctx)
		now = r.s.clock.Now()
	}
}

// tryChoose chooses a target under a rule for those that name a limit. It returns true if
// the target needs a grant, which is not recorded as a start.
func (r *request) tryChoose(now time.Time, rule limitRule, pick picker, versions *rollout.Rule) (s *send, available int, needsGrant bool) {
	query := &balance.Request{Prefixes: r.Prefixes, Pick: pick}
	if !r.service.Engine {
		query.Prefixes = nil
	} else {
		query.MaxLoadPerSlot = r.maxLoadPerSlot()
	}
	query.Estimate = r.estimateWork()
	r.mu.Lock()
	defer r.mu.Unlock()
	query.Avoid = r.tried
	choice, available, needsGrant := r.s.chooseTarget(now, r.service, query, targetRule{limitRule: rule, version: r.pinned, versions: versions})
	s = &send{choice: choice, startedAt: now}
	s.limit, s.limited = r.s.limitOf(&choice.Target)
	if choice.Target.ID != "" && !needsGrant {
		r.tried[choice.Target.ID] = true
		s.work = r.startWork(now, &choice, query.Estimate)
	}
	return s, available, needsGrant
}

// open gives a send its context, which ends with ctx.
func (s *send) open(ctx context.Context) { s.ctx, s.cancel = context.WithCancelCause(ctx) }

// sendOnce chooses a target, sends the request to it and returns what to do next.
func (r *request) sendOnce(ctx context.Context) attempt.Action {
	r.s.site.AwaitCurrent(ctx)
	now := r.s.clock.Now()
	if r.checkQuarantine(now) {
		r.cur = new(send)
		return r.noTarget()
	}
	s, available := r.choose(ctx, now)
	now = r.s.clock.Now()
	r.cur = s
	if !r.isRetry() {
		r.s.decided(now, r.service.Name, s.choice.Reason == balance.Overloaded || s.choice.Reason == limitUsedUp)
	}
	if s.target() == "" {
		r.lastErr = s.noTargetError(available)
		return r.noTarget()
	}
	if !r.isRetry() {
		r.s.countRequest(now, r.service.Name)
	}
	return r.exchange(ctx, s)
}

// noTarget returns the action for a request that is sent to no target.
func (r *request) noTarget() attempt.Action {
	if r.headSent {
		return attempt.Cut
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.NoTarget()
}

// isRetry reports whether an earlier send of the request reached a target.
func (r *request) isRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.IsRetry()
}

// countRequest adds a request to the retry budget of its service. Only its first
// send counts.
func (s *Service) countRequest(now time.Time, name fleet.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(name).AddRequest(now)
}

// Take reports whether the retry budget of the request's service allows a retry now,
// and uses up that retry. It implements attempt.Budget.
func (r *request) Take(now time.Time) bool {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return r.s.retryBudget(r.service.Name).Take(now)
}

// retryAllowed reports whether the retry budget of the request's service allows a retry
// now.
func (r *request) retryAllowed(now time.Time) bool {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return r.s.retryBudget(r.service.Name).Allows(now)
}

// exchange sends the request to the chosen target and passes the response on.
func (r *request) exchange(ctx context.Context, s *send) attempt.Action {
	s.open(ctx)
	defer s.cancel(nil)
	timer := r.startSilenceTimer(ctx, s)
	defer timer.stop()
	s.timer = timer
	resp, err := r.roundTrip(s)
	if err != nil {
		return r.sendFailed(s, err)
	}
	if resp.NotRun || resp.Misdirected {
		r.discardRefusal(s)
		return r.notRun(s)
	}
	return r.forwardResponse(s, timer)
}

// roundTrip sends the request and reads the head of the response.
func (r *request) roundTrip(s *send) (*Response, error) {
	ctx, span := tracing.Start(s.ctx, "target")
	defer span.End()
	r.countLimitedSend(s)
	req := r.targetRequest(s)
	req.Trace = tracing.Parent(ctx)
	if err := r.checkProcess(s); err != nil {
		s.pathFailed = true
		return nil, err
	}
	done := r.s.awaitResponse(s)
	resp, via, err := r.s.deliver(s.ctx, req)
	done()
	r.mu.Lock()
	s.resp, s.via = resp, via
	r.mu.Unlock()
	if err != nil {
		s.pathFailed = pathFailed(err)
		return nil, err
	}
	r.s.takeReport(r.ID, &s.choice.Target, resp, s.startedAt)
	return resp, nil
}

// discardRefusal reads the rest of a refusal. A body that does not end must not hold
// it up.
func (r *request) discardRefusal(s *send) {
	stop := r.s.clock.AfterFunc(discardTimeout, func() { s.cancel(errSilent) })
	defer stop()
	discard(s.resp.Body)
}

// maxDiscardBytes is the length up to which an unused response is read to its end,
// so that its connection can be reused.
const maxDiscardBytes = 4 << 10

// discard reads up to maxDiscardBytes of a response and closes it.
func discard(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes))
	_ = body.Close()
}

// targetByRef returns the target with a given ref, empty if it is unknown.
func (s *Service) targetByRef(ref fleet.Ref) fleet.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targetNames[ref]
}

// targetRequest builds the request to the chosen target.
func (r *request) targetRequest(s *send) *TargetRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.cacheSource = r.findCacheSource(s)
	req := &TargetRequest{
		Call:             r.Call,
		Target:           s.choice.Target,
		Timeout:          r.remaining(),
		LastEventID:      r.lastSentID,
		Priority:         r.route.PriorityFor(r.account),
		RecentConnection: !r.route.Idempotent(),
		CacheFrom:        s.cacheSource,
	}
	if r.account != nil {
		req.Account = r.account.Name
	}
	return req
}

// findCacheSource returns the address of a target that can transfer the shared
// prompt prefixes from its cache, empty if there is none. A target that was tried or
// is not in use may still be able to, so it is the fallback when no other has the
// prefixes. The caller holds r.mu.
func (r *request) findCacheSource(s *send) string {
	fallback := ""
	for _, ref := range s.choice.Sources {
		id := r.s.targetByRef(ref)
		t, ok := r.s.site.Lookup(id)
		switch {
		case !ok:
		case !r.tried[id] && r.s.inUse(id, t.Born):
			return t.Address
		case fallback == "":
			fallback = t.Address
		}
	}
	return fallback
}

// failedSend returns what is known of a send without a response, and the outcome for
// its target.
func failedSend(s *send, err error) (*SendError, outlier.Outcome) {
	var failure *SendError
	if !errors.As(err, &failure) {
		failure = &SendError{Target: s.target(), Sent: true, Err: err}
	}
	if failure.Unreachable {
		return failure, outlier.Unreachable
	}
	return failure, outlier.Failed
}

// sendFailed handles a send without a response.
func (r *request) sendFailed(s *send, err error) attempt.Action {
	now := r.s.clock.Now()
	r.lastErr = err
	failure, outcome := failedSend(s, err)
	if canceled(s.ctx) {
		r.s.sendEnded(now, s, outlier.Failed, errors.Is(context.Cause(s.ctx), errDeadline))
		return r.canceledAction(failure.Sent)
	}
	r.sendBroke(s, now, err)
	r.s.sendEnded(now, s, outcome, true)
	result := attempt.NotSent
	if failure.Sent {
		result = attempt.Unknown
	}
	return r.nextAction(s, now, result)
}

// canceled reports whether the caller has left or the deadline has passed.
func canceled(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return cause != nil && !errors.Is(cause, errSilent) && !errors.Is(cause, errReplaced)
}

// canceledAction returns the action for a canceled request. It is refused as not run
// only if this is its first send and no part of it may have reached the target.
func (r *request) canceledAction(sent bool) attempt.Action {
	switch {
	case r.headSent:
		return attempt.Cut
	case sent || r.isRetry():
		return attempt.Fail
	default:
		return attempt.Refuse
	}
}

// notRunOutcome returns what the refusal of a target means for the request and for the
// target. A refusal counts as a failure of the target only while it has free slots, and
// neither leaves nor asks for a pause.
func notRunOutcome(s *send) (result attempt.Outcome, outcome outlier.Outcome, observed bool) {
	if s.resp.Misdirected {
		return attempt.Misdirected, outlier.Unreachable, true
	}
	unexplained := s.choice.Load < float64(s.choice.Target.Slots) && !s.resp.Leaving && s.resp.RetryAfter == 0 && !s.saysFull()
	return attempt.Refused, outlier.Failed, unexplained
}

// notRun handles the response of a target that did not run the request.
func (r *request) notRun(s *send) attempt.Action {
	now := r.s.clock.Now()
	result, outcome, observed := notRunOutcome(s)
	r.s.sendEnded(now, s, outcome, observed)
	return r.nextAction(s, now, result)
}

// endedBy returns who ended the send, as logged.
func (s *send) endedBy() string {
	switch cause := context.Cause(s.ctx); {
	case cause == nil && s.pathFailed:
		return "path"
	case cause == nil:
		return "target"
	case errors.Is(cause, errSilent), errors.Is(cause, errReplaced):
		return "silence"
	case errors.Is(cause, errDeadline):
		return "deadline"
	default:
		return "caller"
	}
}

// quiet returns the time since a send was started or last brought an event.
func (r *request) quiet(now time.Time, s *send) time.Duration {
	if r.lastWriteAt.After(s.startedAt) {
		return now.Sub(r.lastWriteAt)
	}
	return now.Sub(s.startedAt)
}

// nextAction returns what to do after a send without a usable response, and logs it. A
// hedge that is under way is awaited. Once the head was sent, a request that is not
// resumed or retried is cut.
func (r *request) nextAction(s *send, now time.Time, outcome attempt.Outcome) attempt.Action {
	entry := r.logEntry().WithFields(logrus.Fields{
		"sent": outcome.String(), "ended_by": s.endedBy(), "quiet_ms": r.quiet(now, s).Milliseconds(),
	})
	if r.lastErr != nil {
		entry = entry.WithError(r.lastErr)
	}
	if r.next = r.awaitHedge(); r.next != nil {
		entry.WithField("step", "replaced").WithField("by", r.next.target()).Info("Send ended without a usable response.")
		return replaced
	}
	r.mu.Lock()
	action := r.machine.SendEnded(r.s.clock.Now(), outcome, r.remaining(), r)
	limit := r.machine.Limit()
	r.mu.Unlock()
	if r.headSent && action != attempt.Resume && action != attempt.Retry {
		action = attempt.Cut
	}
	if limit != attempt.NoLimit {
		entry = entry.WithField("limit", limit.String())
	}
	entry.WithField("step", action.String()).Info("Send ended without a usable response.")
	return action
}

// takeOver passes on the response of the hedge that replaces the current send.
func (r *request) takeOver(ctx context.Context) attempt.Action {
	s := r.next
	r.cur, r.next = s, nil
	defer s.cancel(nil)
	timer := r.startSilenceTimer(ctx, s)
	defer timer.stop()
	return r.forwardResponse(s, timer)
}

// errNotUsable is the error of a hedge whose response can't be passed on.
func errNotUsable(resp *Response) error {
	return fmt.Errorf("hedge responded with status %d, not run %t", resp.Status, resp.NotRun || resp.Misdirected)
}
