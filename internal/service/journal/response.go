package journal

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/orders"
)

// step is the name of this package as the failing step of a call.Error.
const step = "orders"

// HeaderReplayed is the header that marks the recorded response of an order
// that had run before.
const HeaderReplayed = "Idempotent-Replayed"

// respond completes a submission with the reply of the machine. It returns nil
// once the caller has the whole response, live or recorded.
func (s *Service) respond(ctx context.Context, p *partition, k orders.Key, sub *submission, r orders.Reply) error {
	sent := sub.sink.detach()
	if r.Run != orders.RunDone {
		return s.replyError(k, sub, r)
	}
	switch {
	case sent.complete:
		return nil
	case sent.started || sent.sink == nil:
		return cutError(k, s.self(), nil)
	case r.Operator != "":
		return settledError(k, r)
	}
	s.meters.replayed.Inc(1)
	if r.BodyInLog {
		body, err := p.readRecordedBody(ctx, r.Offset)
		if err != nil {
			return bodyUnavailableError(k, err)
		}
		r.Outcome.Body = body
	}
	return replayResponse(sent.sink, sub.req.Attempt, k, r)
}

// readRecordedBody reads the response body of the outcome record at offset. It
// returns errRecordExpired when the log no longer holds that record.
func (p *partition) readRecordedBody(ctx context.Context, offset uint64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, bodyReadTimeout)
	defer cancel()
	page, err := p.service.log.Read(ctx, p.stream, offset, 1, 0)
	if err != nil {
		return nil, err
	}
	if len(page.Records) == 0 || page.Records[0].Offset != offset {
		return nil, errRecordExpired
	}
	rec, err := orders.DecodeRecord(page.Records[0].Data)
	if err != nil {
		return nil, err
	}
	if rec.Outcome == nil {
		return nil, errRecordExpired
	}
	return rec.Outcome.Body, nil
}

// replayResponse sends a recorded response to the caller.
func replayResponse(sink call.Sink, attempt call.Attempt, k orders.Key, r orders.Reply) error {
	o := &r.Outcome
	if o.BodyOmitted {
		return &call.Error{Code: call.CodeTooLarge, Step: step, Run: call.RunDone, StatusLink: statusLink(k),
			Message: "the order has run; its response was too large to be recorded"}
	}
	header := http.Header{HeaderReplayed: {"true"}}
	if o.ContentType != "" {
		header.Set("Content-Type", o.ContentType)
	}
	if err := sink.Head(call.Head{Attempt: attempt, Status: o.Status, Header: header, Target: o.Target}); err != nil {
		return cutError(k, "", err)
	}
	if len(o.Body) > 0 {
		if err := sink.Chunk(call.Chunk{Attempt: attempt, Data: o.Body}); err != nil {
			return cutError(k, "", err)
		}
	}
	end := call.End{Attempt: attempt, Length: uint64(len(o.Body)), Digest: xxhash.Sum64(o.Body)}
	if err := sink.End(end); err != nil {
		return cutError(k, "", err)
	}
	return nil
}

// errRecordExpired means that the log no longer holds the record of a
// response.
var errRecordExpired = &call.Error{Code: call.CodeKeyExpired, Step: step, Run: call.RunDone,
	Message: "the record of the response has expired"}

// bodyUnavailableError reports that the order has run, but that the log did
// not return its response body.
func bodyUnavailableError(k orders.Key, cause error) *call.Error {
	return &call.Error{Code: call.CodeLogUnavailable, Step: step, Peer: "log", Run: call.RunDone, StatusLink: statusLink(k),
		Message: "the order has run; its response cannot be read from the log now", RetryAfter: bodyReadTimeout, Cause: cause}
}

// settledError reports that an operator has settled the order, so that there
// is no response.
func settledError(k orders.Key, r orders.Reply) *call.Error {
	return &call.Error{Code: call.CodeUnknownOutcome, Step: step, Run: callRunOf(r.Run), StatusLink: statusLink(k),
		Message: "an operator has settled this order: " + r.Run.String()}
}

// callRunOf converts the run state of an order for a call.Error.
func callRunOf(r orders.Run) call.Run {
	switch r {
	case orders.RunNot:
		return call.RunNot
	case orders.RunDone:
		return call.RunDone
	default:
		return call.RunUnknown
	}
}

// reasonErrors holds the code and message of the error for each reason of a
// reply. ReasonNotOwner and ReasonDraining have no entry: the router that took
// the submission then asks another one.
var reasonErrors = map[orders.Reason]struct {
	code    call.Code
	message string
}{
	orders.ReasonOutcomeUnknown: {call.CodeUnknownOutcome, "the order was sent and its outcome is not known yet"},
	orders.ReasonDispatchFailed: {call.CodeUnavailable, "the order was not sent to a target"},
	orders.ReasonLogUnavailable: {call.CodeLogUnavailable, "the log is unavailable, and only tickets can run; POST /v1/tickets issues them"},
	orders.ReasonOverloaded:     {call.CodeOverloaded, "too many orders wait to be recorded"},
	orders.ReasonDeadline:       {call.CodeDeadline, "the deadline has passed"},
	orders.ReasonKeyReused:      {call.CodeKeyReused, "this key belongs to another order"},
	orders.ReasonKeyExpired:     {call.CodeKeyExpired, "this key has expired; whether its order has run is not known"},
	orders.ReasonKeyInFuture:    {call.CodeBadRequest, "this key is dated in the future"},
	orders.ReasonForeignTicket:  {call.CodeUnknownOutcome, "only the router that issued this ticket can run it"},
	orders.ReasonNotFound:       {call.CodeNotFound, "there is no such order"},
	orders.ReasonOutcomeKnown:   {call.CodeBadRequest, "the outcome of this order is known"},
	orders.ReasonRunning:        {call.CodeBadRequest, "this order may still be running"},
}

// replyError returns the error for a reply without the response of a target.
// It is errOtherRouter when another router must be asked. The error of a
// failed dispatch replaces the general one of the reason.
func (s *Service) replyError(k orders.Key, sub *submission, r orders.Reply) error {
	if r.Reason == orders.ReasonNotOwner || r.Reason == orders.ReasonDraining {
		return errOtherRouter
	}
	if r.Operator != "" {
		return settledError(k, r)
	}
	s.countRun(r.Run)
	reason := reasonErrors[r.Reason]
	e := &call.Error{Code: reason.code, Message: reason.message, Step: step, Peer: string(s.self()),
		Run: callRunOf(r.Run), RetryAfter: r.RetryAfter}
	if failure := sub.dispatchError(); failure != nil && (r.Reason == orders.ReasonDispatchFailed || r.Reason == orders.ReasonOutcomeUnknown) {
		e.Code, e.Message, e.RetryAfter, e.Cause = failure.Code, failure.Message, failure.RetryAfter, failure
		e.Peer = failure.Peer
	}
	if e.Run == call.RunUnknown {
		e.StatusLink = statusLink(k)
	}
	return e
}

// countRun counts an order that did not run or whose outcome is unknown.
func (s *Service) countRun(r orders.Run) {
	switch r {
	case orders.RunNot:
		s.meters.notRun.Inc(1)
	case orders.RunUnknown:
		s.meters.unknown.Inc(1)
	}
}
