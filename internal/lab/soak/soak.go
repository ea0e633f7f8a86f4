// Package soak runs router processes on loopback, injects faults from outside
// of them, and checks the platform's promises from what callers and workers
// see. Faults come in series and overlap; all is drawn from one seed.
//
// It ends only processes that it started.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// Options shape a run.
type Options struct {
	// Binary is the path of the router's program.
	Binary string
	Seed   uint64
	// Faults is the time during which faults are injected.
	Faults  time.Duration
	Routers int
	Clients int
	// Rollouts adds a roll-out at the end. Routers of releases before roll-outs do not start then.
	Rollouts bool
	// Dir keeps settings and logs; empty for a directory that is removed after
	// a run without violations.
	Dir string
}

// Report is what came of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	Pass bool   `json:"pass"`
	// Routers names the routers and their programs.
	Routers    []string `json:"routers"`
	Calls      int      `json:"calls"`
	Whole      int      `json:"whole"`
	Runs       int      `json:"runs"`
	Faults     []string `json:"faults"`
	Violations []string `json:"violations"`
	// Dir holds the logs of a run with violations.
	Dir string `json:"dir,omitempty"`
}

const (
	// readyLimit is the time within which all routers must be ready, at the
	// start and after the last fault.
	readyLimit = 12 * time.Second
	// settleTime is the time after the last fault after which everything must
	// be in force everywhere.
	settleTime = 4 * time.Second
	// faultMost bounds how long one fault lasts, and pauseMost the time to the
	// next one, so that faults overlap.
	faultMost = 3 * time.Second
	pauseMost = 900 * time.Millisecond
	// stopLimit is the time that a stopped router gets.
	stopLimit = 8 * time.Second
)

// run is a run in progress.
type run struct {
	opt     Options
	bed     *bed
	clients *clients
	calm    atomic.Int64
	random  *rand.Rand
	probe   *http.Client
	report  Report
}

// Run plays one seed.
func Run(ctx context.Context, opt Options) (Report, error) {
	dir := opt.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "zinniafork-soak"); err != nil {
			return Report{}, fmt.Errorf("soak: %w", err)
		}
	}
	r := &run{
		opt:    opt,
		random: rand.New(rand.NewPCG(opt.Seed, 0)),
		probe:  &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		report: Report{Seed: opt.Seed, Dir: dir},
	}
	var err error
	r.bed, err = newBed(ctx, dir, opt)
	defer r.bed.close()
	if err != nil {
		return r.report, fmt.Errorf("soak: %w", err)
	}
	if err := r.play(ctx); err != nil {
		return r.report, err
	}
	r.judge()
	if r.report.Pass && opt.Dir == "" {
		r.report.Dir = ""
		return r.report, os.RemoveAll(dir)
	}
	return r.report, nil
}

// play starts callers, injects faults, and then asks for what must hold when
// the faults are over.
func (r *run) play(ctx context.Context) error {
	if !r.awaitReady() {
		return errors.New("soak: routers did not get ready")
	}
	for _, one := range r.bed.routers {
		one.noteProgram()
		r.report.Routers = append(r.report.Routers, one.String())
	}
	r.clients = newClients(r.bed, &r.calm)
	callers, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	for i := range r.opt.Clients {
		running.Add(1)
		go func() {
			defer running.Done()
			r.clients.run(callers, r.opt.Seed*1000+uint64(i))
		}()
	}
	r.injectFaults(ctx)
	if !r.awaitReady() {
		r.violation("routers did not get ready within %s after the last fault", readyLimit)
	}
	time.Sleep(settleTime)
	r.calm.Store(time.Now().UnixNano())
	r.checkRecovery()
	time.Sleep(calmBefore)
	r.checkPlannedStop()
	r.checkDrain()
	r.bed.setDrained(false)
	time.Sleep(settleTime)
	r.checkLostRelays()
	r.checkLossOfAll()
	r.checkCrashes(crashesByPart())
	r.checkCrashes(crashesByRequest(pick(r.random, []string{"order", "status", "chat", "draft"})))
	if r.opt.Rollouts {
		r.checkRollout()
	}
	stop()
	running.Wait()
	return nil
}

func (r *run) violation(format string, args ...any) {
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}

func (r *run) awaitReady() bool {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r.bed.ready(r.probe) {
			return true
		}
	}
	return false
}

