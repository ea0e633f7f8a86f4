package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/lab/caller"
	"github.com/zinniafork/zinniafork/internal/lab/check/service"
	"github.com/zinniafork/zinniafork/internal/lab/fault"
	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/site"
	"github.com/zinniafork/zinniafork/internal/lab/testbed"
	"github.com/zinniafork/zinniafork/internal/lab/workload"
)

// DefaultDuration is the length of a run's load.
const DefaultDuration = 20 * time.Second

const (
	// directRate is the number of requests a second that go past the fleet.
	directRate = 2
	// settleTime lets faults that were healed at the end take effect.
	settleTime = 500 * time.Millisecond
	// stepLimit bounds what a step does after the load has ended.
	stepLimit = 5 * time.Second
)

var clock kernel.SystemClock

// Options shape one run.
type Options struct {
	Scenario string
	Site     string
	Seed     uint64
	// Routers and Targets replace the site's numbers when above zero.
	Routers  int
	Targets  int
	Duration time.Duration
	Policy   string
	// Progress takes lines for people; Log the routers' logs.
	Progress io.Writer
	Log      *logrus.Logger
}

// Outcome is a result with the history that it was judged from.
type Outcome struct {
	Result  Result
	History *history.History
	Shape   site.Shape
}

// run is one experiment under way.
type run struct {
	opt      Options
	scenario Scenario
	shape    site.Shape
	plan     *fault.Plan
	bed      *testbed.Testbed
	began    time.Time

	mu       sync.Mutex
	failures []error
}

// Run plays one scenario and judges it.
func Run(ctx context.Context, opt Options) (*Outcome, error) {
	s, err := ByName(opt.Scenario)
	if err != nil {
		return nil, err
	}
	shape, err := site.ByName(opt.Site, opt.Routers, opt.Targets)
	if err != nil {
		return nil, err
	}
	if opt.Duration <= 0 {
		opt.Duration = DefaultDuration
	}
	if opt.Progress == nil {
		opt.Progress = io.Discard
	}
	r := &run{opt: opt, scenario: s, shape: shape, plan: fault.NewPlan(shape, opt.Seed, opt.Duration), began: time.Now()}
	s.plan(r.plan)
	r.say("%s on %s: %d routers, %d targets, %d accounts, seed %d", s.Name, shape.Name,
		len(shape.VMs), len(shape.Targets), len(shape.Accounts), opt.Seed)
	r.bed, err = testbed.Start(ctx, testbed.Options{Shape: shape, Seed: opt.Seed, Policy: opt.Policy, Log: opt.Log})
	if err != nil {
		return nil, err
	}
	h, err := r.play(ctx)
	if err = errors.Join(err, r.bed.Close()); err != nil {
		return nil, err
	}
	return r.judge(h), nil
}

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.opt.Progress, "%6.1fs  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// play runs the load and the faults and returns what was observed.
func (r *run) play(ctx context.Context) (*history.History, error) {
	if err := r.bed.WaitReady(ctx); err != nil {
		return nil, err
	}
	r.say("all routers are ready")
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	r.bed.Watch(watchCtx)
	load := r.load()
	r.say("load: %d requests in %s", len(load.Plan), r.opt.Duration)
	start := time.Now()
	var results caller.Results
	var wg sync.WaitGroup
	wg.Go(func() { results = load.Run(ctx, start) })
	wg.Go(func() { r.steps(ctx, start) })
	wg.Wait()
	load.Close()
	if err := clock.Sleep(ctx, settleTime); err != nil {
		return nil, err
	}
	h := r.bed.History()
	h.Start = start
	h.Requests, h.Direct = results.Requests, results.Direct
	r.say("load has ended")
	return h, nil
}

func (r *run) load() *caller.Load {
	plan := workload.Plan(workload.Options{
		Shape:      r.shape,
		Seed:       r.opt.Seed,
		Duration:   r.opt.Duration,
		Surges:     r.plan.Surges(),
		DirectRate: directRate,
	})
	return caller.NewLoad(r.bed, plan, r.opt.Seed)
}

// steps does each planned step at its time, on its own goroutine.
func (r *run) steps(ctx context.Context, start time.Time) {
	ctx, cancel := context.WithDeadline(ctx, start.Add(r.opt.Duration+stepLimit))
	defer cancel()
	var wg sync.WaitGroup
	for _, step := range r.plan.Steps() {
		if clock.Sleep(ctx, time.Until(start.Add(step.At))) != nil {
			break
		}
		r.say("%s", step.Name)
		wg.Go(func() {
			if err := step.Do(ctx, r.bed); err != nil {
				r.fail(fmt.Errorf("%s: %w", step.Name, err))
			}
		})
	}
	wg.Wait()
}

func (r *run) fail(err error) {
	r.say("failed: %v", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, err)
}

func (r *run) judge(h *history.History) *Outcome {
	limits := service.Limits{Without: r.plan.Surging()}
	m, violations := judge(r.scenario, h, limits, r.bed.CacheTokens())
	out := &Outcome{
		History: h,
		Shape:   r.shape,
		Result: Result{
			Scenario:   r.scenario.Name,
			Site:       string(r.shape.Name),
			Seed:       r.opt.Seed,
			Policy:     r.opt.Policy,
			Measures:   m,
			Violations: []string{},
		},
	}
	for _, v := range violations {
		out.Result.Violations = append(out.Result.Violations, v.String())
	}
	for _, err := range r.failures {
		out.Result.Violations = append(out.Result.Violations, "step: "+err.Error())
	}
	out.Result.Pass = len(out.Result.Violations) == 0
	for _, v := range out.Result.Violations {
		r.say("violation: %s", v)
	}
	r.say("pass: %t", out.Result.Pass)
	return out
}

// Preview lists what a scenario would do and when, without running it.
func Preview(name, siteName string, seed uint64, duration time.Duration) ([]string, error) {
	s, err := ByName(name)
	if err != nil {
		return nil, err
	}
	shape, err := site.ByName(siteName, 0, 0)
	if err != nil {
		return nil, err
	}
	plan := fault.NewPlan(shape, seed, duration)
	s.plan(plan)
	var out []string
	for _, step := range plan.Steps() {
		out = append(out, fmt.Sprintf("%s %s", step.At.Round(time.Millisecond), step.Name))
	}
	return out, nil
}
