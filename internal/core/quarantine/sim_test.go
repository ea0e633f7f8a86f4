package quarantine_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/quarantine"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// badPart is the part that crashes engines.
const badPart = 666

// spreadWindow is the time after the fifth crash from which no more than three requests
// with the part may be sent.
const spreadWindow = 3 * time.Second

// fleetSim plays routers that send requests to engines and tell each other what they see.
type fleetSim struct {
	rng     *rand.Rand
	now     time.Time
	routers []*quarantine.Tracker
	engines []simEngine
	running []simRequest
	mail    []simMail
	// disabled lets all requests pass. Loss is the share of digests that are lost, and
	// maxDelay the longest time until one arrives.
	disabled bool
	loss     float64
	maxDelay time.Duration
	// attempts is the number of engines that a request is sent to, crashesAllowed that of
	// crashes after which no more requests with the bad part may be sent.
	attempts       int
	crashesAllowed int
	// contents makes the last part of each request its content.
	contents bool

	crashes []time.Time
	badAt   []time.Time
	// soundRefused holds the times at which requests without the bad part were refused.
	soundRefused []time.Time
	soundServed  int
}

type simEngine struct {
	process quarantine.Engine
	backAt  time.Time
}

type simRequest struct {
	router, engine int
	sends          int
	parts          []uint64
	process        quarantine.Engine
	sentAt, begins time.Time
}

type simMail struct {
	to      int
	at      time.Time
	notices quarantine.Notices
}

const (
	simTick       = 50 * time.Millisecond
	simDigest     = 5 // ticks between two digests
	engineRestart = 4 * time.Second
)

func newFleet(seed uint64, routers, engines int) *fleetSim {
	f := &fleetSim{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), maxDelay: 100 * time.Millisecond}
	f.attempts, f.crashesAllowed = 1, 5
	for range routers {
		f.routers = append(f.routers, quarantine.New())
	}
	for i := range engines {
		f.engines = append(f.engines, simEngine{process: quarantine.Engine{Target: fleet.Ref(i + 1), Born: 1}})
	}
	return f
}

// send lets a request with these parts come to a random router.
func (f *fleetSim) send(parts ...uint64) { f.sendFrom(f.rng.IntN(len(f.routers)), 1, parts) }

// sendFrom sends a request to an engine, for the sends-th time.
func (f *fleetSim) sendFrom(router, sends int, parts []uint64) {
	engine := f.rng.IntN(len(f.engines))
	if _, refused := f.routers[router].Refuses(f.now, parts, func(uint64) bool { return false }); refused && !f.disabled {
		if !slices.Contains(parts, badPart) {
			f.soundRefused = append(f.soundRefused, f.now)
		}
		return
	}
	e := f.engines[engine]
	if f.now.Before(e.backAt) {
		return // no connection opens
	}
	if slices.Contains(parts, badPart) {
		f.badAt = append(f.badAt, f.now)
	}
	begins := f.now.Add(time.Duration(50+f.rng.IntN(400)) * time.Millisecond)
	f.running = append(f.running, simRequest{router: router, engine: engine, sends: sends, parts: parts, process: e.process, sentAt: f.now, begins: begins})
}

// crash ends an engine and all that it runs.
func (f *fleetSim) crash(engine int) {
	e := &f.engines[engine]
	var broken []simRequest
	f.running = slices.DeleteFunc(f.running, func(r simRequest) bool {
		if r.engine == engine {
			broken = append(broken, r)
		}
		return r.engine == engine
	})
	e.process.Born++
	e.backAt = f.now.Add(engineRestart)
	for _, r := range broken {
		t := f.routers[r.router]
		crash := quarantine.Crash{Engine: r.process, Parts: r.parts}
		if last := len(r.parts) - 1; f.contents {
			crash.Parts, crash.Content = r.parts[:last], r.parts[last]
		}
		t.Crashed(f.now, crash)
		if r.sends < f.attempts && !t.Isolates(r.parts) {
			f.sendFrom(r.router, r.sends+1, r.parts)
		}
	}
}

// tick lets simTick pass.
func (f *fleetSim) tick(n int) {
	f.now = f.now.Add(simTick)
	for i := 0; i < len(f.running); i++ {
		r := f.running[i]
		switch {
		case f.now.Before(r.begins):
		case slices.Contains(r.parts, badPart):
			f.crashes = append(f.crashes, f.now)
			f.crash(r.engine)
			i = -1 // the list has changed
		default:
			f.soundServed++
			f.routers[r.router].Served(f.now, r.parts, r.process, r.sentAt)
			f.running = slices.Delete(f.running, i, i+1)
			i--
		}
	}
	for i, t := range f.routers {
		t.Expire(f.now)
		if (n+i)%simDigest == 0 {
			f.mailDigest(i, t.TakeNotices())
		}
	}
	f.mail = slices.DeleteFunc(f.mail, func(m simMail) bool {
		if m.at.After(f.now) {
			return false
		}
		f.deliver(f.routers[m.to], m.notices)
		return true
	})
}

// mailDigest sends notices to the other routers, some of them late, twice or never.
func (f *fleetSim) mailDigest(from int, n quarantine.Notices) {
	for to := range f.routers {
		for to != from && f.rng.Float64() >= f.loss {
			f.mail = append(f.mail, simMail{to: to, at: f.now.Add(time.Duration(f.rng.Int64N(int64(f.maxDelay)))), notices: n})
			if f.rng.Float64() >= f.loss {
				break
			}
		}
	}
}

func (f *fleetSim) deliver(t *quarantine.Tracker, n quarantine.Notices) {
	for _, c := range n.Crashes {
		t.CrashedElsewhere(f.now, c)
	}
	for _, part := range n.Familiar {
		t.FamiliarElsewhere(part)
	}
	for _, part := range n.Quarantined {
		t.QuarantinedElsewhere(f.now, part)
	}
	for _, part := range n.Cleared {
		t.ServedElsewhere(f.now, part)
	}
}

// lateSends returns how many requests with the bad part were sent later than
// spreadWindow after the last crash that is allowed.
func (f *fleetSim) lateSends() int {
	if len(f.crashes) < f.crashesAllowed {
		return 0
	}
	late := 0
	for _, at := range f.badAt {
		if at.Sub(f.crashes[f.crashesAllowed-1]) > spreadWindow {
			late++
		}
	}
	return late
}
