package callerapi

import (
	"context"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/tracing"
)

// ResumeBudget is a router that limits how often work is done again.
type ResumeBudget interface {
	// AllowResume takes one continuation of a broken answer from the retry budget
	// of the client account.
	AllowResume(account fleet.Account) bool
}

// run takes the request to a target. A streamed answer that breaks off goes on
// behind its last whole event: the target that has the answer resumes it, or
// another run gives it again.
func (s *Service) run(ctx context.Context, x *exchange, out *callerSink) error {
	ctx, span := s.tracer.Start(ctx, "entry")
	defer span.End()
	x.req.TraceParent = tracing.Parent(ctx)
	for {
		err := s.runOnce(ctx, x, out)
		if err == nil || !s.goesOn(ctx, x, out, call.AsError(err)) {
			return err
		}
		s.meters.resumed.Inc(1)
		from := out.position()
		out.again(from)
		x.req.ResumeFrom = from.Offset
		x.req.Attempt++
	}
}

// runOnce runs the request. A resumed answer that no target has any more comes
// from another run, from its beginning.
func (s *Service) runOnce(ctx context.Context, x *exchange, out *callerSink) error {
	err := s.runnerOf(x.req)(ctx, x.req, out)
	if err != nil && out.refusal == nil && x.req.ResumeFrom > 0 && call.AsError(err).Code == call.CodeResumeImpossible {
		out.again(out.position())
		x.req.ResumeFrom = 0
		err = s.runnerOf(x.req)(ctx, x.req, out)
	}
	if err != nil && out.refusal != nil {
		return out.refusal
	}
	return err
}

// goesOn reports whether a stream that broke off is continued here. Before the
// first event the router below has tried what there is to try.
func (s *Service) goesOn(ctx context.Context, x *exchange, out *callerSink, e *call.Error) bool {
	if out.events == nil || out.refusal != nil || !x.req.Repeatable || ctx.Err() != nil {
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
