// Package target holds what the clients of model engines and plain services
// have in common.
package target

import (
	"context"
	"errors"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Runner runs one request on one target and passes its answer to the sink.
//
// A non-nil error is a *call.Error that tells whether the call ran. It is
// call.RunNot only when no byte of the request left for the target.
type Runner interface {
	Run(ctx context.Context, req *call.Request, sink call.Sink) error
}

// Reporter reads the load that a target reports of itself.
type Reporter interface {
	// Report returns the newest report. It lags behind what the target does.
	Report(ctx context.Context) (Report, error)
}

// ReportPath is the path of a target's load report.
const ReportPath = "/v1/load"

// Headers that targets and routers exchange.
const (
	// HeaderRequestID names the request; a target repeats it in its answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderIncarnation carries a number that rises with each start of the
	// target and each time that it loses its warm state.
	HeaderIncarnation = "X-Incarnation"
	// HeaderTraceParent carries the trace context.
	HeaderTraceParent = "Traceparent"
)

// Report is the load of a target as it reports it.
type Report struct {
	Incarnation uint64 `json:"incarnation"`
	// At is the time on the target's clock at which the figures were taken.
	At time.Time `json:"at"`
	// Age is the time from then until the report was sent.
	AgeMS int64 `json:"age_ms"`

	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is the number of requests that the target bears at once now,
	// Capacity the number when it is warm.
	Slots    int  `json:"slots"`
	Capacity int  `json:"capacity"`
	Cold     bool `json:"cold"`

	// Models, Role and CacheTokens are those of a model engine.
	Models      []LoadedModel `json:"models,omitempty"`
	Role        string        `json:"role,omitempty"`
	CacheTokens int           `json:"cache_tokens,omitempty"`
	// Fencing is the highest fencing number that the target has seen.
	Fencing uint64 `json:"fencing,omitempty"`
}

// LoadedModel is one model that an engine holds.
type LoadedModel struct {
	Model    fleet.Model `json:"model"`
	Version  string      `json:"version,omitempty"`
	Adapters []string    `json:"adapters,omitempty"`
}

// Errors of targets that calls of the clients wrap.
var (
	// ErrUnavailable means that the target gave no answer.
	ErrUnavailable = errors.New("target gave no answer")
	// ErrRefused means that the target refused the call without effect.
	ErrRefused = errors.New("target refused the call")
	// ErrSilent means that nothing came from the target for too long.
	ErrSilent = errors.New("target went silent")
	// ErrCrossed means that the answer belongs to another request.
	ErrCrossed = errors.New("answer belongs to another request")
)
