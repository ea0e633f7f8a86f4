package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/service/callerapi"
)

// watchedCall is one HTTP request with a watch on its progress.
type watchedCall struct {
	ctx    context.Context
	cancel context.CancelFunc
	watch  *time.Timer
}

func newCall(ctx context.Context) *watchedCall {
	ctx, cancel := context.WithCancel(ctx)
	return &watchedCall{ctx: ctx, cancel: cancel, watch: time.AfterFunc(answerLimit, cancel)}
}

// progress starts the wait for the next byte.
func (c *watchedCall) progress(waiting bool) {
	limit := progressLimit
	if waiting {
		limit = answerLimit
	}
	c.watch.Reset(limit)
}

func (c *watchedCall) end() {
	c.watch.Stop()
	c.cancel()
}

// post sends a body. A body that can't be read again keeps the HTTP client
// from repeating the request by itself.
func (c *Client) post(ctx context.Context, url string, body []byte, header map[string]string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+c.opt.Account.Key)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	return c.http.Do(r)
}

// failed ends an attempt that the caller's own side saw fail. An answer that
// the caller gave up at its own deadline was not cut off.
func failed(ctx context.Context, a history.Attempt, err error) (history.Attempt, verdict) {
	a.End = time.Now()
	a.Err = err.Error()
	a.Cut = !a.FirstByte.IsZero() && ctx.Err() == nil
	return a, verdict{avoid: true}
}

// refused reads an error answer.
func refused(ctx context.Context, a history.Attempt, resp *http.Response) (history.Attempt, verdict) {
	a.Status = resp.StatusCode
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return failed(ctx, a, err)
	}
	a.End = time.Now()
	var out struct {
		Error reportedError `json:"error"`
	}
	if json.Unmarshal(data, &out) != nil {
		a.Err = string(data[:min(len(data), maxErrorBytes)])
	}
	out.Error.note(&a)
	v := verdict{after: retryAfter(resp)}
	v.avoid = v.after == 0
	v.stop = resp.StatusCode < http.StatusInternalServerError && resp.StatusCode != http.StatusTooManyRequests
	return a, v
}

// maxErrorBytes is how much of an unreadable error answer is kept.
const maxErrorBytes = 200

// retryAfter returns the wait that the router asked for, zero for none.
func retryAfter(resp *http.Response) time.Duration {
	if ms, err := strconv.ParseInt(resp.Header.Get(callerapi.HeaderRetryAfter), 10, 64); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// reportedError is the error that a router answers with.
type reportedError struct {
	Code string      `json:"code"`
	Step string      `json:"step"`
	Run  history.Run `json:"run"`
}

func (e *reportedError) note(a *history.Attempt) {
	a.Code, a.Step, a.Run = e.Code, e.Step, e.Run
}
