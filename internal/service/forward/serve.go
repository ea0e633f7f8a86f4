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

// Advice to refused callers on when to come back.
const (
	// startingShare is the share of its time after which a caller comes back to
	// a router that knows no configuration, because the platform's log is away.
	// Callers repeat only once, and cut longer advice to a third of their time.
	startingShare = 0.3
	// startingLeast and startingMost bound that advice. Once the log is back, a
	// router is ready within a few tenths of a second.
	startingLeast = 250 * time.Millisecond
	startingMost  = 2500 * time.Millisecond
	// retryDraining is for a router that stops: another one can serve at once.
	retryDraining = 20 * time.Millisecond
	// retryFull is for a service without a target that takes requests; twice as
	// much at most, so that callers don't come back together.
	retryFull = 150 * time.Millisecond
)

// traceHeader carries the trace context from hop to hop.
const traceHeader = "Traceparent"

// errTimeout ends a send when the request's time is over.
var errTimeout = errors.New("the time of the request is over")

// errSilent ends a send to a target that does not begin to answer, or goes on
// too late, while another target may still answer in time.
var errSilent = errors.New("target is silent")

// request is a call in progress.
type request struct {
	*Call
	s     *Service
	reply ResponseWriter
	// version is that of the configuration that decided, zero for none.
	version int64
	route   *routing.Route
	account *routing.Account
	service *routing.Service
	machine *attempt.Machine
	tried   map[fleet.Target]bool
	// until is the time at which the caller gets a final answer.
	until time.Time
	// began is true once the answer's head was passed on.
	began bool
	// lastEvent is the id of the last event that was passed on.
	lastEvent string
	choice    balance.Choice
	// cacheSource is the address that the target is to fetch the prompt from,
	// empty for none.
	cacheSource string
	lastErr     error
}

// Serve answers a call.
func (s *Service) Serve(ctx context.Context, c *Call, reply ResponseWriter) {
	s.running.Add(1)
	s.meters.running.Inc(1)
	defer func() {
		s.running.Add(-1)
		s.meters.running.Dec(1)
	}()
	ctx, span := s.tracer.Start(tracing.Continue(ctx, c.Header.Get(traceHeader)), Name)
	defer span.End()
	r := &request{Call: c, s: s, reply: reply, tried: make(map[fleet.Target]bool), lastEvent: c.LastEventID}
	if refusal, ok := r.admit(); !ok {
		r.refuse(refusal)
		return
	}
	if r.route.Kind == routing.Unsafe {
		// A request that may have an effect runs to its end, whether or not its
		// caller still listens.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := s.clock.AfterFunc(r.left(), func() { cancel(errTimeout) })
	defer stop()
	r.run(ctx)
}

// admit finds route, account and service, or the refusal of a request that is
// not allowed.
func (r *request) admit() (Refusal, bool) {
	table := r.s.site.Table()
	if table == nil {
		return Refusal{Status: http.StatusServiceUnavailable, RetryAfter: r.backWhenReady(), Message: "no configuration yet"}, false
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
	if r.s.closed.Load() {
		return Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryDraining, Message: "router stops"}, false
	}
	r.service = table.Service(route.PickService(r.s.draw()))
	if r.service == nil {
		return Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryFull, Message: "no service"}, false
	}
	r.until = r.Received.Add(r.limit())
	if r.left() <= 0 {
		return Refusal{Status: http.StatusServiceUnavailable, Message: "deadline has passed"}, false
	}
	return Refusal{}, true
}

// backWhenReady spreads the return of callers to a router that is not ready.
func (r *request) backWhenReady() time.Duration {
	share := startingShare * (0.6 + 0.4*r.s.draw())
	after := time.Duration(share * float64(r.Timeout))
	return min(max(after, startingLeast), startingMost)
}

// defaultLimit is for callers that name no deadline on routes without one.
const defaultLimit = 60 * time.Second

// limit is the time that the request gets from its arrival on.
func (r *request) limit() time.Duration {
	limit := defaultLimit
	if r.route.Timeout > 0 {
		limit = min(limit, r.route.Timeout)
	}
	if r.Timeout > 0 {
		limit = min(limit, r.Timeout)
	}
	return limit
}

