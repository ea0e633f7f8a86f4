package slotqueue

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// replayLoad is a load on three targets of six slots, as recorded on the bench: waves, clumps
// and targets at paces that change.
type replayLoad struct {
	seed      uint64
	routers   int
	rate      float64
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	length    time.Duration
	// clump is the largest number of requests that arrive at once.
	clump int
	// faults lets targets fail in turn.
	faults bool
}

var (
	firstLoad = replayLoad{
		seed: 1, routers: 61, rate: 143, work: 60 * time.Millisecond,
		objective: 300 * time.Millisecond, deadline: 3 * time.Second, length: 40 * time.Second, clump: 40,
	}
	secondLoad = replayLoad{
		seed: 2, routers: 32, rate: 122, work: 30 * time.Millisecond,
		objective: 150 * time.Millisecond, deadline: time.Second, length: 40 * time.Second, clump: 40,
	}
)

const (
	replayTargets = 3
	replaySlots   = 6
	replayQueue   = 24
	replayWave    = 11 * time.Second
	replayDigests = 300 * time.Millisecond
	replayRelay   = 150 * time.Millisecond
	replayHop     = time.Millisecond
	// replayPath is the time between a caller and its router, there and back.
	replayPath = 10 * time.Millisecond
	clumpEvery = 40
)

// replayRequest is one request of a load.
type replayRequest struct {
	id      uint64
	router  int
	account fleet.Account
	at      time.Time
	// work is its time at a target of the usual pace.
	work   time.Duration
	target int
	// repeatable requests may be sent again.
	repeatable bool
}

// replayResult counts what came of a load.
type replayResult struct {
	sent, inTime, rejected, refused, late, failed int
	// hotSent and hotInTime are those of the account that sends most.
	hotSent, hotInTime int
}

// hotAccount sends a third of the requests.
const hotAccount = "hot"

type replayEvent struct {
	at  time.Time
	seq int
	run func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int { return len(e) }
func (e replayEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e replayEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)   { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replayTarget serves six requests at once and queues 24 in order of arrival.
type replayTarget struct {
	running int
	queue   []*replayRequest
	pace    float64
	fault   replayFault
}

// replayFault is what is wrong with a target.
type replayFault uint8

// Faults of targets.
const (
	sound replayFault = iota
	// mute: it answers nothing. resets: it breaks each request at once.
	mute
	resets
	// slow: it takes four times as long.
	slow
	// partly: it answers six of ten requests, and holds a slot for the others.
	partly
)

// replaySite replays a load. place decides on a request, and ended is told of its end.
type replaySite struct {
	load    replayLoad
	random  *rand.Rand
	now     time.Time
	events  replayEvents
	seq     int
	targets [replayTargets]replayTarget
	// own counts the requests on their way by router and target, relayed holds the sum that
	// all routers know.
	own     [][replayTargets]float64
	relayed [replayTargets]float64
	result  replayResult
	place   func(r *replayRequest)
	ended   func(r *replayRequest, o replayOutcome, f Figures)
}

// replayOutcome is what became of a request at its target.
type replayOutcome uint8

// Outcomes.
const (
	served replayOutcome = iota
	turnedAway
	broken
)

func newReplaySite(load replayLoad) *replaySite {
	s := &replaySite{
		load: load, random: rand.New(rand.NewPCG(load.seed, 7)), now: time.Unix(0, 0),
		own:   make([][replayTargets]float64, load.routers),
		ended: func(*replayRequest, replayOutcome, Figures) {},
	}
	s.schedule()
	return s
}

func (s *replaySite) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, replayEvent{at: s.now.Add(d), seq: s.seq, run: run})
}

// schedule draws the arrivals, the paces and the digests.
func (s *replaySite) schedule() {
	for id, at := uint64(1), time.Duration(0); at < s.load.length; {
		wave := 1 + 0.5*math.Sin(2*math.Pi*float64(at)/float64(replayWave))
		clump := 1
		if s.random.IntN(clumpEvery) == 0 {
			clump = 1 + s.random.IntN(s.load.clump)
		}
		for range clump {
			r := &replayRequest{id: id, router: s.random.IntN(s.load.routers), account: s.account()}
			r.work = time.Duration(float64(s.load.work) * (0.5 + s.random.Float64()))
			if s.random.IntN(100) == 0 {
				r.work *= 5
			}
			r.repeatable = s.random.IntN(5) == 0
			id++
			s.after(at, func() {
				r.at = s.now
				s.result.sent++
				if r.account == hotAccount {
					s.result.hotSent++
				}
				s.place(r)
			})
		}
		// One arrival in clumpEvery is a clump.
		mean := (float64(clumpEvery-1) + float64(s.load.clump+1)/2) / clumpEvery
		at += time.Duration(s.random.ExpFloat64() / (s.load.rate / mean * wave) * float64(time.Second))
	}
	for i := range s.targets {
		s.targets[i].pace = 1
		s.changePace(i)
	}
	if s.load.faults {
		s.breakTarget()
	}
	s.relay()
}