// injectFaults draws faults until their time is over and heals them all.
func (r *run) injectFaults(ctx context.Context) {
	began := time.Now()
	var healing sync.WaitGroup
	for time.Since(began) < r.opt.Faults && ctx.Err() == nil {
		f := draw(r.random)
		what, heal := f.inject(r.bed, r.random)
		lasts := time.Duration(r.random.Int64N(int64(faultMost)))
		r.report.Faults = append(r.report.Faults, fmt.Sprintf("%5.1f s for %3.1f s: %s %s", time.Since(began).Seconds(), lasts.Seconds(), f.name, what))
		healing.Add(1)
		time.AfterFunc(lasts, func() {
			defer healing.Done()
			heal()
		})
		time.Sleep(time.Duration(r.random.Int64N(int64(pauseMost))))
	}
	healing.Wait()
	for _, w := range r.bed.workers {
		w.SetLimit(0)
	}
	r.bed.mu.Lock()
	r.bed.endBrittle("llm")
	r.bed.endBrittle("plain")
	r.bed.mu.Unlock()
	for _, one := range r.bed.routers {
		one.signal(syscall.SIGCONT)
		if !one.running() {
			r.bed.restart(one)
		}
	}
}

// checkRecovery expects every router to serve every kind of request by the
// newest configuration.
func (r *run) checkRecovery() {
	for _, one := range r.bed.routers {
		for _, route := range []string{"order", "status", "chat", "draft", r.bed.newest()} {
			if c := r.clients.call(route, one.caller); c.Status != http.StatusOK || !c.Whole {
				r.violation("router %d does not serve %s after the faults: status %d", one.index, route, c.Status)
			}
		}
	}
}

// checkPlannedStop stops a router under load: nothing may be cut off.
func (r *run) checkPlannedStop() {
	one := pick(r.random, r.bed.routers)
	one.signal(syscall.SIGTERM)
	code, ended := one.wait(stopLimit)
	switch {
	case !ended:
		r.violation("router %d still runs %s after SIGTERM", one.index, stopLimit)
		one.kill()
	case code != 0:
		r.violation("router %d ended with code %d", one.index, code)
	}
	r.bed.restart(one)
	if !r.awaitReady() {
		r.violation("router %d did not come back", one.index)
	}
}

// checkDrain drains a data centre: its workers get nothing after a few seconds, also
// not from a router that was paused meanwhile and then handles what it had accepted.
func (r *run) checkDrain() {
	r.calm.Store(0)
	paused := pick(r.random, r.bed.routers)
	paused.signal(syscall.SIGSTOP)
	r.bed.setDrained(true)
	time.Sleep(settleTime)
	since := time.Now()
	paused.signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	for _, w := range r.bed.workers {
		if w.dc != drainedDC {
			continue
		}
		for _, one := range w.Runs() {
			if one.At.After(since) {
				r.violation("worker %s of a drained data centre got request %s", w.id, one.Request)
			}
		}
	}
}

// judge checks the whole history.
func (r *run) judge() {
	runs := make(map[string][]workerd.Run)
	for _, w := range r.bed.workers {
		runs[w.id] = w.Runs()
		r.report.Runs += len(runs[w.id])
	}
	calls := r.clients.history()
	r.report.Calls = len(calls)
	for i := range calls {
		if calls[i].Whole && calls[i].Status == http.StatusOK {
			r.report.Whole++
		}
	}
	r.report.Violations = append(r.report.Violations, check(calls, runs)...)
	var workers []workerHistory
	versions := make(map[string]string)
	for _, w := range r.bed.workers {
		versions[w.id] = w.version
		workers = append(workers, w.history())
		r.report.Violations = append(r.report.Violations, checkReports(calls, r.bed.routers, w.history())...)
	}
	var histories []routerHistory
	routers, excused := make(map[int]*spans), make(map[int]*spans)
	for _, one := range r.bed.routers {
		h := one.history()
		histories = append(histories, h)
		routers[one.index], excused[one.index] = h.stopped, h.disturbances()
		if how := one.crashed(); len(how) > 0 {
			r.violation("%s ended %d times without being told to: %s", one, len(how), strings.Join(how, ", "))
		}
	}
	for _, w := range workers {
		r.report.Violations = append(r.report.Violations, checkLimits(calls, excused, w)...)
	}
	r.report.Violations = append(r.report.Violations, checkBrittle(r.bed.brittle, routers)...)
	r.report.Violations = append(r.report.Violations, checkCuts(calls, histories, workers)...)
	r.report.Violations = append(r.report.Violations, checkVersions(calls, runs, versions)...)
	if r.report.Whole == 0 {
		r.violation("nothing was served")
	}
	r.report.Pass = len(r.report.Violations) == 0
}
