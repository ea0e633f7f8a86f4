package soak

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

const (
	// rolloutTime is the time of an order, rolloutFault that between the faults meanwhile.
	rolloutTime  = 30 * time.Second
	rolloutFault = 5 * time.Second
	// rolloutService is the service that moves, and rolloutVersion the version that it moves to.
	rolloutService = "plain"
	rolloutVersion = "v2"
	// badShare is the share of failures of a bad version.
	badShare = 0.4
	// exposeShare and exposeSlack bound the requests to a bad version.
	exposeShare = 0.1
	exposeSlack = 50
)

// rolloutSettings switch roll-outs on.
const rolloutSettings = "[features]\ncontracts = [\"rollout\"]\n"

// checkRollout moves a service to another version while the router that drives it is killed and its
// successor paused. A good version must be done in time and the old one get nothing then; a bad one
// must be rolled back and get no more than it may.
func (r *run) checkRollout() {
	r.calm.Store(0)
	bad := r.random.IntN(2) == 0
	began := time.Now()
	for _, w := range r.bed.workers {
		if bad && w.service == rolloutService && w.version == rolloutVersion {
			w.SetBad(workerd.Badness{Share: badShare, From: began.Add(rolloutFault), Seed: r.opt.Seed})
		}
	}
	r.bed.store.Order(rolloutService, rolloutVersion, rolloutTime.Seconds())
	time.Sleep(rolloutFault)
	if one := r.controller(); one != nil {
		one.kill()
		time.Sleep(rolloutFault)
		r.bed.restart(one)
	}
	if one := r.controller(); one != nil {
		one.signal(syscall.SIGSTOP)
		time.Sleep(rolloutFault)
		one.signal(syscall.SIGCONT)
	}
	time.Sleep(time.Until(began.Add(rolloutTime)))
	want := "done"
	if bad {
		want = "rolled_back"
	}
	state, at := r.rolloutState()
	all, exposed, late := 0, 0, 0
	for _, w := range r.bed.workers {
		for _, one := range w.Runs() {
			switch {
			case w.service != rolloutService || one.At.Before(began) || one.At.After(began.Add(rolloutTime)):
				continue
			case w.version == rolloutVersion:
				exposed++
			case state == "done" && one.Ended.After(at):
				late++
			}
			all++
		}
	}
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("roll-out of a version that is bad %t: %s after %.1f s, %d of %d requests",
		bad, state, at.Sub(began).Seconds(), exposed, all))
	if state != want || at.After(began.Add(rolloutTime)) {
		r.violation("roll-out ended as %q after %s, want %s within %s", state, at.Sub(began), want, rolloutTime)
	}
	if bad && float64(exposed) > exposeShare*float64(all)+exposeSlack {
		r.violation("a bad version got %d of %d requests", exposed, all)
	}
	if late > 0 {
		r.violation("%d requests were at the old version after the roll-out was done", late)
	}
}

// controller returns the router that drives the roll-out, nil if none does.
func (r *run) controller() *router {
	records := r.bed.store.History("keyed.zinniafork-rollouts", rolloutService)
	if len(records) == 0 {
		return nil
	}
	var v struct{ Writer string }
	if json.Unmarshal([]byte(records[len(records)-1].Value), &v) != nil {
		return nil
	}
	for _, one := range r.bed.routers {
		if v.Writer == fmt.Sprintf("%s.%d:%d", r.bed.net, firstRouterHost+one.index, peerPort) {
			return one
		}
	}
	return nil
}

// rolloutState returns the last state that was written, and when it was written first in a row.
func (r *run) rolloutState() (state string, at time.Time) {
	for _, e := range r.bed.store.History("keyed.status", "rollout/"+rolloutService) {
		var v struct{ State string }
		if json.Unmarshal([]byte(e.Value), &v) == nil && v.State != state {
			state, at = v.State, e.At
		}
	}
	return state, at
}
