package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/attempt"
	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/tracing"
)

// traceHeader is the header that carries the trace context from hop to hop.
const traceHeader = "Traceparent"

// errDeadline cancels a send when the deadline of the request has passed.
var errDeadline = errors.New("request deadline exceeded")

// errSilent cancels a send to a target that does not start to respond, or pauses too
// long, while another target may still respond in time.
var errSilent = errors.New("target sent no data in time")

// request holds the state of a call in progress.
type request struct {
	*Call
	s     *Service
	reply ResponseWriter
	// version is the version of the configuration that applies, zero if there is
	// none.
	version int64
	route   *routing.Route
	account *routing.Account
	service *routing.Service
	machine *attempt.Machine
	// tried holds the targets that the request was sent to.
	tried map[fleet.Target]bool
	// deadline is the time by which the caller gets its final response.
	deadline time.Time
	// headSent is true once the head of a response was passed on.
	headSent bool
	// firstByte is the time from the request's arrival to the first byte of its
	// response, and longestPause the longest time between two writes of a stream;
	// lastWriteAt is the time of the last one.
	firstByte    time.Duration
	longestPause time.Duration
	lastWriteAt  time.Time
	// lastSentID is the ID of the last event that the caller has received.
	lastSentID string
	// choice holds the target of the current send and the reason for it.
	choice balance.Choice
	// sentAt is the time of the current send.
	sentAt time.Time
	// cacheSource is the address from which the target is to fetch the cached prompt
	// prefixes, empty if there is none.
	cacheSource string
	lastErr     error
}

// Serve answers a call. The end of ctx means that the caller has left.
func (s *Service) Serve(ctx context.Context, c *Call, reply ResponseWriter) {
	s.running.Add(1)
	s.metrics.running.Inc(1)
	defer func() {
		s.running.Add(-1)
		s.metrics.running.Dec(1)
	}()
	ctx, span := s.tracer.Start(tracing.Continue(ctx, c.Header.Get(traceHeader)), Name)
	defer span.End()
	r := &request{Call: c, s: s, reply: reply, tried: make(map[fleet.Target]bool), lastSentID: c.LastEventID}
	if refusal, ok := r.admit(); !ok {
		r.refuse(refusal)
		return
	}
	if r.route.Kind == routing.Unsafe {
		// A request that may have side effects is completed even if its caller
		// has left.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := s.clock.AfterFunc(r.remaining(), func() { cancel(errDeadline) })
	defer stop()
	r.run(ctx)
}

// admit determines route, account, service and deadline of a request. If the request
// is not allowed, it returns the refusal and false.
func (r *request) admit() (Refusal, bool) {
	table := r.s.site.Table()
	if table == nil {
		return Refusal{Status: http.StatusServiceUnavailable, RetryAfter: r.notReadyRetryAfter(), Message: "no configuration yet"}, false
	}
	r.version = table.Config.Version
	route, ok := table.Match(r.Host, r.Path)
	if !ok {
		return Refusal{Status: http.StatusNotFound, Message: "no route"}, false
	}
	r.route = route
	r.machine = attempt.New(route)
	if table.Config.Keyed && !route.Public {
		account, ok := table.Account(r.APIKey)
		if !ok {
			return Refusal{Status: http.StatusUnauthorized, Message: "unknown key"}, false
		}
		r.account = account
	}
	if limit := table.Config.Limits.BodyBytes; limit > 0 && len(r.Body) > limit {
		return Refusal{Status: http.StatusRequestEntityTooLarge, Message: "body is too large"}, false
	}
	if r.s.stopped.Load() {
		return Refusal{Status: http.StatusServiceUnavailable, RetryAfter: drainingRetryAfter, Message: "router stops"}, false
	}
	r.service = table.Service(route.PickService(r.s.randomFloat()))
	if r.service == nil {
		return Refusal{Status: http.StatusServiceUnavailable, RetryAfter: noTargetRetryAfter, Message: "no service"}, false
	}
	r.deadline = r.Received.Add(r.timeLimit())
	if r.remaining() <= 0 {
		return Refusal{Status: http.StatusServiceUnavailable, Message: "deadline has passed"}, false
	}
	return Refusal{}, true
}

// defaultTimeLimit bounds the time of every request. Routes and callers can only
// shorten it.
const defaultTimeLimit = 60 * time.Second

// timeLimit returns the time that the request gets, counted from its arrival.
func (r *request) timeLimit() time.Duration {
	limit := defaultTimeLimit
	if r.route.Timeout > 0 {
		limit = min(limit, r.route.Timeout)
	}
	if r.Timeout > 0 {
		limit = min(limit, r.Timeout)
	}
	return limit
}

// remaining returns the time until the deadline.
func (r *request) remaining() time.Duration { return r.deadline.Sub(r.s.clock.Now()) }

// run sends the request until it gets a response or cannot be retried.
func (r *request) run(ctx context.Context) {
	for {
		action := r.sendOnce(ctx)
		switch action {
		case responseDone:
			return
		case attempt.Retry, attempt.Resume:
			continue
		case attempt.Refuse:
			r.refuse(Refusal{Status: http.StatusServiceUnavailable, RetryAfter: r.refusalRetryAfter(), Message: "no target took the request"})
			return
		case attempt.Cut:
			r.cut(outcomeUnlessLeft(ctx, "broken"))
			return
		default:
			r.fail(ctx)
			return
		}
	}
}

// outcomeUnlessLeft returns the outcome of a request without a complete response:
// "caller_left" if its caller left before the deadline, otherwise fallback.
func outcomeUnlessLeft(ctx context.Context, fallback string) string {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline) {
		return "caller_left"
	}
	return fallback
}

