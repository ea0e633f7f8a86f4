// Package plain is the client of one worker of a plain service.
package plain

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strings"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/target"
)

// HeaderKey carries the idempotency key to a worker.
const HeaderKey = "Idempotency-Key"

// KeyPlaceholder stands for the idempotency key in a status path.
const KeyPlaceholder = "{key}"

// Worker is one worker of a plain service.
type Worker interface {
	target.Runner
	target.Reporter
	// Status asks the worker for the outcome of the call with an idempotency
	// key. path is the service's status path with KeyPlaceholder in it.
	Status(ctx context.Context, path, key string) (Outcome, error)
}

// State is what a worker knows of a call.
type State string

// States of a call. A worker that answers StateUnknown has not run the call
// so far.
const (
	StateUnknown State = "unknown"
	StateRunning State = "running"
	StateDone    State = "done"
)

// Outcome is a worker's answer to a status lookup.
type Outcome struct {
	State State `json:"state"`
	// Status and Body are the answer that the call got, when done.
	Status int    `json:"status,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// Client talks to one worker, on a new connection for each call.
type Client struct {
	api target.API
}

// New returns a client of the worker called name at baseURL. The HTTP client
// is one of target.NewHTTPClient.
func New(name fleet.Target, baseURL string, http *http.Client) *Client {
	return &Client{api: target.API{Client: target.WithoutReuse(http), Target: name, Base: baseURL}}
}

// Run passes the request through and streams the answer.
func (c *Client) Run(ctx context.Context, req *call.Request, sink call.Sink) error {
	r, err := http.NewRequestWithContext(ctx, req.Method, c.api.Base+req.Path, target.Body(req.Body))
	if err != nil {
		return &call.Error{Code: call.CodeBadRequest, Step: "target", Peer: string(c.api.Target), Run: call.RunNot, Message: "cannot build request", Cause: err}
	}
	r.ContentLength = int64(len(req.Body))
	for name, values := range req.Header {
		r.Header[name] = values
	}
	r.Header.Set(target.HeaderRequestID, string(req.ID))
	if req.Key != "" {
		r.Header.Set(HeaderKey, req.Key)
	}
	if req.TraceParent != "" {
		r.Header.Set(target.HeaderTraceParent, req.TraceParent)
	}
	run := &target.HTTPRun{Client: c.api.Client, Target: c.api.Target, Request: req.ID, Attempt: req.Attempt}
	return run.Do(ctx, r, sink)
}

// Report reads the worker's load report.
func (c *Client) Report(ctx context.Context) (target.Report, error) { return c.api.Report(ctx) }

// Status asks for the outcome of a call.
func (c *Client) Status(ctx context.Context, path, key string) (Outcome, error) {
	path = strings.ReplaceAll(path, KeyPlaceholder, url.PathEscape(key))
	var out Outcome
	err := c.api.Do(ctx, "status lookup", c.api.Sling().Get(path), &out)
	if target.HasStatus(err, http.StatusNotFound) {
		return Outcome{State: StateUnknown}, nil
	}
	if err == nil && out.State != StateUnknown && out.State != StateRunning && out.State != StateDone {
		err = errors.New("status lookup at " + string(c.api.Target) + ": no known state")
	}
	return out, err
}

// Interface guard.
var _ Worker = (*Client)(nil)
