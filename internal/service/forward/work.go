package forward

import (
	"bytes"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/core/workload"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// progressSteps is the number of parts in which the events of a stream are recorded as work
// that is done. Each one takes the lock.
const progressSteps = 8

// workState holds what a router knows of the work at targets. It is guarded by Service.mu.
type workState struct {
	model *workload.Model
	// batches holds the mean load of the targets of each service at the last choice.
	batches map[fleet.Service]float64
	// expected and actual are the costs of complete responses, and paces those of the known
	// targets, recorded every paceInterval, the last time at pacedAt.
	expected, actual metrics.Histogram
	paces            metrics.Histogram
	pacedAt          time.Time
}

// paceInterval is the time between two records of the paces of all targets.
const paceInterval = 5 * time.Second

// newWorkState returns nil unless load is measured as remaining work.
func newWorkState(enabled bool, r metrics.Registry) *workState {
	if !enabled {
		return nil
	}
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return &workState{
		model: workload.New(), batches: make(map[fleet.Service]float64), expected: histogram("forward.work_expected"),
		actual: histogram("forward.work_actual"), paces: histogram("forward.work_pace"),
	}
}

// recordCost records what a complete response was expected to cost, and what it has cost.
func (w *workState) recordCost(now time.Time, j *workload.Job) {
	w.expected.Update(int64(j.CostMS() * float64(time.Millisecond)))
	w.actual.Update(int64(j.ActualMS(now) * float64(time.Millisecond)))
}

// recordPaces records the paces of all known targets if that is due.
func (w *workState) recordPaces(now time.Time) {
	if w == nil || now.Sub(w.pacedAt) < paceInterval {
		return
	}
	w.pacedAt = now
	w.model.Paces(now, func(_ fleet.Ref, pace float64) { w.paces.Update(int64(math.Round(100 * pace))) })
}

// sendWork is the work of one send. All but events and eventAt is guarded by Service.mu.
type sendWork struct {
	job *workload.Job
	// partial is true if the caller or an earlier send has a part of the stream.
	partial bool
	// events counts the events since the last record, the last of which came at eventAt.
	events  int
	eventAt time.Time
}

// workKey returns the key of the request's history.
func (r *request) workKey() workload.Key {
	k := workload.Key{Service: r.service.Name, Route: r.route.Name, Engine: r.service.Engine}
	if r.account != nil {
		k.Account = r.account.Name
	}
	return k
}

// workSize returns what the request says of its size.
func (r *request) workSize() workload.Size {
	return workload.Size{
		PromptTokens: r.PromptTokens, MaxOutput: r.MaxOutputTokens, OutputHint: r.OutputHint, PrefixTokens: r.PrefixTokens,
	}
}

// estimateWork returns the expected cost of the request, nil unless load is measured as work.
func (r *request) estimateWork() *workload.Estimate {
	if r.s.work == nil {
		return nil
	}
	size := r.workSize()
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	e := r.s.work.model.Estimate(r.workKey(), &size, r.s.work.batches[r.service.Name])
	return &e
}

// startWork records the start of a send to the chosen target. The caller holds r.mu.
func (r *request) startWork(now time.Time, choice *balance.Choice, e *workload.Estimate) *sendWork {
	if e == nil {
		return nil
	}
	w := &sendWork{partial: r.headSent || r.LastEventID != ""}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.work.batches[r.service.Name] = choice.Mean
	w.job = r.s.work.model.Start(now, workload.Start{
		Key: r.workKey(), Size: r.workSize(), Estimate: *e, Target: choice.Target.ID.Ref(), Slots: choice.Target.Slots,
		Batch: choice.Load, WaitMS: choice.Work.WaitMS, Prefixes: choice.Work.Prefixes,
	})
	r.s.balancer.AddWork(choice.Target.ID, w.job.Left())
	return w
}

// updateWork changes the job of a send and its target's remaining work. The caller holds the
// lock.
func (s *Service) updateWork(snd *send, update func(j *workload.Job)) {
	before := snd.work.job.Left()
	update(snd.work.job)
	if !snd.unloaded {
		s.balancer.AddWork(snd.target(), snd.work.job.Left()-before)
	}
}

// noteEvents records complete events that a send has brought.
func (r *request) noteEvents(snd *send, events []byte) {
	w := snd.work
	if w == nil {
		return
	}
	first := w.eventAt.IsZero()
	w.events += bytes.Count(events, eventDelimiter)
	w.eventAt = r.s.clock.Now()
	if first || float64(w.events) >= w.job.ExpectedEvents()/progressSteps {
		r.s.mu.Lock()
		defer r.s.mu.Unlock()
		r.s.recordEvents(snd)
	}
}

// recordEvents records the events since the last record. The caller holds the lock.
func (s *Service) recordEvents(snd *send) {
	s.updateWork(snd, func(j *workload.Job) { s.work.model.Events(snd.work.eventAt, j, snd.work.events) })
	snd.work.events = 0
}

// noteSilence records that the target of a send has not begun its response.
func (s *Service) noteSilence(snd *send) {
	if snd.work == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.paths.IsCut(snd.choice.Target.Service) {
		s.work.model.Silent(s.clock.Now(), snd.work.job)
	}
}

// endWork records the end of a send. The caller holds the lock.
func (s *Service) endWork(now time.Time, snd *send, complete bool) {
	if snd.work == nil {
		return
	}
	if !complete || snd.via != "" {
		s.dropWork(snd)
		return
	}
	s.recordEvents(snd)
	if !snd.work.partial {
		s.work.recordCost(now, snd.work.job)
	}
	s.updateWork(snd, func(j *workload.Job) { s.work.model.Complete(now, j, snd.work.partial) })
}

// dropWork removes the remaining work of a send from its target. The caller holds the lock.
func (s *Service) dropWork(snd *send) {
	if snd.work != nil {
		s.updateWork(snd, func(j *workload.Job) { j.Drop() })
	}
}

// takeLoad takes what a target reports of its load. The reported slots count only up to those
// that the target has: they bound the excess, which counts in the mean load of the service. The
// caller holds the lock.
func (s *Service) takeLoad(now time.Time, t *sitestate.AvailableTarget, load *TargetLoad) {
	if s.work == nil || load == nil {
		return
	}
	target := t.ID.Ref()
	s.work.model.Reported(now, target, workload.Report{
		Requests: load.Running + load.Waiting, Slots: min(load.Slots, max(t.Slots, 1)), Slowdown: load.Slowdown,
	}, s.balancer.Load(target))
}

// workFields are the fields of a request's log line that tell what it was expected to cost, in
// milliseconds of a usual machine, and how long it was expected to take.
func (snd *send) workFields() logrus.Fields {
	if snd.work == nil {
		return nil
	}
	return logrus.Fields{
		"cost":        math.Round(10*snd.work.job.CostMS()) / 10,
		"expected_ms": math.Round(snd.work.job.TotalMS()),
	}
}
