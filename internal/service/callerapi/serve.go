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
	"github.com/zinniafork/zinniafork/internal/service/figures"
	"github.com/zinniafork/zinniafork/internal/target"
	"github.com/zinniafork/zinniafork/internal/tracing"
)

// exchange is one request of a caller.
type exchange struct {
	req    *call.Request
	stream bool
	// from is the position behind which a streamed answer goes on.
	from answers.Position
}

// exchanges returns a handler that reads the body of a request, has it checked,
// and runs it.
func (s *Service) exchanges(check func(*http.Request, *config.Account, []byte) (*exchange, *call.Error)) accountHandler {
	return func(w http.ResponseWriter, r *http.Request, account *config.Account) {
		body, e := s.readBody(w, r)
		if e != nil {
			writeError(w, e)
			return
		}
		x, e := check(r, account, body)
		if e != nil {
			writeError(w, e)
			return
		}
		s.serve(w, r, account, x)
	}
}

// serve runs an exchange and answers the caller.
func (s *Service) serve(w http.ResponseWriter, r *http.Request, account *config.Account, x *exchange) {
	if e := s.limits.enter(account); e != nil {
		s.ended(x, call.AsError(e), time.Time{}, s.clock.Now())
		writeError(w, e)
		return
	}
	defer s.limits.leave(account)
	s.meters.running.Inc(1)
	defer s.meters.running.Dec(1)

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
	s.ended(x, e, out.firstByte, arrived)
	if e != nil {
		s.report(w, out, x, e)
	}
}

func (s *Service) startSpan(ctx context.Context, r *http.Request, x *exchange) (context.Context, trace.Span) {
	ctx = tracing.Continue(ctx, r.Header.Get(target.HeaderTraceParent))
	ctx, span := s.tracer.Start(ctx, "caller", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("request", string(x.req.ID)),
		attribute.String("account", string(x.req.Account)),
	))
	return ctx, span
}

// report tells the caller of a failure: as an answer of its own, inside a
// stream that has begun, or by breaking off an answer of known shape.
func (s *Service) report(w http.ResponseWriter, out *callerSink, x *exchange, e *call.Error) {
	s.logger.WithError(e).
		WithField("request", x.req.ID).
		WithField("trace", tracing.ID(x.req.TraceParent)).
		Info("Request failed.")
	switch {
	case !out.started:
		writeError(w, e)
	case out.events != nil:
		out.fail(e)
	default:
		panic(http.ErrAbortHandler)
	}
}

// ended counts an exchange.
func (s *Service) ended(x *exchange, e *call.Error, firstByte, arrived time.Time) {
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
		s.meters.firstByte.Update(int64(sample.FirstByte))
	}
	if e != nil {
		sample.Code, sample.Run = e.Code, e.Run
	}
	sample.InTime = e == nil && s.inTime(&sample)
	s.meters.total.Update(int64(sample.Total))
	s.meters.ended(sample.Code)
	s.figures.Record(sample)
}

// inTime reports whether a whole answer kept the deadlines of configuration.
func (s *Service) inTime(sample *figures.Sample) bool {
	limits := s.config.Current().Deadlines
	if sample.Kind == call.KindChat {
		return sample.FirstByte <= limits.FirstToken.Std() && sample.Total <= limits.Chat.Std()
	}
	return sample.Total <= limits.Service.Std()
}
