// Package forward serves callers' requests. It matches the route and authenticates
// the account, chooses a target by load and cached prompt prefixes, sends the
// request to it, and passes the response on to the caller.
//
// A request whose target fails or stays silent is retried at another target, and a
// resumable stream is resumed there after the last event that was passed on, as far
// as the route and the retry budget of the service allow. Requests that are not
// idempotent are not sent again once a target may have run them.
//
// To choose well, routers exchange digests with the load of targets, the placements
// of prompts and the outcomes of requests. The protocols of callers and targets are
// behind the interfaces ResponseWriter and TargetClient.
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Name is the name of the service in the kernel and of its settings section.
const Name = "forward"

// TargetClientName is the kernel name of the service that implements TargetClient.
const TargetClientName = "targets"

// FeaturesName is the kernel name of the service that implements Features.
const FeaturesName = "features"

// Features are the features that a deployment asks for. They do not change while the process
// runs.
type Features interface {
	// Rollouts reports whether orders for staged roll-outs are followed.
	Rollouts() bool
}

// Call holds one request of a caller.
type Call struct {
	// ID is the request ID that the caller chose for this attempt.
	ID     string
	Method string
	Host   string
	// URI is the request target as the caller sent it, Path only its path.
	URI    string
	Path   string
	Header http.Header
	Body   []byte
	// APIKey is the caller's API key, empty if there is none.
	APIKey string
	// Received is the time at which the request had been read completely.
	Received time.Time
	// Timeout is how long the caller waits, zero if it did not say.
	Timeout time.Duration
	// Prefixes holds the hashes of the prompt prefixes that other requests may
	// share, the shortest first; empty if there are none.
	Prefixes []uint64
	// PrefixTokens holds the number of tokens up to the end of each of these prefixes.
	PrefixTokens []int
	// PromptTokens is the length of the prompt, MaxOutputTokens the most tokens of output
	// that the caller takes, and OutputHint its estimate of them; zero if it did not say.
	PromptTokens    int
	MaxOutputTokens int
	OutputHint      int
	// LastEventID is the ID of the last stream event that the caller has received,
	// empty if there is none.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream
	// that goes on, empty if the caller did not name it.
	Resumes string
}

// TargetRequest holds one request to a target.
type TargetRequest struct {
	Call    *Call
	Target  sitestate.AvailableTarget
	Account fleet.Account
	// Timeout is the time left, after which the response is of no use.
	Timeout time.Duration
	// LastEventID is the ID of the last stream event that the caller has received,
	// empty if there is none.
	LastEventID string
	// Priority is the rank of the request, 0 for the most urgent.
	Priority int
	// CacheFrom is the address of a target that has the shared prompt prefixes in
	// cache, empty if there is none.
	CacheFrom string
	// Trace is the trace context for the hop to the target, empty if there is none.
	Trace string
	// RecentConnection excludes connections that have been idle for at least half
	// of their idle timeout. It is set for requests that cannot be retried, because
	// an idle connection may break during the send.
	RecentConnection bool
}

// Response holds the head of a target's response and its body, not yet read. Body
// must be closed; closing it before its end stops the target. Its Read returns io.EOF itself at
// the end of the whole body, and a *BodyError for one that breaks off.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body in bytes, negative if unknown.
	Length int64
	// Unframed is true when the body has neither a length nor chunks: it ends with its
	// connection.
	Unframed bool
	// NotRun is true when the target states that it did not run the request.
	NotRun bool
	// Misdirected is true when the address belongs to another target now.
	Misdirected bool
	// Stamped is true when the response carries the stamp of a target that ran the
	// request.
	Stamped bool
	// Leaving is true when the target says that it is leaving, and RetryAfter is the
	// time for which a target that refused the request wants no more of them from
	// this VM, zero for none. Both are set only if the response names the request.
	Leaving    bool
	RetryAfter time.Duration
	// NamesRequest is true when the response names the request, so that what it says of
	// the target counts. Limited is then true when the target names the rate that it
	// takes from all VMs together, and RateLimit is that rate in requests a second.
	NamesRequest bool
	Limited      bool
	RateLimit    float64
	// Brittle is true when the target says that it falls over if it has to turn more than
	// MaxRejected requests away in a second.
	Brittle     bool
	MaxRejected int
	// Load is what the target says of its load, nil if it says nothing that can be read. It is
	// set only if the response names the request.
	Load *TargetLoad
}

