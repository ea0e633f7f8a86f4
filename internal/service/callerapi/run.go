package callerapi

import (
	"context"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/tracing"
)

// ResumeBudget is an optional interface of a route.Router that limits how often cut
// responses are resumed.
type ResumeBudget interface {
	// AllowResume takes one resumption of a cut response from the retry budget of
	// the client account. It reports false if the budget is spent.
	AllowResume(account fleet.Account) bool
}

// run runs the request until its response is complete or it fails. If a streamed
// response is cut, run continues it after the last complete event: the target that
// has the response resumes it, or the request runs again and the events that the
// caller has are skipped. A response that has begun has run, whatever becomes of later
// attempts.
func (s *Service) run(ctx context.Context, x *exchange, out *callerSink) error {
	ctx, span := s.tracer.Start(ctx, "entry")
	defer span.End()
	x.req.TraceParent = tracing.Parent(ctx)
	for {
		err := s.runOnce(ctx, x, out)
		if err == nil {
			return nil
		}
		e := call.AsError(err)
		if !s.shouldResume(ctx, x, out, e) {
			if out.started {
				return e.WithoutNotRun()
			}
			return e
		}
		s.metrics.resumed.Inc(1)
		from := out.position()
		out.prepareResume(from)
		x.req.ResumeFrom = from.Offset
		x.req.Attempt++
	}
}

// runOnce makes one attempt at the request. If it should resume a response that no
// target has any more, it runs the request again from the beginning. If the sink
// rejected the response, it returns the error of the sink.
func (s *Service) runOnce(ctx context.Context, x *exchange, out *callerSink) error {
	err := s.runFunc(x.req)(ctx, x.req, out)
	if err != nil && out.rejection == nil && x.req.ResumeFrom > 0 && call.AsError(err).Code == call.CodeResumeImpossible {
		out.prepareResume(out.position())
		x.req.ResumeFrom = 0
		err = s.runFunc(x.req)(ctx, x.req, out)
	}
	if err != nil && out.rejection != nil {
		return out.rejection
	}
	return err
}

// shouldResume reports whether to continue a streamed response that was cut. The
// router itself retries requests that fail before the response starts. Only errors
// that another attempt may overcome, of requests that may be repeated, are resumed,
// up to the attempts and the retry budget of the configuration.
func (s *Service) shouldResume(ctx context.Context, x *exchange, out *callerSink, e *call.Error) bool {
	if out.events == nil || out.rejection != nil || !x.req.Repeatable || ctx.Err() != nil {
		return false
	}
	if e.Code != call.CodeCut && e.Code != call.CodeUnavailable && e.Code != call.CodeTargetError {
		return false
	}
	if int(x.req.Attempt) >= s.config.Current().Retry.MaxAttempts {
		return false
	}
	budget, ok := s.router.(ResumeBudget)
	return ok && budget.AllowResume(x.req.Account)
}