func (r *request) left() time.Duration { return r.until.Sub(r.s.clock.Now()) }

// run sends the request until it has an answer or is given up.
func (r *request) run(ctx context.Context) {
	for {
		step := r.attempt(ctx)
		switch step {
		case done:
			return
		case attempt.Retry, attempt.Resume:
			continue
		case attempt.Refuse:
			r.refuse(Refusal{Status: http.StatusServiceUnavailable, RetryAfter: r.backIn(), Message: "no target took the request"})
			return
		case attempt.Cut:
			r.cut(endedBy(ctx, "broken"))
			return
		default:
			r.fail(ctx)
			return
		}
	}
}

// endedBy returns the outcome of a request that got no whole answer: its caller
// may have left before.
func endedBy(ctx context.Context, otherwise string) string {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTimeout) {
		return "caller_left"
	}
	return otherwise
}

// done is the step after an answer that was passed on.
const done attempt.Action = 255

// backIn spreads the return of refused callers.
func (r *request) backIn() time.Duration {
	return retryFull + time.Duration(r.s.draw()*float64(retryFull))
}

// attempt sends the request once.
func (r *request) attempt(ctx context.Context) attempt.Action {
	now := r.s.clock.Now()
	query := &balance.Request{Prefixes: r.Prefixes, Avoid: r.tried}
	if !r.service.Engine {
		query.Prefixes = nil
	}
	choice, known := r.s.choose(now, r.service, query)
	if choice.Reason == balance.None {
		r.lastErr = errNoTarget{known: known}
		if r.began {
			return attempt.Cut
		}
		return r.machine.NoTarget()
	}
	r.choice = choice
	r.tried[choice.Target.ID] = true
	if !r.machine.IsRetry() {
		r.s.noteRequest(now, r.service.Name)
	}
	return r.exchange(ctx)
}

// noteRequest counts a first send for the budget of repeats.
func (s *Service) noteRequest(now time.Time, name fleet.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(name).AddRequest(now)
}

// Take grants a repeat from the budget of the request's service.
func (r *request) Take(now time.Time) bool {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return r.s.budget(r.service.Name).Take(now)
}

// exchange sends the request to the chosen target and passes its answer on.
func (r *request) exchange(ctx context.Context) attempt.Action {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, span := tracing.Start(ctx, "target")
	defer span.End()
	watch := r.watch(cancel)
	defer watch.stop()
	send := r.send()
	send.Trace = tracing.Parent(ctx)
	answer, err := r.s.targets.Send(ctx, send)
	if err != nil {
		return r.sendFailed(ctx, err)
	}
	if answer.NotRun || answer.Misdirected {
		discard(answer.Body)
		return r.notRun(answer)
	}
	return r.pass(ctx, answer, watch)
}

// discardLimit is the length in bytes up to which an answer is read to its end
// to keep the connection.
const discardLimit = 4 << 10

// discard reads a short answer to its end and closes it.
func discard(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, discardLimit))
	_ = body.Close()
}

// nameOf returns the target of a short name, empty when none is known.
func (s *Service) nameOf(ref fleet.Ref) fleet.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names[ref]
}

func (r *request) send() *TargetRequest {
	s := &TargetRequest{
		Call:          r.Call,
		Target:        r.choice.Target,
		Timeout:       r.left(),
		LastEventID:   r.lastEvent,
		Priority:      r.route.PriorityFor(r.account),
		NewConnection: !r.route.Idempotent(),
	}
	if r.account != nil {
		s.Account = r.account.Name
	}
	r.cacheSource = r.cacheFrom()
	s.CacheFrom = r.cacheSource
	return s
}

// cacheFrom returns the address of a target that can hand over the prompt's
// shared parts, empty for none. One that fails requests may still hand over
// what it keeps, so it is asked when no other has the prompt.
func (r *request) cacheFrom() string {
	last := ""
	for _, ref := range r.choice.Sources {
		id := r.s.nameOf(ref)
		t, ok := r.s.site.Lookup(id)
		switch {
		case !ok:
		case !r.tried[id] && r.s.inUse(id):
			return t.Address
		case last == "":
			last = t.Address
		}
	}
	return last
}

