package forward

import (
	"errors"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/service/slots"
)

// Retry-After values for refused callers.
const (
	// notReadyRetryRatio is the ratio of its timeout after which a caller retries at
	// a router that knows no configuration because the log is unavailable. Callers
	// retry only once, and reduce a longer Retry-After to a third of their timeout.
	notReadyRetryRatio = 0.3
	// minNotReadyRetry and maxNotReadyRetry bound that time. Once the log is
	// available again, a router is ready within a few tenths of a second.
	minNotReadyRetry = 250 * time.Millisecond
	maxNotReadyRetry = 2500 * time.Millisecond
	// drainingRetryAfter is the value at a router that stops: another one can serve
	// the request at once.
	drainingRetryAfter = 20 * time.Millisecond
	// noTargetRetryAfter is the minimum for a service without a target that takes
	// requests. A random part of up to the same length is added, so that callers do
	// not retry all at once.
	noTargetRetryAfter = 150 * time.Millisecond
)

// notReadyRetryAfter returns a randomized Retry-After for callers of a router that
// is not ready, so that they do not retry all at once.
func (r *request) notReadyRetryAfter() time.Duration {
	ratio := notReadyRetryRatio * (0.6 + 0.4*r.s.randomFloat())
	after := time.Duration(ratio * float64(r.Timeout))
	return min(max(after, minNotReadyRetry), maxNotReadyRetry)
}

// noTargetRetryDelay returns a randomized Retry-After for callers of a service
// without a target that takes requests.
func (r *request) noTargetRetryDelay() time.Duration {
	return noTargetRetryAfter + time.Duration(r.s.randomFloat()*float64(noTargetRetryAfter))
}

// refusalRetryAfter returns the Retry-After of a request that no target took.
func (r *request) refusalRetryAfter() time.Duration {
	if errors.As(r.lastErr, new(errQuarantined)) {
		return quarantineRetryAfter
	}
	if p := r.cur.placed; p != nil && p.Outcome == slots.Refused {
		return p.RetryAfter
	}
	if r.versionGone() {
		return originLostRetryAfter
	}
	if reason := r.cur.choice.Reason; reason == balance.Overloaded || reason == limitUsedUp {
		return r.s.overloadRetryAfter(r.service.Name, r.remaining())
	}
	now := r.s.clock.Now()
	if first := r.s.firstReturn(now, r.service.Name); !first.IsZero() {
		// The random part of the delay alone spreads the callers.
		return first.Sub(now) + r.noTargetRetryDelay() - noTargetRetryAfter
	}
	return r.noTargetRetryDelay()
}

// refuse sends a refusal to the caller.
func (r *request) refuse(refusal Refusal) {
	r.reply.Refuse(refusal)
	if r.lastErr == nil {
		r.lastErr = errors.New(refusal.Message)
	}
	r.finish("refused", refusal.Status)
}

// errNoTarget is the error when no target may get the request.
type errNoTarget struct {
	targets int
	reason  balance.Reason
}

// Error tells whether the service has no available target, all were excluded, or
// the remaining ones are overloaded or have used up the limits that they name.
func (e errNoTarget) Error() string {
	if e.targets == 0 {
		return "choose target: none available"
	}
	if e.reason == balance.Overloaded {
		return "choose target: all are overloaded"
	}
	if e.reason == limitUsedUp {
		return "choose target: the limits that targets name are used up"
	}
	return "choose target: all available targets are excluded"
}
