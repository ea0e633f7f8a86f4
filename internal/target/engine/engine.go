// Package engine is the client of a model engine, which speaks the
// chat-completions API with server-sent events.
package engine

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/fleet"
	"github.com/zinniafork/zinniafork/internal/target"
)

// Headers that an engine understands.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
)

// Client talks to one engine.
type Client struct {
	name fleet.Target
	base string
	http *http.Client
}

// New returns a client of the engine called name at baseURL.
func New(name fleet.Target, baseURL string, http *http.Client) *Client {
	return &Client{name: name, base: baseURL, http: http}
}

// Run sends a chat request and streams its answer.
func (c *Client) Run(ctx context.Context, req *call.Request, sink call.Sink) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/chat/completions", bytes.NewReader(req.Body))
	if err != nil {
		return &call.Error{Code: call.CodeInternal, Step: "target", Peer: string(c.name), Run: call.RunNot, Message: "cannot build request", Cause: err}
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(HeaderRequestID, string(req.ID))
	r.Header.Set(HeaderPriority, strconv.Itoa(int(req.Priority)))
	run := target.HTTPRun{Client: c.http, Target: c.name, Attempt: req.Attempt}
	return run.Do(ctx, r, sink)
}

// Interface guard.
var _ target.Runner = (*Client)(nil)
