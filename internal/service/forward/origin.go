package forward

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/origin"
	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
)

// Retry-After values of streams that cannot go on.
const (
	// originLostRetryAfter is for a stream whose version is gone, or cannot be told any
	// more: it is of no use to come back with it.
	originLostRetryAfter = 30 * time.Second
	// originRetryAfter is for one whose version may be known soon.
	originRetryAfter = 500 * time.Millisecond
)

// errOrigin is the error of a stream that its caller takes up and that cannot go on.
type errOrigin struct {
	origin  origin.Origin
	verdict origin.Verdict
}

// Error tells what is known of the stream.
func (e errOrigin) Error() string {
	if e.verdict == origin.Known {
		return fmt.Sprintf("take up stream: service %s is not one of the route any more", e.origin.Service)
	}
	return "take up stream: its origin is " + e.verdict.String()
}

// pinOrigin makes a stream that the caller takes up go on at the service and version that
// began it. If these cannot be told, or the route does not lead there any more, it returns
// the refusal and false.
func (r *request) pinOrigin(ctx context.Context) (Refusal, bool) {
	if r.route.Kind != routing.Stream || r.LastEventID == "" {
		return Refusal{}, true
	}
	o, verdict := r.s.origins.Find(ctx, r.Resumes, r.service.Name)
	r.verdict = verdict.String()
	retryAfter := originLostRetryAfter
	switch {
	case verdict == origin.Uniform, verdict == origin.Known && r.useService(o):
		r.pinned = o.Version
		return Refusal{}, true
	case verdict == origin.Unaware:
		retryAfter = originRetryAfter
	}
	r.lastErr = errOrigin{origin: o, verdict: verdict}
	return Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter, Message: "the stream cannot go on here"}, false
}

// useService makes the service at which a stream began that of the request, and reports
// whether its route leads to it.
func (r *request) useService(o origin.Origin) bool {
	if o.Service == r.service.Name {
		return true
	}
	table := r.s.site.Table()
	if table == nil || !slices.ContainsFunc(r.route.Services, func(w routing.WeightedService) bool { return w.Service == o.Service }) {
		return false
	}
	service := table.Service(o.Service)
	if service == nil {
		return false
	}
	r.service = service
	return true
}

// pinVersion keeps the version at which a stream began, once its first event is to be
// passed on. The caller holds r.mu.
func (r *request) pinVersion(t *sitestate.AvailableTarget) {
	if r.route.Kind == routing.Stream && !r.headSent && r.LastEventID == "" {
		r.pinned = t.Version
	}
}

// recordOrigin records where a stream began before its first event is passed on, so that
// its caller can take it up at any router.
func (r *request) recordOrigin(s *send) {
	if r.route.Resumable && r.LastEventID == "" {
		t := &s.choice.Target
		r.s.origins.Began(s.ctx, r.ID, origin.Origin{Service: t.Service, Version: t.Version})
	}
}

// mayGoOnAt reports whether a stream that began at a version may go on at a target. Any
// target may begin one.
func mayGoOnAt(version string, t *sitestate.AvailableTarget) bool {
	return version == "" || t.Version == version
}

// versionGone reports whether no target has the version at which the stream began.
func (r *request) versionGone() bool {
	r.mu.Lock()
	version := r.pinned
	r.mu.Unlock()
	return version != "" && !slices.ContainsFunc(r.s.site.Available(r.service.Name), func(t sitestate.AvailableTarget) bool {
		return mayGoOnAt(version, &t)
	})
}