// breakTarget breaks one target for three of each eight seconds.
func (s *replaySite) breakTarget() {
	t := &s.targets[s.random.IntN(replayTargets)]
	t.fault = replayFault(1 + s.random.IntN(int(partly)))
	s.after(3*time.Second, func() { t.fault = sound })
	if s.now.Before(time.Unix(0, 0).Add(s.load.length)) {
		s.after(8*time.Second, s.breakTarget)
	}
}

// account draws an account, a third of the requests coming from one.
func (s *replaySite) account() fleet.Account {
	if s.random.IntN(3) == 0 {
		return hotAccount
	}
	return fleet.Account(rune('a' + s.random.IntN(12)))
}

// changePace gives a target another pace every few seconds.
func (s *replaySite) changePace(i int) {
	s.targets[i].pace = []float64{0.6, 1, 1, 1, 1.9}[s.random.IntN(5)]
	if wait := time.Duration((2 + 4*s.random.Float64()) * float64(time.Second)); s.now.Add(wait).Before(time.Unix(0, 0).Add(s.load.length)) {
		s.after(wait, func() { s.changePace(i) })
	}
}

// relay passes the loads to all routers, as digests do.
func (s *replaySite) relay() {
	var sum [replayTargets]float64
	for _, own := range s.own {
		for i := range own {
			sum[i] += own[i]
		}
	}
	s.after(replayRelay, func() { s.relayed = sum })
	if s.now.Before(time.Unix(0, 0).Add(s.load.length)) {
		s.after(replayDigests, s.relay)
	}
}

// run replays the whole load.
func (s *replaySite) run() replayResult {
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(replayEvent)
		s.now = e.at
		e.run()
	}
	return s.result
}

// send sends a request to a target.
func (s *replaySite) send(r *replayRequest, target int) {
	r.target = target
	s.own[r.router][target]++
	s.after(replayHop, func() {
		t := &s.targets[target]
		switch {
		case t.fault == mute:
			s.after(max(s.load.deadline-s.now.Sub(r.at), 0), func() { s.respond(r, broken) })
		case t.fault == resets:
			s.respond(r, broken)
		case t.running < replaySlots && t.fault == partly && s.random.IntN(10) < 4:
			t.running++
			s.after(max(s.load.deadline-s.now.Sub(r.at), 0), func() {
				s.next(t)
				s.respond(r, broken)
			})
		case t.running < replaySlots:
			s.start(t, r)
		case len(t.queue) < replayQueue:
			t.queue = append(t.queue, r)
		default:
			s.respond(r, turnedAway)
		}
	})
}

func (s *replaySite) start(t *replayTarget, r *replayRequest) {
	t.running++
	s.after(time.Duration(float64(r.work)*t.speed()), func() {
		s.next(t)
		s.respond(r, served)
	})
}

// next frees a slot of a target for the request that has waited there for longest.
func (s *replaySite) next(t *replayTarget) {
	t.running--
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		s.start(t, next)
	}
}

// speed returns how long work takes in relation to the usual time.
func (t *replayTarget) speed() float64 {
	if t.fault == slow {
		return 4 * t.pace
	}
	return t.pace
}

// respond brings the response of a target to its router.
func (s *replaySite) respond(r *replayRequest, o replayOutcome) {
	t := &s.targets[r.target]
	f := Figures{Running: t.running, Waiting: len(t.queue), Slots: replaySlots, Slowdown: t.speed()}
	s.after(replayHop, func() {
		s.own[r.router][r.target]--
		switch {
		case o == turnedAway:
			s.result.rejected++
		case o == broken:
			s.result.failed++
		case s.now.Sub(r.at)+replayPath <= s.load.objective:
			s.result.inTime++
			if r.account == hotAccount {
				s.result.hotInTime++
			}
		default:
			s.result.late++
		}
		s.ended(r, o, f)
	})
}
