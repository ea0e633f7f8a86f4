// Package engine is the client of a model engine, which speaks the
// chat-completions API with server-sent events.
package engine

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/target"
)

// Engine is a model engine.
type Engine interface {
	target.Runner
	target.Reporter
	// CacheEvents reads changes of the prefix cache from a number on, waiting
	// up to wait for one.
	CacheEvents(ctx context.Context, from uint64, wait time.Duration) (EventPage, error)
	// ExportCache returns the KV cache of a key.
	ExportCache(ctx context.Context, key string) ([]byte, error)
	// ImportCache gives the engine the KV cache of a key.
	ImportCache(ctx context.Context, key string, data []byte) error
	// Order changes what the engine holds or does. An order that is refused
	// because of its fencing number is target.ErrRefused.
	Order(ctx context.Context, o Order) (OrderResult, error)
	// Progress tells how far the engine is with a request.
	Progress(ctx context.Context, id call.ID) (Progress, error)
	// Cancel ends a request.
	Cancel(ctx context.Context, id call.ID) error
}

// Client talks to one engine.
type Client struct {
	api target.API
	// fresh makes the calls that must not meet a silent connection.
	fresh    target.API
	clock    kernel.Clock
	progress time.Duration
	resumes  bool
}

// Option changes a client.
type Option func(*Client)

// WithProgress makes the client ask an engine that has been silent for d
// whether it still works on the request, and give up a silent connection.
func WithProgress(clock kernel.Clock, d time.Duration) Option {
	return func(c *Client) { c.clock, c.progress = clock, d }
}

// WithResume makes the client resume an answer that was cut off.
func WithResume() Option { return func(c *Client) { c.resumes = true } }

// New returns a client of the engine called name at baseURL. The HTTP client
// is one of target.NewHTTPClient.
func New(name fleet.Target, baseURL string, http *http.Client, options ...Option) *Client {
	c := &Client{
		api:   target.API{Client: http, Target: name, Base: baseURL},
		fresh: target.API{Client: target.WithoutReuse(http), Target: name, Base: baseURL},
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// maxResumes limits how often one answer is resumed.
const maxResumes = 3

// Run sends a chat request and streams its answer. An answer that is cut off
// is resumed where the engine can.
func (c *Client) Run(ctx context.Context, req *call.Request, sink call.Sink) error {
	if req.ResumeFrom > 0 && !c.resumes {
		return &call.Error{Code: call.CodeResumeImpossible, Step: "target", Peer: string(c.api.Target), Run: call.RunNot, Message: "engine does not resume answers"}
	}
	run := &target.HTTPRun{
		Client:  c.api.Client,
		Target:  c.api.Target,
		Request: req.ID,
		Attempt: req.Attempt,
		Offset:  req.ResumeFrom,
		Digest:  xxhash.New(),
		Refused: c.refused,
		EndMark: endMark,
		Watch:   c.watch(req.ID),
	}
	err := c.try(ctx, run, req, sink)
	for i := 0; i < maxResumes && c.mayResume(ctx, run, err); i++ {
		if again := c.try(ctx, run, req, sink); again == nil || !notResumed(again) {
			err = again
			continue
		}
		break
	}
	c.cancelRest(ctx, req.ID, err)
	return err
}

// endMark is the last line of a streamed chat.
const endMark = "data: [DONE]"

// mayResume reports whether an answer that failed with err has begun and can
// go on.
func (c *Client) mayResume(ctx context.Context, run *target.HTTPRun, err error) bool {
	var e *call.Error
	return c.resumes && run.Offset > 0 && ctx.Err() == nil && errors.As(err, &e) && e.Code == call.CodeCut
}

// notResumed reports whether the engine could not go on with an answer.
func notResumed(err error) bool {
	var e *call.Error
	return errors.As(err, &e) && e.Code != call.CodeCut
}

// try sends the request once, for the answer from run.Offset on.
func (c *Client) try(ctx context.Context, run *target.HTTPRun, req *call.Request, sink call.Sink) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.api.Base+PathChat, target.Body(req.Body))
	if err != nil {
		return &call.Error{Code: call.CodeInternal, Step: "target", Peer: string(c.api.Target), Run: call.RunNot, Message: "cannot build request", Cause: err}
	}
	r.ContentLength = int64(len(req.Body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(target.HeaderRequestID, string(req.ID))
	r.Header.Set(HeaderPriority, strconv.Itoa(int(req.Priority)))
	r.Header.Set(HeaderCacheKey, CacheKey(req))
	if req.TraceParent != "" {
		r.Header.Set(target.HeaderTraceParent, req.TraceParent)
	}
	if run.Offset > 0 {
		r.Header.Set(HeaderResumeFrom, strconv.FormatUint(run.Offset, 10))
	}
	return run.Do(ctx, r, sink)
}

// refused turns an answer that the engine gives in place of running the
// request into an error, so that another engine can run it.
func (c *Client) refused(resp *http.Response) *call.Error {
	e := &call.Error{
		Code:    call.CodeTargetError,
		Message: "engine failed with status " + strconv.Itoa(resp.StatusCode),
		Step:    "target",
		Peer:    string(c.api.Target),
		Run:     call.RunUnknown,
	}
	switch {
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		e.Code, e.Message, e.Run = call.CodeOverloaded, "engine is overloaded", call.RunNot
	case resp.StatusCode == http.StatusNotFound:
		e.Code, e.Message, e.Run = call.CodeNoTarget, "engine does not hold the model", call.RunNot
	case resp.StatusCode == http.StatusGone:
		e.Code, e.Message, e.Run = call.CodeResumeImpossible, "engine does not have the answer any more", call.RunNot
	case resp.StatusCode < http.StatusInternalServerError:
		return nil
	}
	return e
}

// watch returns the rule for silent connections of a request.
func (c *Client) watch(id call.ID) *target.Watch {
	if c.progress <= 0 {
		return nil
	}
	return &target.Watch{
		Clock:    c.clock,
		Progress: c.progress,
		Alive: func(ctx context.Context, received uint64) bool {
			p, err := c.Progress(ctx, id)
			return err == nil && p.Running && p.Bytes <= received
		},
	}
}

// cancelLimit is the time that the cancel of a request may take.
const cancelLimit = 2 * time.Second

// cancelRest frees the engine of a request whose answer nobody waits for. An
// engine that resumes answers goes on with it otherwise.
func (c *Client) cancelRest(ctx context.Context, id call.ID, err error) {
	var e *call.Error
	if !c.resumes || !errors.As(err, &e) || e.Run != call.RunUnknown {
		return
	}
	ctx = context.WithoutCancel(ctx)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, cancelLimit)
		defer cancel()
		_ = c.Cancel(ctx, id)
	}()
}

