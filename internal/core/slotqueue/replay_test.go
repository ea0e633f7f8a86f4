package slotqueue

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// candidates returns what a router knows of the targets.
func (s *replaySite) candidates(router int) []Candidate {
	out := make([]Candidate, replayTargets)
	for i := range out {
		out[i] = Candidate{Target: fleet.Ref(i + 1), Slots: replaySlots, Own: s.own[router][i], Others: s.relayed[i]}
	}
	return out
}

// replayLeastLoaded sends each request to the least loaded target by the relayed loads.
func replayLeastLoaded(load replayLoad) replayResult {
	s := newReplaySite(load)
	s.place = func(r *replayRequest) {
		best, least := 0, math.Inf(1)
		for i, c := range s.candidates(r.router) {
			if c.Own+c.Others < least {
				best, least = i, c.Own+c.Others
			}
		}
		s.send(r, best)
	}
	return s.run()
}

// replayPicked lets each router choose with a Picker.
func replayPicked(load replayLoad) replayResult {
	s := newReplaySite(load)
	pickers := make([]*Picker, load.routers)
	for i := range pickers {
		pickers[i] = NewPicker(rand.New(rand.NewPCG(load.seed, uint64(i))))
	}
	s.place = func(r *replayRequest) { s.send(r, pickers[r.router].Pick(s.now, s.candidates(r.router))) }
	s.ended = func(r *replayRequest, o replayOutcome, f Figures) {
		if o == broken {
			pickers[r.router].Failed(s.now, fleet.Ref(r.target+1))
			return
		}
		pickers[r.router].Reported(s.now, fleet.Ref(r.target+1), f, s.own[r.router][r.target])
	}
	return s.run()
}

// replayGranted lets one grantor place all requests. Its messages take a hop each.
func replayGranted(load replayLoad) replayResult {
	s := newReplaySite(load)
	g := NewGrantor()
	var targets []Target
	for i := range replayTargets {
		targets = append(targets, Target{Ref: fleet.Ref(i + 1), Slots: replaySlots})
	}
	g.SetTargets(s.now, targets)
	waiting := make(map[uint64]*replayRequest)
	sentAt := make(map[*replayRequest]time.Time)
	act := func(decisions ...Decision) {
		for _, d := range decisions {
			r := waiting[d.Request]
			switch d.State {
			case Granted:
				delete(waiting, d.Request)
				s.after(replayHop, func() {
					sentAt[r] = s.now
					s.send(r, int(d.Target)-1)
				})
			case Refused:
				delete(waiting, d.Request)
				s.result.refused++
			case Waiting:
			}
		}
	}
	var check func()
	checking := false
	watch := func() {
		if wait, ok := g.NextCheck(s.now); ok && !checking {
			checking = true
			s.after(wait, check)
		}
	}
	check = func() {
		checking = false
		act(g.Check(s.now)...)
		watch()
	}
	s.place = func(r *replayRequest) {
		s.after(replayHop, func() {
			waiting[r.id] = r
			act(g.Ask(s.now, Request{
				ID: r.id, Account: r.account, Objective: r.at.Add(load.objective - replayPath), Deadline: r.at.Add(load.deadline),
				Targets: []fleet.Ref{1, 2, 3}, Repeatable: r.repeatable, From: fleet.VM(strconv.Itoa(r.router)),
			}))
			watch()
		})
	}
	s.ended = func(r *replayRequest, o replayOutcome, f Figures) {
		release := Release{Request: r.id, Took: s.now.Sub(sentAt[r]), Rejected: o == turnedAway, Broken: o == broken}
		if o != broken {
			release.Figures = &f
		}
		s.after(replayHop, func() {
			act(g.Release(s.now, release)...)
			watch()
		})
	}
	return s.run()
}

// replayIdeal returns how many requests one queue in front of all slots serves in time that
// knows the work of each, without messages.
func replayIdeal(load replayLoad) replayResult {
	s := newReplaySite(load)
	var queue []*replayRequest
	var feed func()
	feed = func() {
		for {
			best := -1
			for i := range s.targets {
				t := &s.targets[i]
				usable := t.running < replaySlots && t.fault != mute && t.fault != resets
				if usable && (best < 0 || t.speed() < s.targets[best].speed()) {
					best = i
				}
			}
			if best < 0 || len(queue) == 0 {
				return
			}
			r := queue[0]
			queue = queue[1:]
			if s.now.Sub(r.at)+time.Duration(float64(r.work)*s.targets[best].speed()) > load.objective-replayPath {
				s.result.refused++
				continue
			}
			r.target = best
			s.targets[best].running++
			s.after(time.Duration(float64(r.work)*s.targets[best].speed()), func() {
				s.targets[best].running--
				s.result.inTime++
				feed()
			})
		}
	}
	s.place = func(r *replayRequest) {
		queue = append(queue, r)
		feed()
	}
	return s.run()
}

// scaled returns a load with a multiple of the rate.
func (l replayLoad) scaled(factor float64) replayLoad {
	l.rate *= factor
	return l
}

// withFaults returns a load on targets that fail in turn.
func (l replayLoad) withFaults() replayLoad {
	l.faults = true
	return l
}

// recordedLoads are the kinds of load that the bench plays.
func recordedLoads() map[string]replayLoad {
	return map[string]replayLoad{
		"first": firstLoad, "first, load 1.5": firstLoad.scaled(1.5),
		"second": secondLoad, "second, load 1.5": secondLoad.scaled(1.5),
		"first, faults": firstLoad.withFaults(), "first, faults, load 1.5": firstLoad.withFaults().scaled(1.5),
		"second, faults": secondLoad.withFaults(), "second, faults, load 1.5": secondLoad.withFaults().scaled(1.5),
	}
}

// TestQueueServesMoreInTime plays the recorded kinds of load with the choice by old loads, with
// two random choices, with the queue at one router, and with an ideal queue. It guards against
// all routers sending to the target that the same old loads show as the least loaded one, against
// targets that reject or break what another one could have served, and against an account that
// takes the slots of the others.
func TestQueueServesMoreInTime(t *testing.T) {
	for name, load := range recordedLoads() {
		old, picked, granted, ideal := replayLeastLoaded(load), replayPicked(load), replayGranted(load), replayIdeal(load)
		t.Logf("%s:\n least loaded %+v\n two choices %+v\n granted %+v\n ideal %+v", name, old, picked, granted, ideal)
		must.Greater(t, old.inTime, picked.inTime, must.Sprint(name, ": two choices"))
		must.Greater(t, picked.inTime, granted.inTime, must.Sprint(name, ": granted"))
		must.Greater(t, ideal.inTime*85/100, granted.inTime, must.Sprint(name, ": of an ideal queue"))
		must.Less(t, granted.sent*2/100, granted.rejected, must.Sprint(name, ": rejected"))
		must.Less(t, old.failed/4+1, granted.failed, must.Sprint(name, ": broken"))
		calm := float64(granted.inTime-granted.hotInTime) / float64(granted.sent-granted.hotSent)
		hot := float64(granted.hotInTime) / float64(granted.hotSent)
		must.GreaterEq(t, hot-0.01, calm, must.Sprint(name, ": other accounts beside one that sends a third"))
	}
}
