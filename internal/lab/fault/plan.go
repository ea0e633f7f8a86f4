// Package fault plans what goes wrong in an experiment, and what operators do,
// at times that a seed fixes.
package fault

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/lab/site"
	"github.com/zinniafork/zinniafork/internal/lab/testbed"
	"github.com/zinniafork/zinniafork/internal/lab/workload"
)

// Step is one act at a planned time after the start of the load.
type Step struct {
	At   time.Duration
	Name string
	Do   func(ctx context.Context, bed *testbed.Testbed) error
}

// Plan collects the steps and surges of one experiment.
type Plan struct {
	Shape    site.Shape
	Duration time.Duration
	Rand     *rand.Rand

	steps  []Step
	surges []workload.Surge
	// busy holds the VMs and targets that a fault already uses.
	busy map[string]bool
}

// NewPlan returns an empty plan.
func NewPlan(shape site.Shape, seed uint64, duration time.Duration) *Plan {
	return &Plan{
		Shape:    shape,
		Duration: duration,
		Rand:     rand.New(rand.NewPCG(seed, seedStream)), //nolint:gosec // faults need no secret randomness
		busy:     make(map[string]bool),
	}
}

const seedStream = 77

// Steps returns the steps in order of time.
func (p *Plan) Steps() []Step {
	out := slices.Clone(p.steps)
	slices.SortStableFunc(out, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return out
}

// Surges returns the planned surges of load.
func (p *Plan) Surges() []workload.Surge { return p.surges }

func (p *Plan) add(at time.Duration, name string, do func(ctx context.Context, bed *testbed.Testbed) error) {
	p.steps = append(p.steps, Step{At: at, Name: name, Do: do})
}

// Share returns a share of the duration.
func (p *Plan) Share(part float64) time.Duration {
	return time.Duration(part * float64(p.Duration))
}

// vm picks a VM that no other fault uses.
func (p *Plan) vm() fleet.VM {
	free := slices.DeleteFunc(slices.Clone(p.Shape.VMs), func(v site.VM) bool { return p.busy[string(v.Name)] })
	if len(free) == 0 {
		free = p.Shape.VMs
	}
	vm := free[p.Rand.IntN(len(free))].Name
	p.busy[string(vm)] = true
	return vm
}

// engine picks an engine that no other fault uses.
func (p *Plan) engine() fleet.Target {
	engines := p.Shape.Engines()
	free := slices.DeleteFunc(slices.Clone(engines), func(t site.Target) bool { return p.busy[string(t.Name)] })
	if len(free) == 0 {
		free = engines
	}
	target := free[p.Rand.IntN(len(free))].Name
	p.busy[string(target)] = true
	return target
}

func (p *Plan) dataCentre() fleet.DataCentre {
	return p.Shape.DataCentres[p.Rand.IntN(len(p.Shape.DataCentres))]
}

// repeatPause is the wait of an operator before a failed publish is repeated.
const repeatPause = 500 * time.Millisecond

// insist repeats an operator's act until it succeeds or ctx ends.
func insist(ctx context.Context, act func(context.Context) error) error {
	for {
		err := act(ctx)
		if err == nil {
			return nil
		}
		if (kernel.SystemClock{}).Sleep(ctx, repeatPause) != nil {
			return err
		}
	}
}