// Report reads the engine's load report.
func (c *Client) Report(ctx context.Context) (target.Report, error) { return c.fresh.Report(ctx) }

// eventsTimeout is the time that a read of cache events may take beyond its
// wait.
const eventsTimeout = 2 * time.Second

type eventsQuery struct {
	From   uint64 `url:"from"`
	WaitMS int64  `url:"wait_ms"`
}

// CacheEvents reads changes of the prefix cache.
func (c *Client) CacheEvents(ctx context.Context, from uint64, wait time.Duration) (EventPage, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+eventsTimeout)
	defer cancel()
	s := c.api.Sling().Get(PathEvents).QueryStruct(eventsQuery{From: from, WaitMS: wait.Milliseconds()})
	var out EventPage
	err := c.api.Do(ctx, "cache events", s, &out)
	return out, err
}

// ExportCache returns the KV cache of a key.
func (c *Client) ExportCache(ctx context.Context, key string) ([]byte, error) {
	return c.api.Bytes(ctx, "KV cache export", c.api.Sling().Get(PathCache+url.PathEscape(key)))
}

// ImportCache gives the engine the KV cache of a key.
func (c *Client) ImportCache(ctx context.Context, key string, data []byte) error {
	s := c.api.Sling().Put(PathCache + url.PathEscape(key)).Body(bytes.NewReader(data))
	return c.api.Do(ctx, "KV cache import", s, nil)
}

// Order changes what the engine holds or does.
func (c *Client) Order(ctx context.Context, o Order) (OrderResult, error) {
	var out OrderResult
	err := c.api.Do(ctx, "engine order", c.api.Sling().Post(PathOrders).BodyJSON(o), &out)
	return out, err
}

// Progress tells how far the engine is with a request.
func (c *Client) Progress(ctx context.Context, id call.ID) (Progress, error) {
	var out Progress
	err := c.fresh.Do(ctx, "request progress", c.fresh.Sling().Get(PathRequests+url.PathEscape(string(id))), &out)
	return out, err
}

// Cancel ends a request.
func (c *Client) Cancel(ctx context.Context, id call.ID) error {
	return c.fresh.Do(ctx, "cancel", c.fresh.Sling().Delete(PathRequests+url.PathEscape(string(id))), nil)
}

// Interface guard.
var _ Engine = (*Client)(nil)
