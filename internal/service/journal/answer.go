package journal

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/orders"
)

// step names this part in errors.
const step = "orders"

// HeaderReplayed marks the recorded answer of an order that had run before.
const HeaderReplayed = "Idempotent-Replayed"

// finish turns the machine's reply into the answer for the caller.
func (s *Service) finish(ctx context.Context, p *partition, k orders.Key, sub *submission, r orders.Reply) error {
	got := sub.sink.detach()
	if r.Run != orders.RunDone {
		return s.replyError(k, sub, r)
	}
	switch {
	case got.whole:
		return nil
	case got.started || got.sink == nil:
		return cutAnswer(k, s.self(), nil)
	case r.Operator != "":
		return settledError(k, r)
	}
	s.meters.repeated.Inc(1)
	if r.BodyInLog {
		body, err := p.fetch(ctx, r.Offset)
		if err != nil {
			return lateAnswer(k, err)
		}
		r.Outcome.Body = body
	}
	return writeRecorded(got.sink, sub.req.Attempt, k, r)
}

// fetch reads a recorded answer from the log.
func (p *partition) fetch(ctx context.Context, offset uint64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	page, err := p.service.log.Read(ctx, p.stream, offset, 1, 0)
	if err != nil {
		return nil, err
	}
	if len(page.Records) == 0 || page.Records[0].Offset != offset {
		return nil, errRecordGone
	}
	rec, err := orders.DecodeRecord(page.Records[0].Data)
	if err != nil {
		return nil, err
	}
	if rec.Outcome == nil {
		return nil, errRecordGone
	}
	return rec.Outcome.Body, nil
}

// writeRecorded passes a recorded answer on.
func writeRecorded(sink call.Sink, attempt call.Attempt, k orders.Key, r orders.Reply) error {
	o := &r.Outcome
	if o.BodyOmitted {
		return &call.Error{Code: call.CodeTooLarge, Step: step, Run: call.RunDone, StatusLink: statusLink(k),
			Message: "the order has run; its answer was too large to be recorded"}
	}
	header := http.Header{HeaderReplayed: {"true"}}
	if o.ContentType != "" {
		header.Set("Content-Type", o.ContentType)
	}
	if err := sink.Head(call.Head{Attempt: attempt, Status: o.Status, Header: header, Target: o.Target}); err != nil {
		return cutAnswer(k, "", err)
	}
	if len(o.Body) > 0 {
		if err := sink.Chunk(call.Chunk{Attempt: attempt, Data: o.Body}); err != nil {
			return cutAnswer(k, "", err)
		}
	}
	end := call.End{Attempt: attempt, Length: uint64(len(o.Body)), Digest: xxhash.Sum64(o.Body)}
	if err := sink.End(end); err != nil {
		return cutAnswer(k, "", err)
	}
	return nil
}

// errRecordGone means that the log does not hold an answer any more.
var errRecordGone = &call.Error{Code: call.CodeKeyExpired, Step: step, Run: call.RunDone,
	Message: "the record of the answer has expired"}

func lateAnswer(k orders.Key, cause error) *call.Error {
	return &call.Error{Code: call.CodeLogUnavailable, Step: step, Peer: "log", Run: call.RunDone, StatusLink: statusLink(k),
		Message: "the order has run; its answer can't be read from the log now", RetryAfter: fetchTimeout, Cause: cause}
}

func settledError(k orders.Key, r orders.Reply) *call.Error {
	return &call.Error{Code: call.CodeUnknownOutcome, Step: step, Run: runOf(r.Run), StatusLink: statusLink(k),
		Message: "an operator has settled this order: " + r.Run.String()}
}

func runOf(r orders.Run) call.Run {
	switch r {
	case orders.RunNot:
		return call.RunNot
	case orders.RunDone:
		return call.RunDone
	default:
		return call.RunUnknown
	}
}

// reasonText is what callers read for each reason.
var reasonText = map[orders.Reason]struct {
	code call.Code
	text string
}{
	orders.ReasonOutcomeUnknown: {call.CodeUnknownOutcome, "the order was sent and its outcome is not known yet"},
	orders.ReasonDispatchFailed: {call.CodeUnavailable, "the order was not sent to a target"},
	orders.ReasonLogUnavailable: {call.CodeLogUnavailable, "the log is away, and only tickets can run; POST /v1/tickets hands them out"},
	orders.ReasonOverloaded:     {call.CodeOverloaded, "too many orders wait to be recorded"},
	orders.ReasonDeadline:       {call.CodeDeadline, "the deadline has passed"},
	orders.ReasonKeyReused:      {call.CodeKeyReused, "this key belongs to another order"},
	orders.ReasonKeyExpired:     {call.CodeKeyExpired, "this key is too old to tell whether it has run"},
	orders.ReasonKeyInFuture:    {call.CodeBadRequest, "this key is dated ahead of now"},
	orders.ReasonForeignTicket:  {call.CodeUnknownOutcome, "only the router that handed out this ticket could run it"},
	orders.ReasonNotFound:       {call.CodeNotFound, "there is no such order"},
	orders.ReasonOutcomeKnown:   {call.CodeBadRequest, "the outcome of this order is known"},
	orders.ReasonRunning:        {call.CodeBadRequest, "this order may still be running"},
}

// replyError is the error for a reply without an answer of a target.
func (s *Service) replyError(k orders.Key, sub *submission, r orders.Reply) error {
	if r.Reason == orders.ReasonNotOwner || r.Reason == orders.ReasonDraining {
		return errElsewhere
	}
	if r.Operator != "" {
		return settledError(k, r)
	}
	s.count1(r.Run)
	text := reasonText[r.Reason]
	e := &call.Error{Code: text.code, Message: text.text, Step: step, Peer: string(s.self()),
		Run: runOf(r.Run), RetryAfter: r.RetryAfter}
	if f := sub.dispatchFailure(); f != nil && (r.Reason == orders.ReasonDispatchFailed || r.Reason == orders.ReasonOutcomeUnknown) {
		e.Code, e.Message, e.RetryAfter, e.Cause = f.Code, f.Message, f.RetryAfter, f
		e.Peer = f.Peer
	}
	if e.Run == call.RunUnknown {
		e.StatusLink = statusLink(k)
	}
	return e
}

func (s *Service) count1(r orders.Run) {
	switch r {
	case orders.RunNot:
		s.meters.notRun.Inc(1)
	case orders.RunUnknown:
		s.meters.unknown.Inc(1)
	}
}
