// Package plain is the client of one worker of a plain service.
package plain

import (
	"bytes"
	"context"
	"net/http"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/fleet"
	"github.com/zinniafork/zinniafork/internal/target"
)

// HeaderKey carries the idempotency key to a worker.
const HeaderKey = "Idempotency-Key"

// Client talks to one worker.
type Client struct {
	name fleet.Target
	base string
	http *http.Client
}

// New returns a client of the worker called name at baseURL.
func New(name fleet.Target, baseURL string, http *http.Client) *Client {
	return &Client{name: name, base: baseURL, http: http}
}

// Run passes the request through and streams the answer.
func (c *Client) Run(ctx context.Context, req *call.Request, sink call.Sink) error {
	r, err := http.NewRequestWithContext(ctx, req.Method, c.base+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return &call.Error{Code: call.CodeBadRequest, Step: "target", Peer: string(c.name), Run: call.RunNot, Message: "cannot build request", Cause: err}
	}
	for name, values := range req.Header {
		r.Header[name] = values
	}
	r.Header.Set("X-Request-Id", string(req.ID))
	if req.Key != "" {
		r.Header.Set(HeaderKey, req.Key)
	}
	run := target.HTTPRun{Client: c.http, Target: c.name, Attempt: req.Attempt}
	return run.Do(ctx, r, sink)
}

// Interface guard.
var _ target.Runner = (*Client)(nil)
