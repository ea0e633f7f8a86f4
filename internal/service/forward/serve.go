package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/attempt"
	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/tracing"
)

// traceHeader is the header that carries the trace context from hop to hop.
const traceHeader = "Traceparent"

// errDeadline cancels a send when the deadline of the request has passed.
var errDeadline = errors.New("request deadline exceeded")

// request holds the state of a call in progress.
type request struct {
	*Call
	s     *Service
	reply ResponseWriter
	// caller ends when the caller leaves.
	caller context.Context
	// version is the version of the configuration that applies, zero if there is
	// none.
	version int64
	route   *routing.Route
	account *routing.Account
	service *routing.Service
	// verdict tells how the origin of a stream that the caller takes up is known.
	verdict string
	// content identifies requests that are the same but for their ID.
	content uint64
	// resource identifies those with the same path, account and body.
	resource uint64
	// deadline is the time by which the caller gets its final response.
	deadline time.Time
	// cur is the current send, and next the one whose response takes over from it.
	cur  *send
	next *send
	// firstByte is the time from the request's arrival to the first byte of its
	// response, and longestPause the longest time between two writes of a stream;
	// lastWriteAt is the time of the last one.
	firstByte    time.Duration
	longestPause time.Duration
	lastWriteAt  time.Time
	lastErr      error

	// mu guards the fields below, which a hedge uses as well.
	mu      sync.Mutex
	machine *attempt.Machine
	// tried holds the targets that the request was sent to.
	tried map[fleet.Target]bool
	// pinned is the version of the target that began the stream, empty until there is one
	// or if it has none.
	pinned string
	// headSent is true once the head of a response was passed on.
	headSent bool
	// emptyRest is true once a target had no event for a caller that asked for the rest of
	// a stream.
	emptyRest bool
	// lastSentID is the ID of the last event that the caller has received.
	lastSentID string
	// hedge is nil unless the request is being sent to a hedge.
	hedge *hedge
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
	r := &request{Call: c, s: s, reply: reply, caller: ctx, cur: new(send), tried: make(map[fleet.Target]bool), lastSentID: c.LastEventID}
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
	defer r.dropHedge()
	if refusal, ok := r.pinOrigin(ctx); !ok {
		r.refuse(refusal)
		return
	}
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
	r.content, r.resource = r.hashContent(), r.hashResource()
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

// timeLimit returns the time that the request gets, counted from its arrival.
func (r *request) timeLimit() time.Duration {
	limit := r.route.TimeLimit()
	if r.Timeout > 0 {
		limit = min(limit, r.Timeout)
	}
	return limit
}

// remaining returns the time until the deadline.
func (r *request) remaining() time.Duration { return r.deadline.Sub(r.s.clock.Now()) }

// run sends the request until it gets a response or cannot be retried.
func (r *request) run(ctx context.Context) {
	action := r.sendOnce(ctx)
	for {
		switch action {
		case responseDone:
			return
		case attempt.Retry, attempt.Resume:
			action = r.sendOnce(ctx)
		case replaced:
			action = r.takeOver(ctx)
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

// replaced is the action after a send whose hedge has responded: the response in
// request.next is passed on.
const replaced attempt.Action = 254

// logEntry returns a log entry with the request's fields and the reasons for the
// choice of its target.
func (r *request) logEntry() *logrus.Entry {
	fields := logrus.Fields{"request": r.ID, "took_ms": r.s.clock.Now().Sub(r.Received).Milliseconds()}
	if r.route != nil {
		fields["route"] = r.route.Name
		r.mu.Lock()
		fields["sends"] = r.machine.Sends()
		if r.cur.via != "" {
			fields["via"] = r.cur.via
		}
		r.mu.Unlock()
	}
	if r.service != nil {
		fields["service"] = r.service.Name
	}
	if r.account != nil {
		fields["account"] = r.account.Name
	}
	if r.content != 0 {
		fields["content"] = fmt.Sprintf("%x", r.content)
	}
	if choice := &r.cur.choice; choice.Reason != "" {
		fields["target"] = choice.Target.ID
		fields["why"] = choice.Reason
		if version := choice.Target.Version; version != "" {
			fields["version"] = version
		}
		fields["load"] = choice.Load
		fields["mean"] = choice.Mean
	}
	r.cur.addPlacement(fields)
	if r.cur.limited {
		fields["rate_limit"] = r.cur.limit
	}
	if len(r.Prefixes) > 0 {
		fields["prompt"] = fmt.Sprintf("%x", r.Prefixes[len(r.Prefixes)-1])
	}
	if r.cur.cacheSource != "" {
		fields["cache_from"] = r.cur.cacheSource
	}
	if r.LastEventID != "" {
		fields["after_event"], fields["resumes"], fields["origin"] = r.LastEventID, r.Resumes, r.verdict
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
	if r.cur.resp != nil && r.cur.resp.Unframed {
		entry = entry.WithField("unframed", true)
	}
	entry.WithFields(r.cur.workFields()).Info("Request ended.")
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
