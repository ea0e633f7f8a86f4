package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// play is a model of a fleet that rolls a version out: routers with their gates, a controller
// that gets their reports late, and targets whose responses are drawn.
type play struct {
	routers  int
	rate     float64 // requests a second
	duration time.Duration
	routes   int
	sigma    float64 // of the logarithm of latencies
	targets  int     // of the new version
	// respond returns whether a response fails, and the ratio of its latency to the usual one.
	respond func(at time.Duration, route int, isNew bool, target int, load float64, rng *rand.Rand) (failed bool, slow float64)
	// restart lists times at which most routers restart together, takeOver those at which
	// another router becomes controller after a gap.
	restart, takeOver []time.Duration
}

// result is what came of a play.
type result struct {
	phase     Phase
	reason    string
	ended     time.Duration
	sent, new int64
	// fiftieth is the time of the 50th bad response, last that of the last request to the new
	// version.
	fiftieth, last time.Duration
	bad            int
	// over is the highest number of requests to the new version beyond ExposeShare of all before
	// the cutover, and at the end for a version that is rolled back.
	over float64
	// messages is the highest number of reports in a second.
	messages int
}

// event is a response under way.
type event struct {
	router  int
	tracker *Tracker
	send    Send
	out     Outcome
	bad     bool
}

const (
	modelStep   = 10 * time.Millisecond
	modelDelay  = 450 * time.Millisecond
	modelUsual  = 60 * time.Millisecond
	takeOverGap = 3 * time.Second
)

func (p *play) run(seed uint64) (out result) {
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1_000_000, 0)
	order := Order{Service: "s", To: "v2", Duration: p.duration, Offset: 1}
	trackers := make([]*Tracker, p.routers)
	processes := make([]fleet.Incarnation, p.routers)
	due := make([]time.Duration, p.routers)
	begin := func(i int, at time.Duration) {
		trackers[i] = NewTracker()
		trackers[i].SetOrder(start.Add(at), order, rng)
		processes[i]++
		due[i] = at + time.Duration(rng.Int64N(int64(minInterval)))
	}
	var live []fleet.VM
	for i := range trackers {
		begin(i, 0)
		live = append(live, fleet.VM(fmt.Sprint(i)))
	}
	c := Begin(start, DefaultLimits, Record{Order: order, Base: []string{"v1"}}, p.duration, rng)
	responses := make(map[time.Duration][]event)
	type message struct {
		i       int
		askedAt time.Time
		r       Report
	}
	messages := make(map[time.Duration][]message)
	var absent time.Duration
	out.fiftieth, out.ended = -1, -1
	load, newLoad := 0, 0
	perSecond := make(map[time.Duration]int)
	for at := time.Duration(0); at < p.duration && (out.ended < 0 || out.phase == RolledBack); at += modelStep {
		now := start.Add(at)
		for _, t := range p.restart {
			if t == at {
				for i := range trackers {
					if rng.Float64() < 0.8 {
						begin(i, at)
					}
				}
			}
		}
		for _, t := range p.takeOver {
			if t == at {
				absent = at + takeOverGap
			}
		}
		if absent > 0 && at == absent {
			record := c.Record()
			c = TakeOver(now, DefaultLimits, record, record.Remaining, rng)
		}
		for _, e := range responses[at] {
			e.tracker.Ended(now, e.send, &e.out)
			load--
			if e.send.version == "v2" {
				newLoad--
			}
			if e.bad {
				if out.bad++; out.bad == 50 {
					out.fiftieth = at
				}
			}
		}
		delete(responses, at)
		for range poisson(rng, p.rate*modelStep.Seconds()) {
			i := rng.IntN(p.routers)
			t := trackers[i]
			rule := t.Rule(now, "")
			version := "v1"
			if !rule.Allows("v1") {
				version = "v2"
			}
			route, target := rng.IntN(p.routes), rng.IntN(p.targets)
			share := float64(newLoad) / float64(load+1)
			failed, slow := p.respond(at, route, version == "v2", target, share, rng)
			latency := time.Duration(float64(modelUsual) * float64(1+route%3) * slow * math.Exp(p.sigma*rng.NormFloat64()))
			e := event{router: i, tracker: t, send: t.Started(now, rule, version), bad: version == "v2" && (failed || slow > 1)}
			e.out = Outcome{Route: fmt.Sprint(route), Target: fleet.Ref(1 + target), Observed: true, Failed: failed, Latency: latency}
			end := at + max(latency.Round(modelStep), modelStep)
			responses[end] = append(responses[end], e)
			load++
			out.sent++
			if version == "v2" {
				newLoad++
				out.new++
				out.last = at
			}
		}
		for _, m := range messages[at] {
			if at < absent {
				continue
			}
			perSecond[at/time.Second]++
			out.messages = max(out.messages, perSecond[at/time.Second])
			reply := c.Report(now, live[m.i], &m.r)
			if m.r.Incarnation == processes[m.i] {
				trackers[m.i].Gate().Take(m.askedAt, &reply)
			}
		}
		delete(messages, at)
		for i, t := range trackers {
			if at < due[i] {
				continue
			}
			reply, heard := t.Gate().Reply()
			interval := minInterval
			if heard {
				interval = time.Duration(reply.IntervalMs) * time.Millisecond
			}
			due[i] = at + interval
			arrival := at + modelStep
			if rng.Float64() < 0.1 {
				arrival = at + modelDelay
			}
			messages[arrival] = append(messages[arrival], message{i, now, t.Report(now, processes[i])})
		}
		if at < absent {
			continue
		}
		if phase, _ := c.Phase(); phase != Cutover && phase != Done {
			out.over = max(out.over, float64(out.new)-DefaultLimits.ExposeShare*float64(out.sent))
		}
		c.Tick(now, &View{Live: live, New: p.targets, Old: 3, MaxTimeout: 4 * time.Second})
		if r, needed := c.Next(now); needed {
			c.Written(now, r)
		}
		if phase, reason := c.Phase(); phase.Final() && out.ended < 0 {
			out.phase, out.reason, out.ended = phase, reason, at
		}
	}
	return out
}

// poisson draws the number of events with a mean.
func poisson(rng *rand.Rand, mean float64) int {
	n, left := 0, math.Exp(-mean)
	for u := rng.Float64(); u > left; u *= rng.Float64() {
		n++
	}
	return n
}
