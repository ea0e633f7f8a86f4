package route

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
)

const (
	// resumeWait limits the wait for a target's next owner when its owner was
	// lost while an answer was running.
	resumeWait = 6 * time.Second
	// resumeRetry is the pause between tries at that target.
	resumeRetry = 100 * time.Millisecond
)

// again tries a request that may have run once more. Only repeatable work is
// tried again, within the budgets. An answer that has begun goes on at its
// target, when that is not what failed, or comes from another run.
func (j *journey) again(e *call.Error) bool {
	c := j.service.config.Current()
	if !j.req.Repeatable || j.sink.broken != nil || int(j.req.Attempt) >= c.Retry.MaxAttempts {
		return false
	}
	if e.Code == call.CodeCanceled || e.Code == call.CodeDeadline || !j.service.mayRetry(&j.req) {
		return false
	}
	j.service.meters.retried.Inc(1)
	j.req.Attempt++
	if !j.sink.started {
		return j.elsewhere()
	}
	if e.Step == stepTarget || j.sink.joined.Delivered() == 0 {
		return j.runAnew()
	}
	return j.resume()
}

// resume asks the target for the rest of the answer by way of its next owner.
func (j *journey) resume() bool {
	j.service.meters.resumed.Inc(1)
	j.sink.joined.NextRun()
	j.req.ResumeFrom = j.sink.joined.Delivered()
	j.resumeUntil = j.service.clock.Now().Add(resumeWait)
	return true
}

// resuming reports whether the journey waits to go on at its target.
func (j *journey) resuming() bool { return !j.resumeUntil.IsZero() }

// afterResume prepares the next try when the target was not asked or does not
// have the answer.
func (j *journey) afterResume(ctx context.Context, e *call.Error) bool {
	switch e.Code {
	case call.CodeNotOwner, call.CodeUnavailable, call.CodeDraining:
		if e.Step == stepTarget || !j.service.clock.Now().Before(j.resumeUntil) {
			break
		}
		return j.service.clock.Sleep(ctx, j.service.jitter(resumeRetry)) == nil
	}
	return j.runAnew()
}

// runAnew lets another target run the request from the start. What the caller
// already has is compared and not sent again, so the caller must have it from
// the start on.
func (j *journey) runAnew() bool {
	j.resumeUntil = time.Time{}
	if j.sink.joined.Delivered() > 0 && !j.sink.joined.FromStart() {
		return false
	}
	j.sink.joined.NextRun()
	j.req.ResumeFrom = 0
	if j.elsewhere() {
		return true
	}
	// The only target may serve again.
	if j.ranking = j.service.rank(&j.req); len(j.ranking.order) == 0 {
		return false
	}
	j.choose(0)
	return true
}
