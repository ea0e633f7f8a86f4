package fault

import (
	"context"
	"fmt"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/testbed"
)

// RestartEngine takes an engine away without warning and brings it back cold.
func (p *Plan) RestartEngine(from, back time.Duration) {
	p.restartEngine(p.engine(), from, back)
}

func (p *Plan) restartEngine(target fleet.Target, from, back time.Duration) {
	p.span(from, back, fmt.Sprintf("engine %s is gone", target), func(ctx context.Context, bed *testbed.Testbed) (func(), error) {
		return func() {
			if err := bed.StartEngine(ctx, target); err != nil {
				bed.Note("%v", err)
			}
		}, bed.StopEngine(target)
	})
}

// FlapEngine lets an engine come and go several times.
func (p *Plan) FlapEngine(from time.Duration, times int, period time.Duration) {
	target := p.engine()
	for i := range times {
		at := from + time.Duration(i)*period
		p.restartEngine(target, at, at+period/2)
	}
}

// TurnCold makes an engine cold without warning.
func (p *Plan) TurnCold(at time.Duration) {
	target := p.engine()
	p.span(at, at+silenceSpan, fmt.Sprintf("engine %s turns cold", target), func(_ context.Context, bed *testbed.Testbed) (func(), error) {
		return nil, bed.TurnCold(target)
	})
}

// CutWorker takes a worker of a plain service away without warning. It keeps
// what it knows.
func (p *Plan) CutWorker(from, back time.Duration) {
	var workers []fleet.Target
	for _, t := range p.Shape.Targets {
		if !t.IsEngine() {
			workers = append(workers, t.Name)
		}
	}
	target := workers[p.Rand.IntN(len(workers))]
	p.span(from, back, fmt.Sprintf("worker %s is gone", target), func(ctx context.Context, bed *testbed.Testbed) (func(), error) {
		return func() {
			if err := bed.StartWorker(ctx, target); err != nil {
				bed.Note("%v", err)
			}
		}, bed.StopWorker(target)
	})
}
