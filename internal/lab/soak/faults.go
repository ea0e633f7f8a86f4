package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/keyedlog"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// fault is one row of the table from which faults are drawn. It returns a line
// for the report and what heals it.
type fault struct {
	name   string
	weight int
	inject func(b *bed, random *rand.Rand) (what string, heal func())
}

// linkModes are the modes that links are put into.
var linkModes = []Mode{Delay, CutUp, CutDown, Silent, Refuse}

// workerFaults are what workers do wrong.
var workerFaults = []workerd.Fault{
	workerd.FaultFail, workerd.FaultRefuse, workerd.FaultMute, workerd.FaultLose, workerd.FaultCut,
	workerd.FaultCrossed, workerd.FaultExtra, workerd.FaultForged,
	workerd.FaultUnframed, workerd.FaultUnframedCut, workerd.FaultUnframedReset, workerd.FaultUnframedEmpty,
	workerd.FaultCutLong, workerd.FaultHeadCut, workerd.FaultResumeError, workerd.FaultPause, workerd.FaultEndlessHead, workerd.FaultEndlessBody, workerd.FaultEndlessRefusal,
}

// storeFaults are what the store does wrong.
var storeFaults = []keyedlog.Faults{
	{Status: 503}, {Status: 429}, {DelayMS: 400}, {LoseAnswers: true}, {Silent: true}, {Behind: 3},
}

// table holds all faults.
func table() []fault {
	return []fault{
		{"kill a router", 3, killRouter},
		{"pause a router", 3, pauseRouter},
		{"stop a router", 3, stopRouter},
		{"stop all routers in turn", 1, stopInTurn},
		{"kill all routers", 1, killAll},
		{"hang up on a router", 1, hangUp},
		{"stop a router, then kill it", 2, inARow(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGKILL)},
		{"pause a router twice", 2, inARow(syscall.SIGSTOP, syscall.SIGCONT, syscall.SIGSTOP)},
		{"restart a router beside a change of the configuration", 2, restartBesideChange},
		{"link to the store", 3, storeLink},
		{"link between routers", 3, peerLink},
		{"link to a worker", 3, workerLink},
		{"routers are cut off from the workers", 3, cutOffRouters},
		{"relaying routers are killed", 3, killRelays},
		{"reset connections", 2, resetConnections},
		{"store", 3, breakStore},
		{"history of the store", 1, forgetHistory},
		{"return of the store from a copy", 2, restoreStore},
		{"worker", 4, breakWorker(workerFaults...)},
		{"worker falls silent", 4, breakWorker(workerd.FaultSilent, workerd.FaultSilentHead)},
		{"streams break off and are not resumed", 3, refuseToResume},
		{"worker says that it leaves", 2, leaveWorker},
		{"worker leaves and comes back", 2, bounceWorker},
		{"worker names a limit, or none any more", 3, toggleLimit},
		{"workers are brittle, or not any more", 2, toggleBrittle},
		{"odd entry among those of the workers", 2, leaveOddEntry},
		{"worker writes refusals twice", 2, repeatRefusals},
		{"configuration", 2, changeConfig},
		{"drain", 1, drain},
	}
}

// draw draws a fault by weight.
func draw(random *rand.Rand) fault {
	all, total := table(), 0
	for _, f := range all {
		total += f.weight
	}
	at := random.IntN(total)
	for _, f := range all {
		if at -= f.weight; at < 0 {
			return f
		}
	}
	return all[0]
}

func pick[T any](random *rand.Rand, all []T) T { return all[random.IntN(len(all))] }

func killRouter(b *bed, random *rand.Rand) (string, func()) {
	r := pick(random, b.routers)
	r.kill()
	return fmt.Sprintf("router %d", r.index), func() { b.restart(r) }
}

func pauseRouter(b *bed, random *rand.Rand) (string, func()) {
	r := pick(random, b.routers)
	r.signal(syscall.SIGSTOP)
	return fmt.Sprintf("router %d", r.index), func() { r.signal(syscall.SIGCONT) }
}

func stopRouter(b *bed, random *rand.Rand) (string, func()) {
	r := pick(random, b.routers)
	r.signal(syscall.SIGTERM)
	return fmt.Sprintf("router %d", r.index), func() { b.restart(r) }
}

func stopInTurn(b *bed, _ *rand.Rand) (string, func()) {
	for _, r := range b.routers {
		r.signal(syscall.SIGTERM)
		time.Sleep(300 * time.Millisecond)
	}
	return "", func() { b.restart(b.routers...) }
}

func killAll(b *bed, _ *rand.Rand) (string, func()) {
	for _, r := range b.routers {
		r.signal(syscall.SIGKILL)
	}
	return "", func() { b.restart(b.routers...) }
}

func hangUp(b *bed, random *rand.Rand) (string, func()) {
	r := pick(random, b.routers)
	r.signal(syscall.SIGHUP)
	return fmt.Sprintf("router %d", r.index), func() {}
}

// seriesPause is the longest time between two signals of a series.
const seriesPause = 800 * time.Millisecond