// sendFailed takes a send that brought no answer.
func (r *request) sendFailed(ctx context.Context, err error) attempt.Action {
	now := r.s.clock.Now()
	r.lastErr = err
	var sent *SendError
	if !errors.As(err, &sent) {
		sent = &SendError{Target: r.choice.Target.ID, Sent: true, Err: err}
	}
	if gaveUp(ctx) {
		r.s.release(now, r.choice.Target.ID, outlier.Failed, errors.Is(context.Cause(ctx), errTimeout))
		return r.over(sent.Sent)
	}
	outcome := outlier.Failed
	if sent.Unreachable {
		outcome = outlier.Unreachable
	}
	r.s.release(now, r.choice.Target.ID, outcome, true)
	state := attempt.NotSent
	if sent.Sent {
		state = attempt.Unknown
	}
	return r.next(now, state)
}

// gaveUp reports whether the caller has left or the request's time is over.
func gaveUp(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent)
}

// over is the step of a request whose time is over.
func (r *request) over(sent bool) attempt.Action {
	switch {
	case r.began:
		return attempt.Cut
	case sent || r.machine.IsRetry():
		return attempt.Fail
	default:
		return attempt.Refuse
	}
}

// notRun takes the answer of a target that did not run the request.
func (r *request) notRun(answer *Response) attempt.Action {
	now := r.s.clock.Now()
	if answer.Misdirected {
		r.s.release(now, r.choice.Target.ID, outlier.Unreachable, true)
		return r.next(now, attempt.Misdirected)
	}
	// A target that refuses although it has slots left fails; one that is full
	// does not.
	idle := r.choice.Load < float64(r.choice.Target.Slots)
	r.s.release(now, r.choice.Target.ID, outlier.Failed, idle)
	return r.next(now, attempt.Refused)
}

// next asks the state machine what to do and logs it.
func (r *request) next(now time.Time, state attempt.Outcome) attempt.Action {
	step := r.machine.SendEnded(now, state, r.left(), r)
	if r.began && step != attempt.Resume && step != attempt.Retry {
		step = attempt.Cut
	}
	entry := r.line().WithField("sent", state.String()).WithField("step", step.String())
	if r.lastErr != nil {
		entry = entry.WithError(r.lastErr)
	}
	entry.Info("Send ended without an answer.")
	return step
}

// line is a log line of the request with what decided.
func (r *request) line() *logrus.Entry {
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
	return r.s.logger.WithFields(fields)
}

func (r *request) finish(outcome string, status int) {
	now := r.s.clock.Now()
	r.s.meters.ended(outcome, now.Sub(r.Received))
	ageMS := int64(-1) // nothing is known yet
	if age, known := r.s.site.Age(); known {
		ageMS = age.Milliseconds()
	}
	entry := r.line().WithFields(logrus.Fields{"outcome": outcome, "status": status, "state_age_ms": ageMS, "config": r.version})
	if r.lastErr != nil {
		entry = entry.WithError(r.lastErr)
	}
	entry.Info("Request ended.")
}

func (r *request) refuse(refusal Refusal) {
	r.reply.Refuse(refusal)
	if r.lastErr == nil {
		r.lastErr = errors.New(refusal.Message)
	}
	r.finish("refused", refusal.Status)
}

func (r *request) cut(outcome string) {
	r.reply.Cut()
	r.finish(outcome, 0)
}

// fail tells the caller that the request failed and may have run.
func (r *request) fail(ctx context.Context) {
	status := http.StatusBadGateway
	if errors.Is(context.Cause(ctx), errTimeout) {
		status = http.StatusGatewayTimeout
	}
	r.reply.Refuse(Refusal{Status: status, Message: "no whole answer from the target"})
	r.finish(endedBy(ctx, "failed"), status)
}

// errNoTarget tells that no target may get the request.
type errNoTarget struct{ known int }

// Error describes the failure.
func (e errNoTarget) Error() string {
	if e.known == 0 {
		return "choose target: none is known"
	}
	return "choose target: none may get the request"
}
