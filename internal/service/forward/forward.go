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

// TargetsName is the name in the kernel of the service that talks to targets.
const TargetsName = "targets"

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
	// Key is the caller's API key, empty for none.
	Key string
	// Received is the time at which the request had been read.
	Received time.Time
	// Patience is how long the caller waits, zero when it doesn't say.
	Patience time.Duration
	// Parts identify the shared parts of a prompt in order, empty for none.
	Parts []uint64
	// LastEvent is the id of the last event that the caller has, empty for
	// none.
	LastEvent string
}

// Send is one request to a target.
type Send struct {
	Call    *Call
	Target  sitestate.AvailableTarget
	Account fleet.Account
	// Left is the time after which the answer is of no use.
	Left time.Duration
	// LastEvent is the id of the last event that the caller has.
	LastEvent string
	// Priority is the rank of the request, 0 first.
	Priority int
	// CacheFrom is the address of a target that has the prompt's shared parts
	// in cache, empty for none.
	CacheFrom string
	// Trace is the trace context of the hop to the target, empty for none.
	Trace string
	// Fresh asks for a connection that carried no request before, since the
	// request can't be repeated.
	Fresh bool
}

// Answer is the beginning of a target's answer. Body must be closed; closing
// it early stops the target.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is that of the body in bytes, negative when unknown.
	Length int64
	// NotRun is true when the target says that it did not run the request.
	NotRun bool
	// Misdirected is true when another target has the address.
	Misdirected bool
	// Genuine is true when the answer carries the mark of a target's run.
	Genuine bool
}

// Targets sends requests to targets.
type Targets interface {
	// Send sends a request and returns the beginning of the answer. The error
	// is a *SendError. The end of ctx stops the request, also while the body
	// is read.
	Send(ctx context.Context, s *Send) (*Answer, error)
	// Cached lists the long prompt parts that an engine has in cache, by the
	// identities that Call.Parts has. The call delays the engine's work.
	Cached(ctx context.Context, t sitestate.Target) ([]uint64, error)
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

// Reply is the way back to the caller. Exactly one of Refuse, or Head followed
// by End or Cut, is called.
type Reply interface {
	// Refuse answers in the router's own name.
	Refuse(r Refusal)
	// Head begins a target's answer.
	Head(a *Answer)
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
	Serve(ctx context.Context, c *Call, reply Reply)
	// Ready reports whether requests can be served.
	Ready() bool
	// Close refuses new requests from now on.
	Close()
	// Running returns the number of requests in progress.
	Running() int
}
