package route

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
)

const (
	// maxResumeWait limits the wait for the next owner of a target whose owner
	// failed during a response.
	maxResumeWait = 6 * time.Second
	// resumeInterval is the time between two attempts to resume the response.
	resumeInterval = 100 * time.Millisecond
)

// retryRun prepares the retry of a request that may have run. Only repeatable
// requests are retried, within the attempt limit and the retry budgets. A
// response that has started is resumed at its target, or restarted at another
// target if the target itself failed. One that has not started runs at another
// target, or at the same one if only its owner was lost and there is no other. It
// reports whether there is a retry.
func (d *dispatch) retryRun(e *call.Error) bool {
	c := d.service.config.Current()
	if !d.req.Repeatable || d.sink.failure != nil || int(d.req.Attempt) >= c.Retry.MaxAttempts {
		return false
	}
	if e.Code == call.CodeCanceled || e.Code == call.CodeDeadline || !d.service.takeRetry(&d.req, e) {
		return false
	}
	d.service.meters.retried.Inc(1)
	d.req.Attempt++
	if !d.sink.started {
		if e.Step == stepPeer && !d.hasOtherTarget() {
			return d.resume()
		}
		return d.nextTarget()
	}
	if e.Step == stepTarget || d.sink.joiner.Delivered() == 0 {
		return d.restart()
	}
	return d.resume()
}

// hasOtherTarget reports whether there is a target in service that was not tried,
// besides the current one.
func (d *dispatch) hasOtherTarget() bool {
	d.tried[d.req.Target] = true
	d.ranking = d.service.rank(&d.req)
	return d.ranking.shortestWait(d.tried) >= 0
}

// resume prepares to fetch the rest of the response from the same target, through
// the target's next owner. The rest is all of it if none has come.
func (d *dispatch) resume() bool {
	d.service.meters.resumed.Inc(1)
	d.sink.joiner.NextRun()
	d.req.ResumeFrom = d.sink.joiner.Delivered()
	d.resumeDeadline = d.service.clock.Now().Add(maxResumeWait)
	return true
}

// resuming reports whether a response that broke off is to be resumed at its
// target.
func (d *dispatch) resuming() bool { return !d.resumeDeadline.IsZero() }

// retryResume prepares the next attempt after the target could not be asked for
// the rest of the response or did not have it.
func (d *dispatch) retryResume(ctx context.Context, e *call.Error) bool {
	switch e.Code {
	case call.CodeNotOwner, call.CodeUnavailable, call.CodeDraining:
		if e.Step == stepTarget || !d.service.clock.Now().Before(d.resumeDeadline) {
			break
		}
		return d.service.clock.Sleep(ctx, d.service.jitter(resumeInterval)) == nil
	}
	return d.restart()
}

// restart prepares to run the request from the beginning at another target. The
// part that the caller already has is compared with the new response and not sent
// again, so restart fails if the caller's part does not begin at offset zero.
func (d *dispatch) restart() bool {
	d.resumeDeadline = time.Time{}
	if d.sink.joiner.Delivered() > 0 && !d.sink.joiner.FromStart() {
		return false
	}
	d.sink.joiner.NextRun()
	d.req.ResumeFrom = 0
	if d.nextTarget() {
		return true
	}
	// No other target is left; the same one may be available again.
	if d.ranking = d.service.rank(&d.req); len(d.ranking.order) == 0 {
		return false
	}
	d.choose(0)
	return true
}
