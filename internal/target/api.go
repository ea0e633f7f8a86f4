package target

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// callTimeout limits a small call whose context has no deadline.
const callTimeout = 5 * time.Second

// maxMessageBytes limits the answer to a call that is no request of a caller.
const maxMessageBytes = 64 << 20

// API makes the small calls to a target that are no requests of callers.
type API struct {
	Client *http.Client
	Target fleet.Target
	Base   string
}

// Sling returns a request builder for the target.
func (a *API) Sling() *sling.Sling { return sling.New().Base(a.Base) }

// Do sends a request and decodes a JSON answer into out, which may be nil.
// name is the step shown in errors. A status of 400 and above is ErrRefused
// below 500 and ErrUnavailable from there on, and its body is in the error.
func (a *API) Do(ctx context.Context, name string, s *sling.Sling, out any) error {
	data, err := a.Bytes(ctx, name, s)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%s at %s: decode answer: %w", name, a.Target, err)
	}
	return nil
}

// Bytes sends a request and returns the body of its answer.
func (a *API) Bytes(ctx context.Context, name string, s *sling.Sling) ([]byte, error) {
	req, err := s.Request()
	if err != nil {
		return nil, fmt.Errorf("%s at %s: build request: %w", name, a.Target, err)
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	resp, data, err := a.roundTrip(req.WithContext(ctx))
	if err != nil {
		dropIdle(ctx, a.Client)
		return nil, fmt.Errorf("%s at %s: %w: %w", name, a.Target, ErrUnavailable, err)
	}
	if resp.StatusCode < http.StatusBadRequest {
		return data, nil
	}
	kind := ErrRefused
	if resp.StatusCode >= http.StatusInternalServerError {
		kind = ErrUnavailable
	}
	return nil, &StatusError{Step: name, Target: a.Target, Status: resp.StatusCode, Body: data, kind: kind}
}

func (a *API) roundTrip(req *http.Request) (*http.Response, []byte, error) {
	req.GetBody = nil
	resp, err := a.Client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	return resp, data, err
}

// dropIdle closes idle connections after a timeout, because those opened
// before may be as silent as the one that was used.
func dropIdle(ctx context.Context, c *http.Client) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.Canceled) {
		c.CloseIdleConnections()
	}
}

// Report reads the target's load report.
func (a *API) Report(ctx context.Context) (Report, error) {
	var out Report
	err := a.Do(ctx, "load report", a.Sling().Get(ReportPath), &out)
	return out, err
}

// StatusError is an answer with a status of 400 or above.
type StatusError struct {
	Step   string
	Target fleet.Target
	Status int
	Body   []byte
	kind   error
}

// shownBytes is the most of a body that an error shows.
const shownBytes = 200

// Error describes the answer.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s at %s: status %d: %s", e.Step, e.Target, e.Status, e.Body[:min(len(e.Body), shownBytes)])
}

// Unwrap returns ErrRefused or ErrUnavailable.
func (e *StatusError) Unwrap() error { return e.kind }

// HasStatus reports whether err is an answer of that status.
func HasStatus(err error, status int) bool {
	var e *StatusError
	return errors.As(err, &e) && e.Status == status
}
