package testbed

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/host"
	"github.com/zinniafork/zinniafork/internal/lab/site"
	"github.com/zinniafork/zinniafork/internal/standin/engined"
	"github.com/zinniafork/zinniafork/internal/standin/plaind"
)

// Speeds and memory of the engine stand-ins.
const (
	prefill         = 20 * time.Millisecond
	prefillPerToken = 100 * time.Microsecond
	perToken        = 25 * time.Millisecond
	cacheTokens     = 24_000
	// work is the time that an order takes at a worker.
	work = 30 * time.Millisecond
)

// What the stand-ins of engines do as the platform's engines do.
const (
	reportLag   = 300 * time.Millisecond
	eventDelay  = 200 * time.Millisecond
	eventLoss   = 0.05
	resumeGrace = 3 * time.Second
)

// engine is one model engine with the stand-ins that ran under its name.
type engine struct {
	target site.Target

	mu      sync.Mutex
	host    *host.Host
	current *engined.Server
	past    []*engined.Server
	up      []history.Span
	cold    []time.Time
}

// worker is one worker of the plain service.
type worker struct {
	target site.Target
	server *plaind.Server

	mu   sync.Mutex
	host *host.Host
}

func (b *Testbed) startTargets(ctx context.Context) error {
	for _, t := range b.opt.Shape.Targets {
		if err := b.startTarget(ctx, t); err != nil {
			return err
		}
	}
	b.direct = &engine{target: site.Target{
		Name:       DirectHost,
		DataCentre: b.opt.Shape.DataCentres[0],
		Slots:      b.opt.Shape.Targets[0].Slots,
	}}
	return b.startEngine(ctx, b.direct, true)
}

func (b *Testbed) startTarget(ctx context.Context, t site.Target) error {
	if t.IsEngine() {
		e := &engine{target: t}
		b.engines[t.Name] = e
		return b.startEngine(ctx, e, true)
	}
	w := &worker{
		target: t,
		server: plaind.NewWith(plaind.Options{
			Name:          string(t.Name),
			Slots:         t.Slots,
			Work:          work,
			StatusLookup:  b.opt.Shape.StatusLookup(t.Service),
			RunsAbandoned: true,
		}),
	}
	b.workers[t.Name] = w
	return b.startWorker(ctx, w)
}

// startWorker serves a worker on a new host of its name and address.
func (b *Testbed) startWorker(ctx context.Context, w *worker) error {
	h := b.fabric.Host(string(w.target.Name), string(w.target.DataCentre))
	w.mu.Lock()
	w.host = h
	w.mu.Unlock()
	return b.serve(ctx, h, targetPort, w.server.Handler())
}

// StopWorker cuts a worker off without warning. Calls that it has begun go on.
func (b *Testbed) StopWorker(t fleet.Target) error {
	w, ok := b.workers[t]
	if !ok {
		return fmt.Errorf("no worker %s", t)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.host.Kill()
	return nil
}

// StartWorker brings a worker back with what it knew.
func (b *Testbed) StartWorker(ctx context.Context, t fleet.Target) error {
	w, ok := b.workers[t]
	if !ok {
		return fmt.Errorf("no worker %s", t)
	}
	return b.startWorker(ctx, w)
}

// startEngine runs a new stand-in under the engine's name and address.
func (b *Testbed) startEngine(ctx context.Context, e *engine, warm bool) error {
	s := engined.New(b.engineOptions(e.target))
	if warm {
		s.WarmUp()
	}
	h := b.fabric.Host(string(e.target.Name), string(e.target.DataCentre))
	e.mu.Lock()
	if e.current != nil {
		e.past = append(e.past, e.current)
	}
	e.current, e.host = s, h
	e.up = append(e.up, history.Span{From: time.Now()})
	e.mu.Unlock()
	return b.serve(ctx, h, targetPort, s.Handler())
}

func (b *Testbed) engineOptions(t site.Target) engined.Options {
	opt := engined.Options{
		Name:        string(t.Name),
		Slots:       t.Slots,
		ColdSlots:   t.ColdSlots,
		CacheTokens: cacheTokens,
	}
	if b.opt.InstantEngines {
		return opt
	}
	opt.Prefill, opt.PrefillPerToken, opt.PerToken = prefill, prefillPerToken, perToken
	opt.ReportLag, opt.EventDelay, opt.EventLoss = reportLag, eventDelay, eventLoss
	opt.ResumeGrace = resumeGrace
	opt.Seed = b.opt.Seed
	opt.QuietCold = t.QuietCold
	opt.IgnoresFencing = !t.ChecksFencing
	return opt
}

func (b *Testbed) engine(t fleet.Target) (*engine, error) {
	e, ok := b.engines[t]
	if !ok {
		return nil, fmt.Errorf("no engine %s", t)
	}
	return e, nil
}

// StopEngine takes an engine away without warning.
func (b *Testbed) StopEngine(t fleet.Target) error {
	e, err := b.engine(t)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.host.Kill()
	e.current.Close()
	if n := len(e.up); n > 0 && e.up[n-1].To.IsZero() {
		e.up[n-1].To = time.Now()
	}
	return nil
}

// StartEngine brings an engine back. It is cold and its cache is empty.
func (b *Testbed) StartEngine(ctx context.Context, t fleet.Target) error {
	e, err := b.engine(t)
	if err != nil {
		return err
	}
	return b.startEngine(ctx, e, false)
}

// TurnCold makes an engine cold without warning.
func (b *Testbed) TurnCold(t fleet.Target) error {
	e, err := b.engine(t)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current.TurnCold()
	e.cold = append(e.cold, time.Now())
	return nil
}

func (e *engine) describe() history.Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	return history.Engine{
		Target:     e.target.Name,
		DataCentre: e.target.DataCentre,
		Slots:      e.target.Slots,
		ColdSlots:  e.target.ColdSlots,
		Up:         append([]history.Span(nil), e.up...),
		TurnedCold: append([]time.Time(nil), e.cold...),
	}
}

func (e *engine) runs() []history.EngineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []history.EngineRun
	for _, s := range append(append([]*engined.Server(nil), e.past...), e.current) {
		for _, r := range s.Runs() {
			out = append(out, history.EngineRun{
				Target:       e.target.Name,
				DataCentre:   e.target.DataCentre,
				Request:      r.User,
				Started:      r.Started,
				FirstToken:   r.FirstToken,
				Ended:        r.Ended,
				Whole:        r.Whole,
				Refused:      r.Refused,
				PromptTokens: r.PromptTokens,
				CachedTokens: r.CachedTokens,
				Running:      r.Running,
				Limit:        r.Limit,
				Cold:         r.Cold,
			})
		}
	}
	return out
}

func (w *worker) runs() []history.WorkerRun {
	var out []history.WorkerRun
	for _, r := range w.server.Runs() {
		out = append(out, history.WorkerRun{
			Target:     w.target.Name,
			DataCentre: w.target.DataCentre,
			Key:        r.Key,
			Body:       r.Body,
			At:         r.At,
		})
	}
	return out
}

// DirectURL returns the address of an engine outside the fleet, for requests
// that are measured without it.
func (b *Testbed) DirectURL() string {
	b.direct.mu.Lock()
	defer b.direct.mu.Unlock()
	return "http://" + b.direct.host.Addr(targetPort)
}

// CacheTokens returns the prompt tokens that one engine can cache.
func (*Testbed) CacheTokens() int { return cacheTokens }
