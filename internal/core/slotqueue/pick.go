package slotqueue

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// figuresHalfLife is the age at which the load that a target reported counts half.
	// Plain requests take 30 to 60 ms, so that a target serves other requests soon.
	figuresHalfLife = 60 * time.Millisecond
	// paceHalfLife is the age at which a reported slowdown counts half.
	paceHalfLife = 500 * time.Millisecond
	// figuresTTL is how long figures are kept.
	figuresTTL = 10 * time.Second
	// failureCost is what a failure that was just seen adds to the load per slot, and
	// failureHalfLife the age at which it counts half.
	failureCost     = 3
	failureHalfLife = 2 * time.Second
	// relayedWeight is the weight of a request that another router reported. Digests are
	// up to 0.45 s old, when most of the requests that they count have ended.
	relayedWeight = 0.1
	// maxFigure bounds the numbers of requests in reported figures.
	maxFigure = 1 << 16
	// A reported slowdown is bounded, as a target may report anything.
	minSlowdown, maxSlowdown = 0.25, 4
)

// Figures are the load that a target reports of itself.
type Figures struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes now in relation to the usual time, zero if unknown.
	Slowdown float64
}

// valid reports whether figures can be true.
func (f Figures) valid() bool {
	return f.Running >= 0 && f.Waiting >= 0 && f.Running <= maxFigure && f.Waiting <= maxFigure
}

// Candidate is a target that a router may send a request to.
type Candidate struct {
	Target fleet.Ref
	Slots  int
	// Own is the number of requests of this router on their way, Others the number that
	// other routers reported.
	Own, Others float64
	// Penalty is added to the load per slot.
	Penalty float64
}

// Picker chooses targets with what one router knows. Two targets are drawn at random and the
// less loaded one is chosen: routers that all take the least loaded target by the same old
// figures would all take the same one. It is not safe for concurrent use.
type Picker struct {
	random  *rand.Rand
	reports map[fleet.Ref]report
	// failures holds the weight of the failures of each target, as of a time.
	failures map[fleet.Ref]failures
}

// failures is the weight of the failures of a target that this router has seen.
type failures struct {
	at     time.Time
	weight float64
}

// report holds the figures of a target, and the requests of this router that they include.
type report struct {
	at      time.Time
	figures Figures
	own     float64
}

// NewPicker returns a Picker that draws from random.
func NewPicker(random *rand.Rand) *Picker {
	return &Picker{random: random, reports: make(map[fleet.Ref]report), failures: make(map[fleet.Ref]failures)}
}

// Reported records the figures of a target. Own is the number of requests of this router
// on their way to it.
func (p *Picker) Reported(now time.Time, id fleet.Ref, f Figures, own float64) {
	if f.valid() {
		p.expire(now)
		p.reports[id] = report{at: now, figures: f, own: own}
	}
}

// Failed records that a target broke a request. One that fails at once looks idle.
func (p *Picker) Failed(now time.Time, id fleet.Ref) {
	p.expire(now)
	p.failures[id] = failures{at: now, weight: p.failureWeight(now, id) + 1}
}

// failureWeight returns the weight of the failures of a target.
func (p *Picker) failureWeight(now time.Time, id fleet.Ref) float64 {
	f := p.failures[id]
	return f.weight * decay(now.Sub(f.at), failureHalfLife)
}

// expire discards old figures.
func (p *Picker) expire(now time.Time) {
	for id, r := range p.reports {
		if now.Sub(r.at) >= figuresTTL {
			delete(p.reports, id)
		}
	}
	for id, f := range p.failures {
		if now.Sub(f.at) >= figuresTTL {
			delete(p.failures, id)
		}
	}
}

// Pick returns the position of the chosen candidate, -1 if there is none.
func (p *Picker) Pick(now time.Time, candidates []Candidate) int {
	switch n := len(candidates); n {
	case 0:
		return -1
	case 1:
		return 0
	default:
		first := p.random.IntN(n)
		second := (first + 1 + p.random.IntN(n-1)) % n
		if p.wait(now, candidates[second]) < p.wait(now, candidates[first]) {
			return second
		}
		return first
	}
}

// wait estimates how long a request takes at a target, in relation to its usual time.
func (p *Picker) wait(now time.Time, c Candidate) float64 {
	known, pace := c.Own+relayedWeight*c.Others, 1.0
	if r, ok := p.reports[c.Target]; ok {
		age := now.Sub(r.at)
		others := max(float64(r.figures.Running+r.figures.Waiting)-r.own, 0)
		known += decay(age, figuresHalfLife) * max(others-relayedWeight*c.Others, 0)
		if r.figures.Slowdown > 0 {
			slowdown := min(max(r.figures.Slowdown, minSlowdown), maxSlowdown)
			pace = math.Pow(slowdown, decay(age, paceHalfLife))
		}
	}
	return pace*(known+1)/float64(max(c.Slots, 1)) + c.Penalty + failureCost*p.failureWeight(now, c.Target)
}

// decay returns the weight of knowledge of a given age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