// TargetLoad is the load that a target reports of itself.
type TargetLoad struct {
	// Running and Waiting are numbers of requests.
	Running int `msgpack:"r"`
	Waiting int `msgpack:"w,omitempty"`
	Slots   int `msgpack:"s"`
	// Slowdown is how long work takes now in relation to the usual time, zero if the target
	// does not say.
	Slowdown float64 `msgpack:"p,omitempty"`
}

// TargetClient sends requests to targets.
type TargetClient interface {
	// Send sends a request and returns the response with its body unread. The error
	// is a *SendError. The end of ctx stops the request, also while the body is
	// being read.
	Send(ctx context.Context, r *TargetRequest) (*Response, error)
	// Connect opens a connection to a target, which later requests may use. It shows whether
	// the target can be reached.
	Connect(ctx context.Context, t sitestate.AvailableTarget) error
	// Born returns the Born value of the process that a target runs, zero if it does not
	// tell.
	Born(ctx context.Context, t sitestate.Target) (int64, error)
	// CachedPrefixes lists the hashes of the long prompt prefixes that an engine has
	// in cache, as in Call.Prefixes. The engine's other work is delayed by it.
	CachedPrefixes(ctx context.Context, t sitestate.Target) ([]uint64, error)
}

// SendError is the error of a send that got no response. Its fields tell what failed: a send
// crosses several connections, and the errors of one say nothing of who is behind the next. So
// it does not unwrap.
type SendError struct {
	Target fleet.Target
	// Sent is true when bytes of the request may have reached the target.
	Sent bool
	// Unreachable is true when no connection opened.
	Unreachable bool
	// Closed is true when the target closed or reset its connection after bytes were sent.
	Closed bool
	// PathFailed is true when the way to the target failed and not the target.
	PathFailed bool
	Err        error
}

// Error returns the target and the cause.
func (e *SendError) Error() string {
	return "send to target " + string(e.Target) + ": " + e.Err.Error()
}

// BodyError is the error of a response whose body breaks off. Like SendError it does not
// unwrap.
type BodyError struct {
	// Closed is true when the target closed or reset its connection.
	Closed bool
	// PathFailed is true when the way to the target failed and not the target.
	PathFailed bool
	Err        error
}

// Error returns the cause.
func (e *BodyError) Error() string { return e.Err.Error() }

// ResponseWriter writes the response to the caller. Either Refuse is called, or
// WriteHead, any number of Writes, and then End or Cut.
type ResponseWriter interface {
	// Refuse sends a response of the router's own.
	Refuse(r Refusal)
	// WriteHead sends the status and header of a target's response.
	WriteHead(resp *Response)
	// Write sends bytes of the body without delay.
	Write(p []byte) error
	// End completes the response.
	End()
	// Cut ends the response in such a way that the caller sees it as incomplete.
	Cut()
}

// Refusal is a response of the router's own.
type Refusal struct {
	Status int
	// RetryAfter is the advised time until a retry, zero for no advice.
	RetryAfter time.Duration
	Message    string
}

// Forwarder serves callers' requests.
type Forwarder interface {
	// Serve answers a call. The end of ctx means that the caller has left.
	Serve(ctx context.Context, c *Call, reply ResponseWriter)
	// Ready reports whether requests can be served.
	Ready() bool
	// StopAccepting refuses all requests from now on. Those in progress go on.
	StopAccepting()
	// Running returns the number of requests in progress.
	Running() int
}
