// Package forward serves callers' requests: it finds the route and the
// account, sends the request to a target, and gives the answer to the caller.
// The protocols of callers and targets are behind interfaces.
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Name is the service's name in the kernel and of its settings section.
const Name = "forward"

// TargetClientName is the name in the kernel of the service that talks to targets.
const TargetClientName = "targets"

// Call is one request of a caller.
type Call struct {
	// ID is the caller's name for this attempt.
	ID     string
	Method string
	Host   string
	// URI is the request target as the caller sent it, Path its path alone.
	URI    string
	Path   string
	Header http.Header
	Body   []byte
	// APIKey is the caller's API key, empty for none.
	APIKey string
	// Received is the time at which the request had been read.
	Received time.Time
	// Timeout is how long the caller waits, zero when it doesn't say.
	Timeout time.Duration
	// Prefixes identify the shared parts of a prompt in order, empty for none.
	Prefixes []uint64
	// LastEventID is the id of the last event that the caller has, empty for
	// none.
	LastEventID string
}

// TargetRequest is one request to a target.
type TargetRequest struct {
	Call    *Call
	Target  sitestate.AvailableTarget
	Account fleet.Account
	// Timeout is the time after which the answer is of no use.
	Timeout time.Duration
	// LastEventID is the id of the last event that the caller has.
	LastEventID string
	// Priority is the rank of the request, 0 first.
	Priority int
	// CacheFrom is the address of a target that has the prompt's shared parts
	// in cache, empty for none.
	CacheFrom string
	// Trace is the trace context of the hop to the target, empty for none.
	Trace string
	// NewConnection asks for a connection that carried no request before, since the
	// request can't be repeated.
	NewConnection bool
}

// Response is the beginning of a target's answer. Body must be closed; closing
// it early stops the target.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is that of the body in bytes, negative when unknown.
	Length int64
	// NotRun is true when the target says that it did not run the request.
	NotRun bool
	// Misdirected is true when another target has the address.
	Misdirected bool
	// Stamped is true when the answer carries the mark of a target's run.
	Stamped bool
}

// TargetClient sends requests to targets.
type TargetClient interface {
	// Send sends a request and returns the beginning of the answer. The error
	// is a *SendError. The end of ctx stops the request, also while the body
	// is read.
	Send(ctx context.Context, s *TargetRequest) (*Response, error)
	// CachedPrefixes lists the long prompt parts that an engine has in cache, by the
	// identities that Call.Parts has. The call delays the engine's work.
	CachedPrefixes(ctx context.Context, t sitestate.Target) ([]uint64, error)
}

// SendError tells why a send brought no answer.
type SendError struct {
	Target fleet.Target
	// Sent is true when bytes of the request may have reached the target.
	Sent bool
	// Unreachable is true when no connection opened.
	Unreachable bool
	Err         error
}

// Error describes the failure.
func (e *SendError) Error() string {
	return "send to target " + string(e.Target) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// ResponseWriter is the way back to the caller. Exactly one of Refuse, or Head followed
// by End or Cut, is called.
type ResponseWriter interface {
	// Refuse answers in the router's own name.
	Refuse(r Refusal)
	// WriteHead begins a target's answer.
	WriteHead(a *Response)
	// Write passes bytes of the answer on at once.
	Write(p []byte) error
	// End ends the answer as whole.
	End()
	// Cut ends the answer so that it doesn't look whole.
	Cut()
}

// Refusal is an answer of the router's own.
type Refusal struct {
	Status int
	// RetryAfter tells when to come back, zero for no advice.
	RetryAfter time.Duration
	Message    string
}

// Forwarder serves requests.
type Forwarder interface {
	// Serve answers a call. The end of ctx means that the caller has left.
	Serve(ctx context.Context, c *Call, reply ResponseWriter)
	// Ready reports whether requests can be served.
	Ready() bool
	// StopAccepting refuses new requests from now on.
	StopAccepting()
	// Running returns the number of requests in progress.
	Running() int
}
