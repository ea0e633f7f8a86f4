package callerapi

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/answers"
	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/service/figures"
	"github.com/zinniafork/zinniafork/internal/service/membudget"
	"github.com/zinniafork/zinniafork/internal/target"
	"github.com/zinniafork/zinniafork/internal/tracing"
)

// exchange is one request of a caller with its response.
type exchange struct {
	req    *call.Request
	stream bool
	// from is the position after which a streamed response continues.
	from answers.Position
}

// exchangeHandler returns a handler that reads the body of a request, validates it
// with check, and runs it.
func (s *Service) exchangeHandler(check func(*http.Request, *config.Account, []byte) (*exchange, *call.Error)) accountHandler {
	return func(w http.ResponseWriter, r *http.Request, account *config.Account) {
		body, e := s.readBody(w, r, account)
		if e != nil {
			writeError(w, e)
			membudget.Drain(w, r)
			return
		}
		defer body.Close()
		x, e := check(r, account, body.Bytes)
		if e != nil {
			writeError(w, e)
			return
		}
		s.serve(w, r, account, x)
	}
}

// serve runs an exchange within the concurrency limits and its deadline, writes the
// response or the error to the caller, and records the result.
func (s *Service) serve(w http.ResponseWriter, r *http.Request, account *config.Account, x *exchange) {
	if e := s.limits.acquire(account); e != nil {
		s.recordEnd(x, call.AsError(e), time.Time{}, s.clock.Now())
		writeError(w, e)
		return
	}
	defer s.limits.release(account)
	s.metrics.running.Inc(1)
	defer s.metrics.running.Dec(1)

	arrived := s.clock.Now()
	ctx, cancel := context.WithTimeout(r.Context(), x.req.Deadline.Sub(arrived))
	defer cancel()
	ctx, span := s.startSpan(ctx, r, x)
	defer span.End()

	w.Header().Set(target.HeaderRequestID, string(x.req.ID))
	out := s.newSink(w, x)
	err := s.run(ctx, x, out)
	out.close()
	var e *call.Error
	if err != nil {
		e = call.AsError(err)
		span.SetStatus(codes.Error, string(e.Code))
	}
	s.recordEnd(x, e, out.firstByte, arrived)
	if e != nil {
		s.reportError(w, r, out, x, e)
	}
}

// startSpan starts the span of a request, as a child of the span in the trace
// header of the caller, if there is one.
func (s *Service) startSpan(ctx context.Context, r *http.Request, x *exchange) (context.Context, trace.Span) {
	ctx = tracing.Continue(ctx, r.Header.Get(target.HeaderTraceParent))
	ctx, span := s.tracer.Start(ctx, "caller", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("request", string(x.req.ID)),
		attribute.String("account", string(x.req.Account)),
	))
	return ctx, span
}

// reportError logs a failure and reports it to the caller. If the response has not
// started, it writes an error response. A stream that has started gets an error
// event. Other responses have no room for an error, so reportError aborts the
// connection and the caller sees an incomplete response.
func (s *Service) reportError(w http.ResponseWriter, r *http.Request, out *callerSink, x *exchange, e *call.Error) {
	s.logger.WithError(e).
		WithField("request", x.req.ID).
		WithField("trace", tracing.ID(x.req.TraceParent)).
		Info("Request failed.")
	switch {
	case !out.started:
		writeError(w, e)
	case out.events != nil:
		out.writeErrorEvent(e)
	default:
		httpserve.Abort(w, r)
	}
}

// recordEnd records the result of an exchange in the metrics and in the figures of
// the client account. e is nil if it succeeded; firstByte is zero if the caller got
// nothing.
func (s *Service) recordEnd(x *exchange, e *call.Error, firstByte, arrived time.Time) {
	now := s.clock.Now()
	sample := figures.Sample{
		Member:  x.req.Member,
		Account: x.req.Account,
		Kind:    x.req.Kind,
		Run:     call.RunDone,
		Total:   now.Sub(arrived),
		Request: x.req,
		Err:     e,
	}
	if !firstByte.IsZero() {
		sample.FirstByte = firstByte.Sub(arrived)
		s.metrics.firstByte.Update(int64(sample.FirstByte))
	}
	if e != nil {
		sample.Code, sample.Run = e.Code, e.Run
	}
	sample.InTime = e == nil && s.inTime(&sample)
	s.metrics.total.Update(int64(sample.Total))
	s.metrics.countEnd(sample.Code)
	s.figures.Record(sample)
}

// inTime reports whether a complete response met the deadlines of the
// configuration: first token and total time for chats, total time for services.
func (s *Service) inTime(sample *figures.Sample) bool {
	limits := s.config.Current().Deadlines
	if sample.Kind == call.KindChat {
		return sample.FirstByte <= limits.FirstToken.Std() && sample.Total <= limits.Chat.Std()
	}
	return sample.Total <= limits.Service.Std()
}