// signalSeries sends signals to a router in the background, each a while after the one
// before, so that other faults fall between. The returned function waits for the last.
func signalSeries(r *router, random *rand.Rand, signals ...syscall.Signal) (wait func()) {
	pauses := make([]time.Duration, len(signals))
	for i := range pauses {
		pauses[i] = time.Duration(random.Int64N(int64(seriesPause)))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i, s := range signals {
			r.signal(s)
			time.Sleep(pauses[i])
		}
	}()
	return func() { <-done }
}

// inARow is a fault of signals to one router, which then runs again.
func inARow(signals ...syscall.Signal) func(b *bed, random *rand.Rand) (string, func()) {
	return func(b *bed, random *rand.Rand) (string, func()) {
		r := pick(random, b.routers)
		wait := signalSeries(r, random, signals...)
		return fmt.Sprintf("router %d", r.index), func() {
			wait()
			r.signal(syscall.SIGCONT)
			b.restart(r)
		}
	}
}

// restartBesideChange stops a router, changes the configuration while it drains, and
// again while it starts.
func restartBesideChange(b *bed, random *rand.Rand) (string, func()) {
	r := pick(random, b.routers)
	wait := signalSeries(r, random, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP)
	_, _ = changeConfig(b, random)
	return fmt.Sprintf("router %d", r.index), func() {
		wait()
		b.restart(r)
		_, _ = changeConfig(b, random)
	}
}

func link(p *proxy, random *rand.Rand) (Mode, func()) {
	mode := pick(random, linkModes)
	p.set(mode)
	return mode, func() {
		p.set(Pass)
		p.reset()
	}
}

func storeLink(b *bed, random *rand.Rand) (string, func()) {
	r := pick(random, b.routers)
	mode, heal := link(r.store, random)
	return fmt.Sprintf("of router %d: %s", r.index, mode), heal
}

func peerLink(b *bed, random *rand.Rand) (string, func()) {
	r := pick(random, b.routers)
	mode, heal := link(r.peer, random)
	return fmt.Sprintf("to router %d: %s", r.index, mode), heal
}

func workerLink(b *bed, random *rand.Rand) (string, func()) {
	w := pick(random, b.workers)
	mode, heal := link(w.link, random)
	return fmt.Sprintf("%s: %s", w.id, mode), heal
}

func resetConnections(b *bed, random *rand.Rand) (string, func()) {
	w, r := pick(random, b.workers), pick(random, b.routers)
	w.link.reset()
	r.peer.reset()
	r.store.reset()
	return fmt.Sprintf("of worker %s and router %d", w.id, r.index), func() {}
}

func breakStore(b *bed, random *rand.Rand) (string, func()) {
	f := pick(random, storeFaults)
	b.store.Set(f)
	return fmt.Sprintf("%+v", f), func() { b.store.Set(keyedlog.Faults{}) }
}

func forgetHistory(b *bed, _ *rand.Rand) (string, func()) {
	b.store.ForgetAll()
	return "", func() {}
}

func breakWorker(faults ...workerd.Fault) func(b *bed, random *rand.Rand) (string, func()) {
	return func(b *bed, random *rand.Rand) (string, func()) {
		w, f := pick(random, b.workers), pick(random, faults)
		w.Set(f)
		return fmt.Sprintf("%s: %s", w.id, f), func() { w.Set(workerd.FaultNone) }
	}
}

// refuseToResume lets half of the engines break streams off, and the others answer requests for
// the rest of a stream with an error.
func refuseToResume(b *bed, _ *rand.Rand) (string, func()) {
	for i, w := range b.workers {
		w.Set([]workerd.Fault{workerd.FaultCut, workerd.FaultResumeError}[i/2%2])
	}
	return "", func() {
		for _, w := range b.workers {
			w.Set(workerd.FaultNone)
		}
	}
}

func bounceWorker(b *bed, random *rand.Rand) (string, func()) {
	w := pick(random, b.workers)
	b.setLeaving(w, true)
	return w.id, func() { b.setLeaving(w, false) }
}

// leaveWorker lets a worker say in its answers, but not at the store, that it leaves,
// and then start anew under its name.
func leaveWorker(b *bed, random *rand.Rand) (string, func()) {
	w := pick(random, b.workers)
	w.Set(workerd.FaultLeaving)
	return w.id, func() {
		w.Set(workerd.FaultNone)
		w.restart()
		b.store.PutWorker(w.entry())
	}
}

// rewriteDelay is the time after which operators and workers write again what the
// store has lost.
const rewriteDelay = 800 * time.Millisecond

// restoreStore takes the store away for a moment and brings it back from a copy that
// is as old as the fault lasted.
func restoreStore(b *bed, random *rand.Rand) (string, func()) {
	b.store.Copy()
	away := time.Duration(random.Int64N(int64(time.Second)))
	return fmt.Sprintf("away for %d ms", away.Milliseconds()), func() {
		b.store.Set(keyedlog.Faults{Status: 503})
		time.Sleep(away)
		b.store.Restore()
		b.store.Set(keyedlog.Faults{})
		time.Sleep(rewriteDelay)
		b.rewrite()
	}
}

func changeConfig(b *bed, _ *rand.Rand) (string, func()) {
	for range 3 {
		b.publish()
	}
	return "", func() {}
}

func drain(b *bed, _ *rand.Rand) (string, func()) {
	b.setDrained(true)
	return drainedDC, func() { b.setDrained(false) }
}
