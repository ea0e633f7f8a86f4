// Package target holds what the clients of model engines and plain services
// have in common.
package target

import (
	"context"

	"github.com/zinniafork/zinniafork/internal/call"
)

// Runner runs one request on one target and passes its answer to the sink.
//
// A non-nil error is a *call.Error that tells whether the call ran. It is
// call.RunNot only when no byte of the request left for the target.
type Runner interface {
	Run(ctx context.Context, req *call.Request, sink call.Sink) error
}