// responseDone is the action after a response that was passed on: there is nothing
// left to do. It is no action of the attempt package.
const responseDone attempt.Action = 255

// sendOnce chooses a target, sends the request to it and returns what to do next.
func (r *request) sendOnce(ctx context.Context) attempt.Action {
	r.s.site.AwaitCurrent(ctx)
	now := r.s.clock.Now()
	query := &balance.Request{Prefixes: r.Prefixes, Avoid: r.tried}
	if !r.service.Engine {
		query.Prefixes = nil
	} else {
		query.MaxLoadPerSlot = r.maxLoadPerSlot()
	}
	choice, available := r.s.chooseTarget(now, r.service, query)
	if r.service.Engine && !r.machine.IsRetry() {
		r.s.decided(now, r.service.Name, choice.Reason == balance.Overloaded)
	}
	if choice.Target.ID == "" {
		r.choice = choice
		r.lastErr = errNoTarget{targets: available, overloaded: choice.Reason == balance.Overloaded}
		if r.headSent {
			return attempt.Cut
		}
		return r.machine.NoTarget()
	}
	r.choice, r.sentAt = choice, now
	r.tried[choice.Target.ID] = true
	if !r.machine.IsRetry() {
		r.s.countRequest(now, r.service.Name)
	}
	return r.exchange(ctx)
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

// exchange sends the request to the chosen target and passes the response on.
func (r *request) exchange(ctx context.Context) attempt.Action {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, span := tracing.Start(ctx, "target")
	defer span.End()
	timer := r.startSilenceTimer(cancel)
	defer timer.stop()
	req := r.targetRequest()
	req.Trace = tracing.Parent(ctx)
	resp, err := r.s.targets.Send(ctx, req)
	if err != nil {
		return r.sendFailed(ctx, err)
	}
	r.takeReport(resp)
	if resp.NotRun || resp.Misdirected {
		// A body that does not end must not hold up the refusal.
		stop := r.s.clock.AfterFunc(discardTimeout, func() { cancel(errSilent) })
		discard(resp.Body)
		stop()
		return r.notRun(ctx, resp)
	}
	return r.forwardResponse(ctx, resp, timer)
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
func (r *request) targetRequest() *TargetRequest {
	req := &TargetRequest{
		Call:             r.Call,
		Target:           r.choice.Target,
		Timeout:          r.remaining(),
		LastEventID:      r.lastSentID,
		Priority:         r.route.PriorityFor(r.account),
		RecentConnection: !r.route.Idempotent(),
	}
	if r.account != nil {
		req.Account = r.account.Name
	}
	r.cacheSource = r.findCacheSource()
	req.CacheFrom = r.cacheSource
	return req
}

// findCacheSource returns the address of a target that can transfer the shared
// prompt prefixes from its cache, empty if there is none. A target that was tried or
// is not in use may still be able to, so it is the fallback when no other has the
// prefixes.
func (r *request) findCacheSource() string {
	fallback := ""
	for _, ref := range r.choice.Sources {
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

// sendFailed handles a send without a response.
func (r *request) sendFailed(ctx context.Context, err error) attempt.Action {
	now := r.s.clock.Now()
	r.lastErr = err
	if errors.Is(context.Cause(ctx), errSilent) {
		r.observeFirstByte()
	}
	var failure *SendError
	if !errors.As(err, &failure) {
		failure = &SendError{Target: r.choice.Target.ID, Sent: true, Err: err}
	}
	if canceled(ctx) {
		r.s.sendEnded(now, r.choice.Target.ID, outlier.Failed, errors.Is(context.Cause(ctx), errDeadline))
		return r.canceledAction(failure.Sent)
	}
	outcome := outlier.Failed
	if failure.Unreachable {
		outcome = outlier.Unreachable
	}
	r.s.sendEnded(now, r.choice.Target.ID, outcome, true)
	result := attempt.NotSent
	if failure.Sent {
		result = attempt.Unknown
	}
	return r.nextAction(ctx, now, result)
}

// canceled reports whether the caller has left or the deadline has passed.
func canceled(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent)
}

// canceledAction returns the action for a canceled request. It is refused as not run
// only if this is its first send and no part of it may have reached the target.
func (r *request) canceledAction(sent bool) attempt.Action {
	switch {
	case r.headSent:
		return attempt.Cut
	case sent || r.machine.IsRetry():
		return attempt.Fail
	default:
		return attempt.Refuse
	}
}

// notRun handles the response of a target that did not run the request.
func (r *request) notRun(ctx context.Context, resp *Response) attempt.Action {
	now := r.s.clock.Now()
	if resp.Misdirected {
		r.s.sendEnded(now, r.choice.Target.ID, outlier.Unreachable, true)
		return r.nextAction(ctx, now, attempt.Misdirected)
	}
	// A refusal counts as a failure of the target only while it has free slots, and
	// neither leaves nor asks for a pause.
	unexplained := r.choice.Load < float64(r.choice.Target.Slots) && !resp.Leaving && resp.RetryAfter == 0
	r.s.sendEnded(now, r.choice.Target.ID, outlier.Failed, unexplained)
	return r.nextAction(ctx, now, attempt.Refused)
}

// endedBy returns who ended the send with this context, as logged.
func endedBy(ctx context.Context) string {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return "target"
	case errors.Is(cause, errSilent):
		return "silence"
	case errors.Is(cause, errDeadline):
		return "deadline"
	default:
		return "caller"
	}
}

// quiet returns the time since the current send was started or last brought an event.
func (r *request) quiet(now time.Time) time.Duration {
	if r.lastWriteAt.After(r.sentAt) {
		return now.Sub(r.lastWriteAt)
	}
	return now.Sub(r.sentAt)
}

// nextAction returns what to do after a send without a usable response, and logs it.
// Once the head was sent, a request that is not resumed or retried is cut.
func (r *request) nextAction(ctx context.Context, now time.Time, outcome attempt.Outcome) attempt.Action {
	action := r.machine.SendEnded(now, outcome, r.remaining(), r)
	if r.headSent && action != attempt.Resume && action != attempt.Retry {
		action = attempt.Cut
	}
	entry := r.logEntry().WithFields(logrus.Fields{
		"sent": outcome.String(), "step": action.String(), "ended_by": endedBy(ctx), "quiet_ms": r.quiet(now).Milliseconds(),
	})
	if limit := r.machine.Limit(); limit != attempt.NoLimit {
		entry = entry.WithField("limit", limit.String())
	}
	if r.lastErr != nil {
		entry = entry.WithError(r.lastErr)
	}
	entry.Info("Send ended without a usable response.")
	return action
}

// logEntry returns a log entry with the request's fields and the reasons for the
// choice of its target.
func (r *request) logEntry() *logrus.Entry {
	fields := logrus.Fields{"request": r.ID, "took_ms": r.s.clock.Now().Sub(r.Received).Milliseconds()}
	if r.route != nil {
		fields["route"] = r.route.Name
		fields["sends"] = r.machine.Sends()
	}
	if r.service != nil {
		fields["service"] = r.service.Name
	}
	if r.account != nil {
		fields["account"] = r.account.Name
	}
	if r.choice.Reason != "" {
		fields["target"] = r.choice.Target.ID
		fields["why"] = r.choice.Reason
		fields["load"] = r.choice.Load
		fields["mean"] = r.choice.Mean
	}
	if len(r.Prefixes) > 0 {
		fields["prompt"] = fmt.Sprintf("%x", r.Prefixes[len(r.Prefixes)-1])
	}
	if r.cacheSource != "" {
		fields["cache_from"] = r.cacheSource
	}
	if r.firstByte > 0 {
		fields["first_ms"] = r.firstByte.Milliseconds()
		fields["pause_ms"] = r.longestPause.Milliseconds()
	}
	return r.s.logger.WithFields(fields)
}

// finish records the end of a request in metrics and log.
func (r *request) finish(outcome string, status int) {
	now := r.s.clock.Now()
	r.s.metrics.requestEnded(outcome, now.Sub(r.Received))
	ageMS := int64(-1) // no site state yet
	if age, known := r.s.site.Age(); known {
		ageMS = age.Milliseconds()
	}
	entry := r.logEntry().WithFields(logrus.Fields{"outcome": outcome, "status": status, "state_age_ms": ageMS, "config": r.version})
	if r.lastErr != nil {
		entry = entry.WithError(r.lastErr)
	}
	entry.Info("Request ended.")
}

// cut ends a response as incomplete.
func (r *request) cut(outcome string) {
	r.reply.Cut()
	r.finish(outcome, 0)
}

// fail tells the caller that the request failed and may have run.
func (r *request) fail(ctx context.Context) {
	status := http.StatusBadGateway
	if errors.Is(context.Cause(ctx), errDeadline) {
		status = http.StatusGatewayTimeout
	}
	r.reply.Refuse(Refusal{Status: status, Message: "no complete response from the target"})
	r.finish(outcomeUnlessLeft(ctx, "failed"), status)
}
