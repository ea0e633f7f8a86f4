package fault

import (
	"context"
	"fmt"
	"time"

	"github.com/zinniafork/zinniafork/internal/lab/host"
	"github.com/zinniafork/zinniafork/internal/lab/testbed"
)

// LogDown cuts the log service off. With lose its callers get no answer,
// otherwise their connections are refused.
func (p *Plan) LogDown(from, to time.Duration, mode host.CutMode) {
	name := "the log service refuses connections"
	if mode == host.Lose {
		name = "the log service gives no answer"
	}
	p.span(from, to, name, func(_ context.Context, bed *testbed.Testbed) (func(), error) {
		return bed.Fabric().Cut(host.Of(testbed.LogHost), mode), nil
	})
}

// LogSlow delays every answer of the log service.
func (p *Plan) LogSlow(from, to, delay time.Duration) {
	p.span(from, to, fmt.Sprintf("the log service takes %s longer", delay), func(_ context.Context, bed *testbed.Testbed) (func(), error) {
		bed.SlowLog(delay)
		return func() { bed.SlowLog(0) }, nil
	})
}

// LogLosesAnswers loses a share of the answers to appends after their effect.
func (p *Plan) LogLosesAnswers(from, to time.Duration, share float64) {
	p.span(from, to, fmt.Sprintf("the log service loses %.0f%% of its answers", 100*share), func(_ context.Context, bed *testbed.Testbed) (func(), error) {
		bed.LoseLogAnswers(share)
		return func() { bed.LoseLogAnswers(0) }, nil
	})
}
